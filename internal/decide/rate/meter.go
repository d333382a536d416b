// Package rate measures rates, such as tokens or requests per second, over the last
// seconds.
//
// They are used, among others, to predict when there will be room. A fixed Retry-After is
// right for one load only: with others, callers come back to a full queue or stay away
// from an empty one.
package rate

import (
	"math"
	"time"
)

// Meter is an exponentially decaying sum of amounts.
type Meter struct {
	// TimeConstant is the time in which an amount decays to about a third (1/e).
	TimeConstant time.Duration
	sum          float64
	observed     float64
	updatedAt    time.Time
}

// Add adds an amount at a time.
func (m *Meter) Add(now time.Time, amount int) {
	m.Advance(now, true)
	m.sum += float64(amount)
}

// Advance moves time forward. Time that does not count, such as that of an idle queue, is
// skipped.
func (m *Meter) Advance(now time.Time, counts bool) {
	if m.updatedAt.IsZero() {
		m.updatedAt = now
		return
	}
	elapsed := now.Sub(m.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	m.updatedAt = now
	if !counts {
		return
	}
	decay := math.Exp(-elapsed / m.TimeConstant.Seconds())
	m.sum *= decay
	m.observed = m.observed*decay + elapsed
}

// Rate is the amount per second, or 0 if less than half a second was observed.
func (m *Meter) Rate() float64 {
	if m.observed < 0.5 {
		return 0
	}
	return m.sum / m.observed
}
