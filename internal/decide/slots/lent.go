package slots

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/lend"
)

// lending is what a scheduler knows of slots that cells lend to each other.
type lending struct {
	book     lend.Book
	borrower lend.Borrower
	// changes is the version of book that the targets reflect.
	changes uint64
	// foreign is true if work of an earlier dispatcher may run at targets of other cells.
	foreign bool
	supply  lend.Supply
	need    lend.Need
	used    []lend.Slots
	// lost lists work at borrowed targets whose daemon is no longer heard of, oldest first.
	lost []lostWork
}

// lostWork is a request at a borrowed target whose daemon is no longer heard of.
type lostWork struct {
	target *target
	until  time.Time
}

// maxLost bounds the list of lost work. It is more than the slots of a cell; beyond it, the oldest counts
// no longer.
const maxLost = 256

// borrowed is the part of a target that another cell has lent.
type borrowed struct {
	// cell is the lender, or 0.
	cell  int
	slots int
	until time.Time
	// lost is the number of requests there whose daemon is no longer heard of.
	lost int
}

// lentSlots returns how many of the target's slots the other side of a loan may use.
func (t *target) lentSlots() int {
	if t.unassigned && t.borrowed.cell != 0 {
		return t.slots() - t.borrowed.slots + t.borrowed.lost
	}
	return t.lent
}

// mayBorrow reports whether the target's lender allows requests now.
func (t *target) mayBorrow(now time.Time) bool {
	return !t.unassigned || now.Before(t.borrowed.until) && !t.declared.HasLimits()
}

// isForeign reports whether the target belongs to another cell. Such a target is not waited for: the
// loan may end at any time.
func (s *Scheduler) isForeign(t *target) bool { return s.lending != nil && t.unassigned }

// endsInTime reports whether the request is short enough for the target if that is borrowed. The lender
// gets its slots back when the work there has ended.
func (s *Scheduler) endsInTime(t *target, w *fireflypath.Work) bool {
	return t.borrowed.cell == 0 || !t.unassigned || !t.speedKnown() || s.expectedDuration(t, w) <= lend.MaxRun.Seconds()
}

// noteForeign notes work in flight at a target of another cell.
func (s *Scheduler) noteForeign(t *target) {
	if s.isForeign(t) && t.borrowed.cell == 0 {
		s.lending.foreign = true
	}
}

// updateLent applies the book to the targets.
func (s *Scheduler) updateLent() {
	if s.lending == nil {
		return
	}
	s.lending.changes = s.lending.book.Changes()
	for _, t := range s.shared {
		t.lent = s.lending.book.Lent(t.id)
	}
}

// expireLoans forgets loans that are over.
func (s *Scheduler) expireLoans(now time.Time) {
	if s.lending == nil {
		return
	}
	l := s.lending
	l.book.Expire(now)
	s.applyChanges()
	for len(l.lost) > 0 && !now.Before(l.lost[0].until) {
		s.dropLost()
	}
}

// dropLost no longer counts the oldest lost request.
func (s *Scheduler) dropLost() {
	l := s.lending
	l.lost[0].target.borrowed.lost--
	l.lost = append(l.lost[:0], l.lost[1:]...)
}

// Lose has a request count as in flight for some time although its daemon is no longer heard of, if it
// is at a borrowed target. The daemon may be cut off from the dispatcher and not from the target, and
// the target's own cell relies on what is reported here.
func (s *Scheduler) Lose(now time.Time, w *fireflypath.Work) {
	f, ok := s.inFlight[w]
	if s.lending == nil || !ok || !f.target.unassigned || f.target.borrowed.cell == 0 {
		return
	}
	if len(s.lending.lost) == maxLost {
		s.dropLost()
	}
	f.target.borrowed.lost++
	s.lending.lost = append(s.lending.lost, lostWork{target: f.target, until: now.Add(lend.Linger)})
}

// applyChanges applies the book to the targets if it has changed.
func (s *Scheduler) applyChanges() {
	if s.lending.changes != s.lending.book.Changes() {
		s.updateLent()
	}
}

