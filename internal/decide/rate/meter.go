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
	// Horizon is the time in which an amount fades to a third.
	Horizon time.Duration
	sum     float64
	span    float64
	at      time.Time
}

// Add books an amount at a time.
func (m *Meter) Add(now time.Time, n int) {
	m.Pass(now, true)
	m.sum += float64(n)
}

// Pass lets time go by; time that does not count (an idle queue) is left out.
func (m *Meter) Pass(now time.Time, counts bool) {
	if m.at.IsZero() {
		m.at = now
		return
	}
	d := now.Sub(m.at).Seconds()
	if d <= 0 {
		return
	}
	m.at = now
	if !counts {
		return
	}
	f := math.Exp(-d / m.Horizon.Seconds())
	m.sum *= f
	m.span = m.span*f + d
}

// Rate is the amount a second, 0 if less than half a second was measured.
func (m *Meter) Rate() float64 {
	if m.span < 0.5 {
		return 0
	}
	return m.sum / m.span
}
