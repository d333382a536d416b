package share

import (
	"slices"
	"time"
)

const (
	// loanDuration is how long a borrower uses a loan; by then two exchanges have
	// told everybody of its demand.
	loanDuration = 2 * time.Second
	// lendDuration is how long the lender does without. It begins after the
	// borrower asked and ends later than the borrower stops by its own clock,
	// so that no part is ever used by both; the margin covers clocks that run
	// unlike by a tenth.
	lendDuration = loanDuration + loanDuration/10
	// increaseDelay is how long a larger part must stand before it is used. A smaller
	// one is used at once. Meanwhile the daemons that lose it have heard of the
	// same demand; without it both would use it. A beat takes a millisecond or
	// two, and 300 ms leave room for a busy host. Of 96 places, 100, 300, 600
	// and 1,200 ms left 11.6, 13.1, 14.7 and 18.4 idle under a balancer that
	// moves all load every 5 s (TestUnevenBalancer).
	increaseDelay = 300 * time.Millisecond
)

// Ledger turns computed parts of one pool into the part in use. It is not safe
// for concurrent use.
type Ledger struct {
	computed float64
	// recent holds recent parts, so that the smallest of them can be used.
	recent []timedAmount
	lent   []timedAmount
	loans  []timedAmount
}

type timedAmount struct {
	at     time.Time
	amount float64
	// settled is the settled part when a loan was taken.
	settled float64
}

// Update notes a newly computed part.
func (l *Ledger) Update(now time.Time, part float64) {
	l.recent = append(l.recent, timedAmount{at: now, amount: l.computed})
	l.computed = part
	l.prune(now)
}

// Reset puts a part in use at once, for a daemon alone.
func (l *Ledger) Reset(part float64) {
	l.computed = part
	l.recent = nil
}

func (l *Ledger) prune(now time.Time) {
	older := func(limit time.Duration) func(timedAmount) bool {
		return func(d timedAmount) bool { return now.Sub(d.at) >= limit }
	}
	l.recent = slices.DeleteFunc(l.recent, older(increaseDelay))
	l.lent = slices.DeleteFunc(l.lent, older(lendDuration))
	l.loans = slices.DeleteFunc(l.loans, older(loanDuration))
}

// settled is the settled part without loans.
func (l *Ledger) settled() float64 {
	least := l.computed
	for _, d := range l.recent {
		least = min(least, d.amount)
	}
	return least
}

// InUse is the part to use now.
func (l *Ledger) InUse(now time.Time) float64 {
	l.prune(now)
	v := l.settled()
	for _, d := range l.lent {
		v -= d.amount
	}
	return min(1, max(0, v+l.borrowed()))
}

// borrowed is what loans add to the settled part. A part that grows takes the
// place of the loans: it grows because the lenders' parts shrink, for the same
// demand, and both together would use those twice.
func (l *Ledger) borrowed() float64 {
	if len(l.loans) == 0 {
		return 0
	}
	v, base := 0.0, l.loans[0].settled
	for _, d := range l.loans {
		v = max(0, v-max(0, d.settled-base)) + d.amount
		base = d.settled
	}
	return max(0, v-max(0, l.settled()-base))
}

// NextChange is when the part in use changes by itself next; zero means never.
func (l *Ledger) NextChange() time.Time {
	var next time.Time
	first := func(ds []timedAmount, after time.Duration) {
		for _, d := range ds {
			if t := d.at.Add(after); next.IsZero() || t.Before(next) {
				next = t
			}
		}
	}
	first(l.recent, increaseDelay)
	first(l.lent, lendDuration)
	first(l.loans, loanDuration)
	return next
}

// Lend gives away what is idle above the floor of n daemons, at most wanted,
// and returns it. used is the part that running and equally urgent waiting work
// takes. What was borrowed is not lent on.
func (l *Ledger) Lend(now time.Time, wanted, used float64, n int) float64 {
	free := l.InUse(now) - max(used, lenderFloorFraction/float64(max(1, n)))
	free -= l.borrowed()
	amount := min(wanted, free)
	if amount <= 0 {
		return 0
	}
	l.lent = append(l.lent, timedAmount{at: now, amount: amount})
	return amount
}

// Borrow takes a loan that was asked for at the given time.
func (l *Ledger) Borrow(asked, now time.Time, amount float64) {
	l.prune(now)
	if now.Sub(asked) < loanDuration && amount > 0 {
		l.loans = append(l.loans, timedAmount{asked, amount, l.settled()})
	}
}
