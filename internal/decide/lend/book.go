package lend

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// reserveFraction is the fraction of its slots that a lender keeps free for its own work, and
	// minReserve their smallest number. They keep evenly loaded cells from exchanging grants.
	reserveFraction = 1.0 / 8
	minReserve      = 2
	// holdOff is how long a cell lends nothing more after work of its own had to wait. It prevents
	// grants that are recalled at once.
	holdOff = time.Second
	// askMemory is how long an unmet request counts when slots are divided among borrowers.
	askMemory = 2 * RenewInterval
)

// Supply describes what a lender could lend.
type Supply struct {
	// Targets lists the targets that may be lent, with their slots less those that the lender's own
	// work occupies, and their speeds.
	Targets []Slots
	// Slots is the number of slots of all the lender's targets, Waiting the number of its own requests
	// that wait.
	Slots, Waiting int
	// Closed is true if the lender lends nothing, because it borrows or does not know all work of its
	// cell.
	Closed bool
}

// Counts counts what a lender has decided.
type Counts struct {
	// Granted is the number of slots added to grants, Refused the number of requests answered with
	// none, Expired the number of loans whose borrower was not heard of in time.
	Granted, Refused, Expired int
}

// Book holds what a cell has lent. It is not safe for concurrent use.
type Book struct {
	loans   []*loan
	version uint64
	// changes counts the changes of what is counted as lent.
	changes   uint64
	holdUntil time.Time
	// Counts only grows.
	Counts Counts
	// room is what each target of the supply has left; grants is the buffer of the last answer.
	room   []int
	grants []Slots
}

// loan is what one borrower holds.
type loan struct {
	borrower string
	cell     int
	version  uint64
	// until is when the lease ends at the lender. heard is when the borrower last asked.
	until, heard time.Time
	expired      bool
	sequence     int64
	need         [MaxRanks]int
	entries      []entry
}

// entry is what a borrower holds at one target.
type entry struct {
	target string
	// granted is the number of slots of the last grant; counted is how many the borrower may occupy,
	// which is more while it may not have received that grant or still has work in others.
	granted, counted int
	// at is where the target was last found in the supply.
	at int
}

// indexIn returns the position of the target in the supply, or -1.
func (e *entry) indexIn(s *Supply) int {
	if e.at < len(s.Targets) && s.Targets[e.at].Target == e.target {
		return e.at
	}
	for i := range s.Targets {
		if s.Targets[i].Target == e.target {
			e.at = i
			return i
		}
	}
	return -1
}

func (l *loan) find(target string) *entry {
	for i := range l.entries {
		if l.entries[i].target == target {
			return &l.entries[i]
		}
	}
	return nil
}

func (l *loan) granted() int {
	n := 0
	for i := range l.entries {
		n += l.entries[i].granted
	}
	return n
}

func (l *loan) counted() int {
	n := 0
	for i := range l.entries {
		n += l.entries[i].counted
	}
	return n
}

// Lent returns the number of slots of the target that count as in use by borrowers.
func (b *Book) Lent(target string) int {
	n := 0
	for _, l := range b.loans {
		if e := l.find(target); e != nil {
			n += e.counted
		}
	}
	return n
}

// Leased reports whether a borrower may use a grant.
func (b *Book) Leased(now time.Time) bool {
	for _, l := range b.loans {
		if now.Before(l.until) && l.counted() > 0 {
			return true
		}
	}
	return false
}

// Unsettled reports whether slots of the target count as lent although the lease has ended.
func (b *Book) Unsettled(now time.Time, target string) bool {
	for _, l := range b.loans {
		if e := l.find(target); e != nil && e.counted > 0 && !now.Before(l.until.Add(ReportAge)) {
			return true
		}
	}
	return false
}

// Total returns the number of slots that count as in use by borrowers.
func (b *Book) Total() int {
	n := 0
	for _, l := range b.loans {
		n += l.counted()
	}
	return n
}

// Changes changes whenever a result of Lent may.
func (b *Book) Changes() uint64 { return b.changes }

