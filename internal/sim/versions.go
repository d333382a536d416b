package sim

import (
	"fmt"
	"time"

	"github.com/fireflypath/fireflypath/internal/sim/load"
)

// streamCounts counts streams by what became of them where engines have several versions.
type streamCounts struct {
	// Mixed counts the streams with events of two versions.
	Mixed int
	// New counts the first attempts and Began those that brought an event. Resumed counts the attempts
	// that take a stream up, WentOn those that brought an event.
	New, Began, Resumed, WentOn int
}

// versionOf returns the version of the nth engine that is started.
func (w *world) versionOf(n int) string {
	if w.options.Load.Versions < 2 {
		return ""
	}
	return fmt.Sprint("v", n%w.options.Load.Versions)
}

// countOffer counts an attempt.
func (r *request) countOffer() {
	switch {
	case r.version != "":
		r.w.streams.Resumed++
	case r.attempts == 1:
		r.w.streams.New++
	}
}

// recordVersion records which version brought the first event of an attempt.
func (r *request) recordVersion(t *target) {
	switch r.version {
	case "":
		r.w.streams.Began++
		r.version = t.Version
	case t.Version:
		r.w.streams.WentOn++
	default:
		r.w.streams.Mixed++
	}
}

// breakOff has engines break a fraction of their answers off for some time, as the engine or its
// connections do that fail for single requests.
func (w *world) breakOff(b load.Break) {
	w.breaking = b.Fraction
	w.loop.After(b.Duration, func() { w.breaking = 0 })
}

// scheduleBreak may break the answer to a call off after some of its events.
func (c *call) scheduleBreak() {
	w, req := c.r.w, c.engineRequest
	if w.breaking == 0 || w.rnd.Float64() >= w.breaking {
		return
	}
	const longestPart = 400 * time.Millisecond
	w.loop.After(time.Duration(w.rnd.Float64()*float64(longestPart)), func() {
		if c.finished || req != c.engineRequest {
			return
		}
		c.target.Cancel(req)
		c.handleEngineFailure(req, false)
	})
}
