package engine

import "time"

// Load is a report as docs/PROTOCOLS.md gives it.
type Load struct {
	At       int64 `json:"at"`
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Tokens   int   `json:"tokens"`
	Batch    int   `json:"batch"`
	Draining bool  `json:"draining"`
}

// history holds the loads of the last while, so that reports can lag.
type history struct {
	samples []sample
}

type sample struct {
	at   time.Time
	load Load
}

// add appends a load and drops those that no report needs any more.
func (h *history) add(now time.Time, l Load, lag time.Duration) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < tick {
		h.samples[n-1].load = l
		return
	}
	h.samples = append(h.samples, sample{now, l})
	old := 0
	for old+1 < len(h.samples) && !h.samples[old+1].at.After(now.Add(-lag)) {
		old++
	}
	h.samples = append(h.samples[:0], h.samples[old:]...)
}

// at is the load as it was at a time.
func (h *history) at(t time.Time) Load {
	var l Load
	for _, s := range h.samples {
		if s.at.After(t) {
			break
		}
		l = s.load
	}
	l.At = t.UnixMilli()
	return l
}
