// Package allowance tells how long a caller has been trying, from the time that it says it has left.
//
// It answers callers who come back after a refusal. Their answer was due long ago,
// but each attempt looks new; taken for new, they stand before callers who can still
// be served in time, and in an overload all are served a little too late. On drawn
// loads of heavy days it is worth 0.002 to 0.008 of what callers are owed.
package allowance

import "time"

const (
	// windowLength is the time after which the most that was seen is forgotten: callers'
	// times change when operators change them.
	windowLength = 5 * time.Second
	// jitter is the time by which first attempts differ: the way, and connections.
	jitter = 60 * time.Millisecond
	// minAttempts is the number of attempts, and common the part of them that must come
	// with nearly the most, before less is taken to mean a return. Where callers'
	// times differ by themselves, nothing is known.
	minAttempts = 8
	minNearMax  = 0.25
)

// RetryDetector watches the attempts of one kind of request. The zero value has seen none.
// It is not safe for concurrent use.
type RetryDetector struct {
	current, previous window
	startedAt         time.Time
}

// window counts attempts in one span.
type window struct {
	maxRemaining      time.Duration
	attempts, nearMax int
}

// Observe counts an attempt that has so much time left, and returns for how long its
// caller has been trying: 0 for a first attempt, or where that cannot be told.
func (m *RetryDetector) Observe(now time.Time, left time.Duration) time.Duration {
	if d := now.Sub(m.startedAt); d >= windowLength {
		m.previous, m.current = m.current, window{}
		if d >= 2*windowLength {
			m.previous = window{}
		}
		m.startedAt = now
	}
	m.current.add(left)
	most := max(m.current.maxRemaining, m.previous.maxRemaining)
	n, near := m.current.attempts, m.current.nearMax
	if m.previous.maxRemaining > m.current.maxRemaining+jitter {
		near = 0
	}
	if m.previous.maxRemaining >= most-jitter {
		near += m.previous.nearMax
	}
	n += m.previous.attempts
	if n < minAttempts || float64(near) < minNearMax*float64(n) || most-left < jitter {
		return 0
	}
	return most - left
}

func (w *window) add(left time.Duration) {
	w.attempts++
	switch {
	case left > w.maxRemaining+jitter:
		w.maxRemaining, w.nearMax = left, 1
	case left >= w.maxRemaining-jitter:
		w.maxRemaining = max(w.maxRemaining, left)
		w.nearMax++
	}
}
