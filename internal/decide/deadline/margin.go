// Package deadline tells whether work can still end in time.
//
// It answers overload. A queue that is longer than its callers wait serves
// every request too late: all prefill is done and thrown away, and goodput
// falls to nothing while the targets are busy. Refusing at once what cannot end
// in time keeps the answers that are given worth something.
package deadline

import (
	"math"
	"time"
)

const (
	// least is the margin before anything is known of the estimates' errors.
	least = 1.1
	// most bounds the margin: beyond it work would be refused that mostly ends
	// in time.
	most = 2.0
	// spread is how many mean deviations the margin covers; three cover about 98
	// of 100 answers of a normal spread.
	spread = 3
	// smooth weighs a new answer: about fifty answers.
	smooth = 0.02
)

// Margin learns by how much answers take longer than was expected.
type Margin struct {
	mean, dev float64
	n         int
}

// Sample takes how long an answer took and what had been expected.
func (m *Margin) Sample(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	r := min(float64(took)/float64(expected), 4)
	if m.n == 0 {
		m.mean = r
	}
	m.n++
	m.mean += smooth * (r - m.mean)
	m.dev += smooth * (math.Abs(r-m.mean) - m.dev)
}

// Factor is what an expected time is multiplied with to be held by nearly all.
func (m *Margin) Factor() float64 {
	if m.n == 0 {
		return least
	}
	return min(max(m.mean+spread*m.dev, least), most)
}

// Latest is when work that is expected to run so long must start.
func (m *Margin) Latest(deadline time.Time, expected time.Duration) time.Time {
	return deadline.Add(-time.Duration(float64(expected) * m.Factor()))
}
