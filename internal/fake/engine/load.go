package engine

import "time"

// Load is the load report of docs/PROTOCOLS.md.
type Load struct {
	At       int64 `json:"at"`
	Running  int   `json:"running"`
	Waiting  int   `json:"waiting"`
	Tokens   int   `json:"tokens"`
	Batch    int   `json:"batch"`
	Draining bool  `json:"draining"`
}

// loadSamples holds the recent loads, so that reports can lag behind.
type loadSamples struct {
	samples []sample
}

type sample struct {
	at   time.Time
	load Load
}

// add appends a load and drops the samples that are too old for any report.
func (h *loadSamples) add(now time.Time, l Load, lag time.Duration) {
	if n := len(h.samples); n > 0 && now.Sub(h.samples[n-1].at) < stepInterval {
		h.samples[n-1].load = l
		return
	}
	h.samples = append(h.samples, sample{now, l})
	obsolete := 0
	for obsolete+1 < len(h.samples) && !h.samples[obsolete+1].at.After(now.Add(-lag)) {
		obsolete++
	}
	h.samples = append(h.samples[:0], h.samples[obsolete:]...)
}

// at returns the load at a point in time.
func (h *loadSamples) at(t time.Time) Load {
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