// Lends reports whether slots may be lent and borrowed.
func (s *Scheduler) Lends() bool { return s.lending != nil && !s.share.UnknownSenders }

// AnswerAsk decides on the request of another cell's dispatcher. closed is true if nothing may be lent.
func (s *Scheduler) AnswerAsk(now time.Time, from string, ask *lend.Ask, closed bool) lend.Grant {
	l := s.lending
	held, _ := l.borrower.Granted(now)
	l.supply = lend.Supply{
		Targets: l.supply.Targets[:0], Waiting: len(s.waiting),
		Closed: closed || s.share.UnknownSenders || l.borrower.Active() || held > 0,
	}
	for _, t := range s.shared {
		if t.unassigned {
			continue
		}
		l.supply.Slots += t.slots()
		if t.isLeaving() || t.probing || t.ejection > 0 || t.declared.HasLimits() {
			continue
		}
		l.supply.Targets = append(l.supply.Targets, lend.Slots{
			Target: t.id, Count: t.slots() - (s.occupied(now, t) - t.lent),
			Prefill: roundToTwoDigits(t.speed.PrefillRate()), Decode: roundToTwoDigits(t.speed.DecodeRate()),
		})
	}
	g := l.book.Answer(now, from, ask, &l.supply)
	s.applyChanges()
	return g
}

// CancelGrant takes back a grant that was not sent.
func (s *Scheduler) CancelGrant(from string) { s.lending.book.Cancel(from) }

// PlanBorrowing appends the requests that are due to other cells. Their slices are valid until the next
// call. owner returns the cell of a target.
func (s *Scheduler) PlanBorrowing(now time.Time, cells, self int, partial bool, owner func(target string) int, calls []lend.Call) []lend.Call {
	l := s.lending
	s.expireLoans(now)
	if l.foreign {
		s.findOwners(owner)
	}
	s.describeNeed(now)
	first := len(calls)
	calls = l.borrower.Plan(now, &l.need, cells, self, calls)
	l.used = l.used[:0]
	for i := first; i < len(calls); i++ {
		from := len(l.used)
		for _, t := range s.shared {
			if n := t.requests + t.peerRequests + t.borrowed.lost; n > 0 && t.unassigned && t.borrowed.cell == calls[i].Cell {
				l.used = append(l.used, lend.Slots{Target: t.id, Count: n})
			}
		}
		calls[i].Ask.Used, calls[i].Ask.Partial = l.used[from:len(l.used):len(l.used)], partial
	}
	return calls
}

// findOwners finds the lenders of targets at which work of an earlier dispatcher runs.
func (s *Scheduler) findOwners(owner func(target string) int) {
	s.lending.foreign = false
	for _, t := range s.ordered {
		if t.unassigned && t.requests > 0 && t.borrowed.cell == 0 {
			t.borrowed = borrowed{cell: owner(t.Name), lost: t.borrowed.lost}
		}
	}
	s.updateShared()
}

// describeNeed updates the description of what this cell needs.
func (s *Scheduler) describeNeed(now time.Time) {
	n := &s.lending.need
	*n = lend.Need{Used: n.Used[:0], SlotTime: time.Duration(s.slotTime * float64(time.Second)), Lent: s.lending.book.Leased(now)}
	for _, w := range s.waiting {
		n.Waiting[rankIndex(w)]++
	}
	borrows := false
	for _, t := range s.shared {
		if t.unassigned {
			borrows = borrows || t.requests > 0
			continue
		}
		n.Slots += t.slots()
	}
	if !borrows {
		return
	}
	for w, f := range s.inFlight {
		cell := f.target.borrowed.cell
		if cell == 0 || !f.target.unassigned {
			continue
		}
		at := 0
		for at < len(n.Used) && n.Used[at].Cell != cell {
			at++
		}
		if at == len(n.Used) {
			n.Used = append(n.Used, lend.Use{Cell: cell})
		}
		n.Used[at].ByRank[rankIndex(w)]++
	}
}

