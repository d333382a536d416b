package share

import (
	"slices"
	"time"
)

const (
	// loanDuration is how long a borrower uses a loan. By then two exchanges have told all
	// daemons of its demand.
	loanDuration = 2 * time.Second
	// lendDuration is how long the lender does without the loan. It starts after the
	// borrower's request and ends after the borrower stops by its own clock, so that no
	// share is ever used by both. The margin allows clock rates that differ by a tenth.
	lendDuration = loanDuration + loanDuration/10
	// increaseDelay is how long an increased share must last before it is used; a decrease
	// applies at once. In that time the daemons that lose the share have learned of the
	// same demand; without the delay both would use it. An exchange takes a millisecond or
	// two, and 300 ms leave a margin for a busy host. Of 96 slots, 100, 300, 600 and 1,200
	// ms left 11.6, 13.1, 14.7 and 18.4 idle under a load balancer that moves all load
	// every 5 s (TestUnevenBalancer).
	increaseDelay = 300 * time.Millisecond
)

// Ledger turns the computed shares of one pool, and the loans between daemons, into the
// share in use. It is not safe for concurrent use.
type Ledger struct {
	computed float64
	// recent holds the previous computed shares, since the lowest recent one is used.
	recent []timedAmount
	lent   []timedAmount
	loans  []timedAmount
}

type timedAmount struct {
	at     time.Time
	amount float64
	// settled is the settled share when a loan was taken.
	settled float64
}

// Update records a newly computed share.
func (l *Ledger) Update(now time.Time, share float64) {
	l.recent = append(l.recent, timedAmount{at: now, amount: l.computed})
	l.computed = share
	l.prune(now)
}

// Reset sets the share in use without delay, for a daemon that is alone.
func (l *Ledger) Reset(share float64) {
	l.computed = share
	l.recent = nil
}

func (l *Ledger) prune(now time.Time) {
	olderThan := func(limit time.Duration) func(timedAmount) bool {
		return func(a timedAmount) bool { return now.Sub(a.at) >= limit }
	}
	l.recent = slices.DeleteFunc(l.recent, olderThan(increaseDelay))
	l.lent = slices.DeleteFunc(l.lent, olderThan(lendDuration))
	l.loans = slices.DeleteFunc(l.loans, olderThan(loanDuration))
}

// settled is the share without loans that has lasted for increaseDelay.
func (l *Ledger) settled() float64 {
	lowest := l.computed
	for _, a := range l.recent {
		lowest = min(lowest, a.amount)
	}
	return lowest
}

// InUse is the share to use now.
func (l *Ledger) InUse(now time.Time) float64 {
	l.prune(now)
	v := l.settled()
	for _, a := range l.lent {
		v -= a.amount
	}
	return min(1, max(0, v+l.borrowed()))
}

// borrowed is what loans add to the settled share. An increase of the settled share
// replaces loans: it comes from decreases at the lenders for the same demand, so adding
// both would use those slots twice.
func (l *Ledger) borrowed() float64 {
	if len(l.loans) == 0 {
		return 0
	}
	v, base := 0.0, l.loans[0].settled
	for _, a := range l.loans {
		v = max(0, v-max(0, a.settled-base)) + a.amount
		base = a.settled
	}
	return max(0, v-max(0, l.settled()-base))
}

// NextChange is when the share in use next changes by itself; zero means never.
func (l *Ledger) NextChange() time.Time {
	var next time.Time
	consider := func(list []timedAmount, after time.Duration) {
		for _, a := range list {
			if t := a.at.Add(after); next.IsZero() || t.Before(next) {
				next = t
			}
		}
	}
	consider(l.recent, increaseDelay)
	consider(l.lent, lendDuration)
	consider(l.loans, loanDuration)
	return next
}

// Lend lends the idle share above the lender's floor for n daemons, at most wanted, and
// returns the amount. used is the share taken by running and equally urgent waiting
// requests. Borrowed amounts are not lent on.
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

// Borrow adds a loan that was requested at the given time.
func (l *Ledger) Borrow(requestedAt, now time.Time, amount float64) {
	l.prune(now)
	if now.Sub(requestedAt) < loanDuration && amount > 0 {
		l.loans = append(l.loans, timedAmount{requestedAt, amount, l.settled()})
	}
}
