// Package rate measures tokens a second over the last seconds.
//
// It answers the question when room is expected. A retry-after that is a fixed
// figure is untrue under any load but one: callers come back into a full queue,
// or stay away from an empty one.
package rate

import (
	"math"
	"time"
)

// Meter is a decayed sum of amounts over time.
type Meter struct {
	// TimeConstant is the time in which an amount fades to a third.
	TimeConstant time.Duration
	sum          float64
	observed     float64
	updatedAt    time.Time
}

// Add books an amount at a time.
func (m *Meter) Add(now time.Time, n int) {
	m.Advance(now, true)
	m.sum += float64(n)
}

// Advance lets time go by; time that does not count (an idle queue) is left out.
func (m *Meter) Advance(now time.Time, counts bool) {
	if m.updatedAt.IsZero() {
		m.updatedAt = now
		return
	}
	d := now.Sub(m.updatedAt).Seconds()
	if d <= 0 {
		return
	}
	m.updatedAt = now
	if !counts {
		return
	}
	f := math.Exp(-d / m.TimeConstant.Seconds())
	m.sum *= f
	m.observed = m.observed*f + d
}

// Rate is the amount a second, 0 if less than half a second was measured.
func (m *Meter) Rate() float64 {
	if m.observed < 0.5 {
		return 0
	}
	return m.sum / m.observed
}
