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
	// tight is the part of the margin that is kept in the end: a third of three
	// deviations leaves about one answer of six late.
	tight = 1.0 / 3
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

// Tight is the factor when nothing better is to be hoped for: work that waits
// for a safer place until it is too late is refused with certainty.
func (m *Margin) Tight() float64 {
	return 1 + (m.Factor()-1)*tight
}

// Latest is when work that is expected to run so long must start.
func Latest(deadline time.Time, expected time.Duration, factor float64) time.Time {
	return deadline.Add(-time.Duration(float64(expected) * factor))
}
