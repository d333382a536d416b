// Package window learns how many requests and tokens a target may hold at once.
//
// Engines serve first in, first out and know no priorities. With a large window, a
// request of the highest tier waits behind those sent earlier; with a small one,
// the engine's batch stays half empty. Without any limit, a restarted target would
// receive full load at once while its cache is cold.
package window

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// initialRequests is the window, in requests, of a target without history or
	// one that came back: a quarter of the common batch of 16.
	initialRequests = 4
	// defaultBatch is the batch size assumed for a target that does not report it.
	defaultBatch = 16
	// maxRequests bounds the window of a target whose batch size is unknown.
	maxRequests = 256
	// maxPrefillTime is how much prefill, in time, a target may have pending. It
	// bounds how long a request of the highest tier waits behind lower ones, and
	// half a second is many times what passes between the end of an answer and the
	// next dispatch.
	maxPrefillTime = 500 * time.Millisecond
	// shrinkFactor is applied when the target reports a queue of its own. Three
	// reports halve the window.
	shrinkFactor = 0.8
	// growthFactor is applied when a report shows the window in use and no long
	// queue. Four reports take a window from initialRequests to a full batch.
	growthFactor = 1.5
	// batchHeadroom is the fraction of a batch that may additionally be in prefill
	// or waiting for it, so that the next request is present when one ends.
	batchHeadroom = 0.25
	// maxQueuedFraction is the number of waiting requests, as a fraction of the
	// running ones, that a target may report before its window counts as too large.
	// Reports are seconds old, and a short queue in one is transient.
	maxQueuedFraction = 0.25
)

// Window is the learned window of a whole target, for all daemons together.
type Window struct {
	requests float64
	batch    int
	// maxTokens is the configured limit in tokens, 0 for none.
	maxTokens int
}

// New returns the Window of a target without history.
func New(maxTokens int) Window {
	return Window{requests: initialRequests, maxTokens: maxTokens}
}

// Reset restarts learning, for a target that came back.
func (w *Window) Reset() {
	w.requests = initialRequests
}

// ObserveAnswer grows the window after a complete answer by one request, which
// doubles it with every window of answers until the batch is filled.
func (w *Window) ObserveAnswer() {
	if w.requests < float64(w.limit()) {
		w.requests++
	}
}

// ObserveReport adjusts the window to the target's own load report, which covers the
// requests of all daemons. A daemon whose share of a small window is less than one
// request would otherwise never see it grow.
func (w *Window) ObserveReport(r fireflypath.Report) {
	if r.MaxRunning > 0 {
		w.batch = r.MaxRunning
	}
	overloaded := float64(r.Waiting) > maxQueuedFraction*float64(max(r.Running, 1))
	switch {
	case overloaded && w.batch == 0:
		w.requests = max(min(w.requests*shrinkFactor, float64(r.Running)), 1)
	case !overloaded && 2*float64(r.Running+r.Waiting) >= w.requests:
		w.requests = min(w.requests*growthFactor, float64(w.limit()))
	}
}

// Requests returns how many requests the target may hold.
func (w *Window) Requests() float64 {
	return min(w.requests, float64(w.limit()))
}

// Tokens returns how many prompt tokens the target may have pending at its prefill
// rate. A configured limit bounds it.
func (w *Window) Tokens(prefillRate float64) int {
	n := int(prefillRate * maxPrefillTime.Seconds())
	if w.maxTokens > 0 {
		return min(w.maxTokens, n)
	}
	return n
}

// limit returns the largest window in requests.
func (w *Window) limit() int {
	if w.batch > 0 {
		return w.batch + int(batchHeadroom*float64(w.batch))
	}
	if w.requests > defaultBatch {
		return maxRequests
	}
	return defaultBatch
}