// Answer decides on a request. The result is valid until the next call.
func (b *Book) Answer(now time.Time, from string, ask *Ask, s *Supply) Grant {
	b.Expire(now)
	l := b.record(from, ask.Cell)
	if l == nil {
		b.Counts.Refused++
		return Grant{}
	}
	if ask.Sequence <= l.sequence {
		return Grant{Counted: l.counted()} // a later one was answered; the borrower no longer waits for this
	}
	l.sequence = ask.Sequence
	b.settle(now, l, ask)
	l.heard, l.expired = now, false
	clear(l.need[:])
	for r, n := range ask.Need {
		l.need[min(r, MaxRanks-1)] += max(n, 0)
	}
	b.findRoom(s)
	g := b.size(now, l, s)
	changed := b.distribute(l, g, s)
	granted, counted := l.granted(), l.counted()
	if granted == 0 && len(ask.Need) > 0 {
		b.Counts.Refused++
	}
	if counted == 0 {
		l.version = 0
		return Grant{}
	}
	if changed || l.version == 0 {
		b.version = max(b.version+1, uint64(now.UnixMicro()))
		l.version = b.version
	}
	out := Grant{Version: l.version, Same: ask.Version == l.version, Counted: counted}
	if granted > 0 {
		l.until, out.Lease = now.Add(Lease+Margin), fireflypath.MicrosOf(Lease)
	}
	if !out.Same {
		out.Slots = b.describe(l, s)
	}
	return out
}

// Cancel takes a grant back that was not sent to its borrower.
func (b *Book) Cancel(from string) {
	for _, l := range b.loans {
		if l.borrower == from {
			l.version = 0 // the borrower holds an earlier grant, or none; what is counted stays
		}
	}
}

// record returns the record of a borrower, which it creates if there is room.
func (b *Book) record(from string, cell int) *loan {
	for _, l := range b.loans {
		if l.borrower == from {
			return l
		}
	}
	if len(b.loans) >= MaxBorrowers {
		return nil
	}
	l := &loan{borrower: from, cell: cell}
	b.loans = append(b.loans, l)
	return l
}

// settle applies the borrower's report of what it occupies.
func (b *Book) settle(now time.Time, l *loan, ask *Ask) {
	for i := range ask.Used {
		if u := &ask.Used[i]; l.find(u.Target) == nil && len(l.entries) < 2*MaxTargets {
			l.entries = append(l.entries, entry{target: u.Target})
		}
	}
	holdsLast, lapsed := l.version != 0 && ask.Version == l.version, !now.Before(l.until) && !ask.Partial
	for i := range l.entries {
		e := &l.entries[i]
		counted := max(e.counted, usedAt(ask.Used, e.target))
		if lapsed {
			counted = usedAt(ask.Used, e.target)
			e.granted = 0
		}
		if holdsLast {
			// It starts nothing beyond the grant. What it occupies beyond it, it has reported.
			counted = max(e.granted, usedAt(ask.Used, e.target))
		}
		b.count(e, counted)
	}
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool { return e.counted == 0 && e.granted == 0 })
	if ask.Partial {
		return
	}
	// The report contains what an earlier dispatcher of the cell has placed.
	b.loans = slices.DeleteFunc(b.loans, func(o *loan) bool {
		over := o != l && o.cell == l.cell && !now.Before(o.until)
		if over && o.counted() > 0 {
			b.changes++
		}
		return over
	})
}

func (b *Book) count(e *entry, n int) {
	if e.counted != n {
		e.counted = n
		b.changes++
	}
}

func usedAt(used []Slots, target string) int {
	for i := range used {
		if used[i].Target == target {
			return max(used[i].Count, 0)
		}
	}
	return 0
}

// findRoom finds what each target has left beside all loans.
func (b *Book) findRoom(s *Supply) {
	b.room = b.room[:0]
	for i := range s.Targets {
		b.room = append(b.room, s.Targets[i].Count)
	}
	for _, l := range b.loans {
		for i := range l.entries {
			if at := l.entries[i].indexIn(s); at >= 0 {
				b.room[at] -= l.entries[i].counted
			}
		}
	}
}

// size returns how many slots the borrower gets.
func (b *Book) size(now time.Time, l *loan, s *Supply) int {
	reserve := max(minReserve, int(reserveFraction*float64(s.Slots)))
	free, available := -reserve, -reserve
	for i, room := range b.room {
		free += max(room, 0)
		available += max(s.Targets[i].Count, 0)
	}
	if s.Waiting > 0 && free < 0 {
		b.holdUntil = now.Add(holdOff)
	}
	if s.Closed || now.Before(b.holdUntil) {
		return 0
	}
	g, scarce := b.entitlement(now, l, available)
	held := l.granted()
	if g > held {
		return min(g, held+max(free, 0))
	}
	if !scarce && free >= -reserve/2 && 2*g >= held && g > 0 {
		return held // the need varies from moment to moment
	}
	return g
}

// entitlement divides the available slots among the borrowers that ask for some: the highest rank
// first, and within a rank in proportion to what each needs. scarce is true if they do not suffice.
func (b *Book) entitlement(now time.Time, l *loan, available int) (slots int, scarce bool) {
	for _, o := range b.loans {
		if !o.asks(now) {
			available -= o.counted()
		}
	}
	for r := range MaxRanks {
		all := 0
		for _, o := range b.loans {
			if o.asks(now) {
				all += o.need[r]
			}
		}
		if all > max(available, 0) {
			return slots + max(available, 0)*l.need[r]/all, true
		}
		slots, available = slots+l.need[r], available-all
	}
	return slots, false
}

