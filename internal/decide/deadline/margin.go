// Package deadline estimates whether work can still meet its deadline.
//
// It protects goodput under overload. If the queue is longer than callers wait,
// every request is served too late: all prefill is wasted and goodput drops to
// zero while the targets are busy. Refusing at once what cannot be completed in
// time keeps the remaining answers useful.
package deadline

import (
	"math"
	"time"
)

const (
	// minFactor is the smallest factor, and the one used before any answer.
	minFactor = 1.1
	// maxFactor is the largest factor. Beyond it, work would be refused that is
	// mostly completed in time.
	maxFactor = 2.0
	// deviations is the number of mean deviations covered by the margin; three
	// cover about 98 of 100 normally distributed answer times.
	deviations = 3
	// tightFraction is the part of the margin kept by TightFactor. One third of
	// three deviations leaves about one answer in six late.
	tightFraction = 1.0 / 3
	// sampleWeight is the weight of a new answer in the moving averages, which
	// thus cover about fifty answers.
	sampleWeight = 0.02
)

// Margin learns how much longer than expected answers take.
type Margin struct {
	mean, deviation float64
	samples         int
}

// Observe records the actual and the expected time of an answer.
func (m *Margin) Observe(took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	ratio := min(float64(took)/float64(expected), 4)
	if m.samples == 0 {
		m.mean = ratio
	}
	m.samples++
	m.mean += sampleWeight * (ratio - m.mean)
	m.deviation += sampleWeight * (math.Abs(ratio-m.mean) - m.deviation)
}

// Factor returns the factor by which to multiply an expected time so that
// nearly all answers are covered.
func (m *Margin) Factor() float64 {
	if m.samples == 0 {
		return minFactor
	}
	return min(max(m.mean+deviations*m.deviation, minFactor), maxFactor)
}

// TightFactor returns a smaller factor for work that has no better option: if
// it waits for a safer target until it is too late, it is certain to be
// refused.
func (m *Margin) TightFactor() float64 {
	return 1 + (m.Factor()-1)*tightFraction
}

// LatestStart returns when work with the given expected time must start to meet
// its deadline.
func LatestStart(deadline time.Time, expected time.Duration, factor float64) time.Time {
	return deadline.Add(-time.Duration(float64(expected) * factor))
}
