package dispatcher

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/lend"
)

// Lender is a scheduler that can lend slots to other cells and use theirs.
type Lender interface {
	// Lends reports whether slots may be lent and borrowed.
	Lends() bool
	AnswerAsk(now time.Time, from string, ask *lend.Ask, closed bool) lend.Grant
	CancelGrant(from string)
	PlanBorrowing(now time.Time, cells, self int, partial bool, owner func(target string) int, calls []lend.Call) []lend.Call
	ApplyGrant(now time.Time, cell int, until time.Time, g *lend.Grant)
	AskFailed(now time.Time, cell int)
	EndBorrowing()
	// Lose has a request at a borrowed target count as in flight although its daemon is not heard of.
	Lose(now time.Time, w *fireflypath.Work)
	// BorrowedUntil returns until when work may be sent to the target if it is borrowed, or zero.
	BorrowedUntil(target string) time.Time
	// Loans returns what is lent. LoanChanges changes whenever it does.
	Loans() []lend.Loan
	LoanChanges() uint64
	AdoptLoans(now time.Time, loans []lend.Loan, replace bool)
	// WantsLoad reports whether the target's own report of its load is needed, which ObserveLoad takes.
	WantsLoad(now time.Time, target string) bool
	ObserveLoad(now time.Time, identity string, others int)
	LendingState(now time.Time) (held, lenders, lent int, counts lend.Counts)
}

// lenderOf returns the scheduler as a Lender if it may lend, or nil.
func lenderOf(s Scheduler) Lender {
	if l, ok := s.(Lender); ok && l.Lends() {
		return l
	}
	return nil
}

// Lender returns the scheduler if it may lend now, or nil.
func (d *Dispatcher) Lender() Lender {
	if d.lender == nil || !d.lender.Lends() {
		return nil
	}
	return d.lender
}

// AnswerAsk decides on the request of another cell's dispatcher. closed is true if nothing may be lent.
func (d *Dispatcher) AnswerAsk(now time.Time, from string, ask *lend.Ask, closed bool) lend.Grant {
	g := d.lender.AnswerAsk(now, from, ask, closed)
	g.Slots = slices.Clone(g.Slots)
	d.dispatchWaiting(now) // the report of the borrower may have freed slots
	return g
}

// EndBorrowing ends the use of all borrowed slots.
func (d *Dispatcher) EndBorrowing() {
	if d.lender != nil {
		d.lender.EndBorrowing()
	}
}

// ApplyGrant applies the answer of another cell, which may be used until the given time.
func (d *Dispatcher) ApplyGrant(now time.Time, cell int, until time.Time, g *lend.Grant) {
	if d.lender == nil {
		return
	}
	d.lender.ApplyGrant(now, cell, until, g)
	d.dispatchWaiting(now)
}

// TargetNames returns the names of the pool's targets.
func (d *Dispatcher) TargetNames() []string {
	out := make([]string, 0, len(d.list.All()))
	for _, t := range d.list.All() {
		out = append(out, t.Name)
	}
	return out
}

// addLendingTerms adds to a decision until when its target may be used, and whether its load is to be
// reported. The time counts from the arrival of the work, which is no later at the daemon than it
// appears here, so that the daemon sends nothing later than this dispatcher may.
func (d *Dispatcher) addLendingTerms(now time.Time, e *entry, decision *fireflypath.Decision) {
	if d.lender == nil {
		return
	}
	if until := d.lender.BorrowedUntil(d.placement.Target); !until.IsZero() {
		decision.Within = max(fireflypath.MicrosOf(until.Sub(e.work.Arrived)), 1)
	}
	decision.Load = d.lender.WantsLoad(now, d.placement.Target)
}

// applyLoads applies what targets report of their load.
func (d *Dispatcher) applyLoads(now time.Time, loads map[string]int) {
	if d.lender == nil {
		return
	}
	for identity, others := range loads {
		d.lender.ObserveLoad(now, identity, others)
	}
}