func (l *loan) asks(now time.Time) bool { return now.Sub(l.heard) < askMemory }

// distribute grants the borrower n slots, as far as the targets have them. It keeps what the borrower
// has, and takes the rest where most is free. It reports whether the grant changes.
func (b *Book) distribute(l *loan, n int, s *Supply) (changed bool) {
	for i := range l.entries {
		e := &l.entries[i]
		granted := 0
		if at := e.indexIn(s); at >= 0 {
			b.room[at] += e.counted
			granted = max(min(e.granted, n, b.room[at]), 0)
			b.room[at] -= max(granted, e.counted)
		}
		changed = changed || granted != e.granted
		e.granted, n = granted, n-granted
	}
	for n > 0 {
		at := 0
		for i := range b.room {
			if b.room[i] > b.room[at] {
				at = i
			}
		}
		if len(b.room) == 0 || b.room[at] <= 0 {
			break
		}
		e := l.find(s.Targets[at].Target)
		if e == nil {
			if len(l.entries) >= MaxTargets {
				b.room[at] = 0
				continue
			}
			l.entries = append(l.entries, entry{target: s.Targets[at].Target})
			e = &l.entries[len(l.entries)-1]
		}
		b.room[at]--
		e.granted++
		n--
		changed = true
		b.Counts.Granted++
	}
	for i := range l.entries {
		b.count(&l.entries[i], max(l.entries[i].counted, l.entries[i].granted))
	}
	return changed
}

// describe returns the slots of a grant.
func (b *Book) describe(l *loan, s *Supply) []Slots {
	b.grants = b.grants[:0]
	for i := range l.entries {
		if l.entries[i].granted == 0 {
			continue
		}
		if at := l.entries[i].indexIn(s); at >= 0 {
			t := &s.Targets[at]
			b.grants = append(b.grants, Slots{Target: t.Target, Count: l.entries[i].granted, Prefill: t.Prefill, Decode: t.Decode})
		}
	}
	return b.grants
}

// Expire forgets loans whose borrower was not heard of for long.
func (b *Book) Expire(now time.Time) {
	b.loans = slices.DeleteFunc(b.loans, func(l *loan) bool {
		if l.counted() == 0 {
			return !l.asks(now)
		}
		if !l.expired && !now.Before(l.until) {
			l.expired = true
			b.Counts.Expired++
		}
		if now.Before(l.until.Add(Linger)) {
			return false
		}
		b.changes++
		return true
	})
}

// Release lowers what counts as lent at a target to n: the target's own report shows that no more of
// other cells' work is there. Slots under a lease that has not ended, or only after the report, stay
// counted.
func (b *Book) Release(now time.Time, target string, n int) {
	for _, l := range b.loans {
		if now.Before(l.until.Add(ReportAge)) {
			continue
		}
		if e := l.find(target); e != nil && e.counted > n {
			e.granted = 0
			b.count(e, n)
		}
	}
}

// Loans returns what is lent, for the other daemons of the cell.
func (b *Book) Loans() []Loan {
	var out []Loan
	for _, l := range b.loans {
		if l.counted() == 0 {
			continue
		}
		o := Loan{Borrower: l.borrower, Cell: l.cell}
		for _, e := range l.entries {
			if e.counted > 0 {
				o.Slots = append(o.Slots, Slots{Target: e.target, Count: e.counted})
			}
		}
		out = append(out, o)
	}
	return out
}

// Adopt counts what another dispatcher of the cell has lent. replace is true if the loans are all that
// there are; otherwise they are added to those known. A borrower may hold its grant for a whole lease
// from now: the other dispatcher may have renewed it a moment ago.
func (b *Book) Adopt(now time.Time, loans []Loan, replace bool) {
	if replace {
		b.loans = b.loans[:0]
	}
	for i := range loans {
		o := &loans[i]
		l := b.record(o.Borrower, o.Cell)
		if l == nil {
			l = &loan{borrower: o.Borrower, cell: o.Cell}
			b.loans = append(b.loans, l)
		}
		if until := now.Add(Lease + Margin); until.After(l.until) {
			l.until = until
		}
		for _, u := range o.Slots {
			e := l.find(u.Target)
			if e == nil {
				l.entries = append(l.entries, entry{target: u.Target})
				e = &l.entries[len(l.entries)-1]
			}
			e.counted = max(e.counted, u.Count)
		}
	}
	b.changes++
}
