// Package window learns how much work one target may hold.
//
// It answers engines that are first-in first-out and know no priorities. With
// a deep window a request of the highest tier stands behind work that was sent
// earlier, and with a shallow one the engine's batch stays half empty. Without
// a limit for a restarted target its cold cache meets a full load at once.
package window

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// start is the window in requests of a target that nothing is known of, and
	// of one that came back: a quarter of a common batch of 16.
	start = 4
	// usual is the batch assumed for a target that never told its own.
	usual = 16
	// most bounds the window of a target whose batch is unknown.
	most = 256
	// depth is how much prefill the target may have before it. The work of
	// the highest tier waits at most about that long behind lower work, and half a
	// second bridges the time between an answer's end and the next dispatch many
	// times over.
	depth = 500 * time.Millisecond
	// shrink is the factor when the target reports a queue of its own; it
	// halves the window in three reports.
	shrink = 0.8
	// growth is the factor when a report shows the window used and no queue: from
	// start to a full batch in four reports.
	growth = 1.5
	// slack is the part of a batch that may stand in prefill or before it, so
	// that the next request is there when one ends.
	slack = 0.25
	// queued is the part of its batch that a target may report as waiting
	// before the window is taken as too deep; reports are seconds old, and a
	// short queue in them is a moment's.
	queued = 0.25
)

// Window is the learned window of one whole target, over all daemons.
type Window struct {
	requests float64
	batch    int
	// top is the configured bound in tokens, 0 for none.
	top int
}

// New makes a Window for a target that nothing is known of.
func New(top int) Window {
	return Window{requests: start, top: top}
}

// Reset starts over, for a target that came back.
func (w *Window) Reset() {
	w.requests = start
}

// Done grows the window after a whole answer: by one request each, which
// doubles it with every window of answers until the batch is filled.
func (w *Window) Done() {
	if w.requests < float64(w.limit()) {
		w.requests++
	}
}

// Report learns from the target's own statement, which covers the work of all
// daemons: one whose part of a small window is less than a request would
// otherwise never see the window grow.
func (w *Window) Report(r fireflypath.Report) {
	if r.Batch > 0 {
		w.batch = r.Batch
	}
	long := float64(r.Waiting) > queued*float64(max(r.Running, 1))
	switch {
	case long && w.batch == 0:
		w.requests = max(min(w.requests*shrink, float64(r.Running)), 1)
	case !long && 2*float64(r.Running+r.Waiting) >= w.requests:
		w.requests = min(w.requests*growth, float64(w.limit()))
	}
}

// Requests is how many requests the target may hold.
func (w *Window) Requests() float64 {
	return min(w.requests, float64(w.limit()))
}

// Tokens is how much prefill the target may have before it, given its speed;
// a configured window goes first.
func (w *Window) Tokens(prefill float64) int {
	n := int(prefill * depth.Seconds())
	if w.top > 0 {
		return min(w.top, n)
	}
	return n
}

func (w *Window) limit() int {
	if w.batch > 0 {
		return w.batch + int(slack*float64(w.batch))
	}
	if w.requests > usual {
		return most
	}
	return usual
}