func rankIndex(w *fireflypath.Work) int { return min(max(w.Rank, 0), lend.MaxRanks-1) }

// ApplyGrant applies the answer of another cell, which may be used until the given time.
func (s *Scheduler) ApplyGrant(now time.Time, cell int, until time.Time, g *lend.Grant) {
	l := s.lending
	usable := l.borrower.Apply(now, cell, until, g)
	known := l.borrower.Knows(cell)
	for _, t := range s.shared {
		switch {
		case !t.unassigned || t.borrowed.cell != cell:
		case !known && t.requests+t.borrowed.lost == 0:
			t.borrowed = borrowed{}
		case !usable || !g.Same:
			t.borrowed = borrowed{cell: cell, lost: t.borrowed.lost}
		default:
			t.borrowed.until = until
		}
	}
	if usable && known {
		for i := range g.Slots {
			s.borrow(cell, until, &g.Slots[i])
		}
	}
	s.updateShared()
}

// AskFailed records that a cell did not answer.
func (s *Scheduler) AskFailed(now time.Time, cell int) { s.lending.borrower.Failed(now, cell) }

// borrow applies what a grant says of one target.
func (s *Scheduler) borrow(cell int, until time.Time, g *lend.Slots) {
	t := s.targets[fireflypath.NameOfIdentity(g.Target)]
	if t == nil || t.id != g.Target || !t.unassigned {
		return // that incarnation has ended, or the target has become this cell's own
	}
	t.borrowed = borrowed{cell: cell, slots: min(g.Count, t.slots()), until: until, lost: t.borrowed.lost}
	if !t.speedKnown() && g.Prefill > 0 && g.Decode > 0 {
		t.speed.AdoptRates(float64(g.Prefill), float64(g.Decode))
	}
}

// EndBorrowing ends the use of all borrowed slots.
func (s *Scheduler) EndBorrowing() {
	if s.lending == nil {
		return
	}
	s.lending.borrower.Drop()
	for _, t := range s.ordered {
		t.borrowed.slots, t.borrowed.until = 0, time.Time{}
	}
}

// BorrowedUntil returns until when a request may be sent to the target if it is borrowed, or zero.
func (s *Scheduler) BorrowedUntil(target string) time.Time {
	if t := s.targets[target]; t != nil && t.unassigned {
		return t.borrowed.until
	}
	return time.Time{}
}

// Loans returns what is lent.
func (s *Scheduler) Loans() []lend.Loan { return s.lending.book.Loans() }

// LoanChanges changes whenever the result of Loans does.
func (s *Scheduler) LoanChanges() uint64 { return s.lending.book.Changes() }

// AdoptLoans records what another dispatcher of the cell has lent. replace is true if that is all.
func (s *Scheduler) AdoptLoans(now time.Time, loans []lend.Loan, replace bool) {
	if s.lending == nil {
		return
	}
	s.lending.book.Adopt(now, loans, replace)
	s.updateLent()
}

// WantsLoad reports whether the target's own report of its load is needed to know what runs there.
func (s *Scheduler) WantsLoad(now time.Time, target string) bool {
	t := s.targets[target]
	return s.lending != nil && t != nil && t.lent > 0 && s.lending.book.Unsettled(now, t.id)
}

// ObserveLoad lowers what counts as lent at the target with the identity, at which at most the given
// number of requests belong to other cells, according to its own report.
func (s *Scheduler) ObserveLoad(now time.Time, identity string, others int) {
	t := s.targets[fireflypath.NameOfIdentity(identity)]
	if s.lending == nil || t == nil || t.id != identity || t.lent == 0 {
		return
	}
	s.lending.book.Release(now, t.id, max(others, 0))
	s.updateLent()
}

// LendingState returns how many slots the cell has borrowed, from how many cells, and how many it has
// lent.
func (s *Scheduler) LendingState(now time.Time) (held, lenders, lent int, counts lend.Counts) {
	held, lenders = s.lending.borrower.Granted(now)
	return held, lenders, s.lending.book.Total(), s.lending.book.Counts
}
