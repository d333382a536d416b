package trial

import (
	"container/heap"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// cancelInterval is the minimum interval between two cancellations by one daemon: a
// freed slot is visible only after a few hops.
const cancelInterval = 100 * time.Millisecond

// runningRequest is a request that was dispatched to an engine.
type runningRequest struct {
	request *request
	job     *job
	engine  *engine
}

// cancelLowest cancels a running idempotent request of the lowest tier if a request of
// a higher tier has waited for half of its deadline. It exists only to compare
// cancellation with the shipped policy.
func (d *daemon) cancelLowest() {
	if !d.fleet.policy.cancels || d.now().Sub(d.lastCancel) < cancelInterval {
		return
	}
	urgent := d.mostUrgent()
	if urgent == nil {
		return
	}
	at := -1
	for i, r := range d.running {
		if !r.job.work.Idempotent || r.job.work.Rank <= urgent.Rank {
			continue
		}
		if at < 0 || r.job.work.Rank >= d.running[at].job.work.Rank {
			at = i
		}
	}
	if at < 0 {
		return
	}
	r := d.running[at]
	d.running = slices.Delete(d.running, at, at+1)
	d.lastCancel = d.now()
	d.fleet.loop.after(hop, func() {
		r.engine.cancelJob(r.job)
		d.fleet.loop.after(hop, func() { d.handleCancelled(r) })
	})
}

// mostUrgent returns the waiting work of the highest tier, then the oldest by ID, among
// the work that has waited for half of its deadline.
func (d *daemon) mostUrgent() *fireflypath.Work {
	var urgent *fireflypath.Work
	for w, r := range d.waiting {
		if w.Rank >= len(d.fleet.mix.Tiers)-1 || 2*d.now().Sub(r.started) < r.arrival.Deadline {
			continue
		}
		if urgent == nil || w.Rank < urgent.Rank || (w.Rank == urgent.Rank && w.ID < urgent.ID) {
			urgent = w
		}
	}
	return urgent
}

func (d *daemon) handleCancelled(r runningRequest) {
	r.job.work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateFailed)
	d.fleet.tally.cancelled(r.request)
	d.observe(fireflypath.Event{Kind: fireflypath.EventFailed, Target: r.engine.name, Work: r.job.work})
}

// removeRunning removes a request that has finished.
func (d *daemon) removeRunning(j *job) {
	d.running = slices.DeleteFunc(d.running, func(r runningRequest) bool { return r.job == j })
}

// cancelJob stops a job. A running prefill continues to its end, as in engines that
// check for cancellations between steps.
func (e *engine) cancelJob(j *job) {
	j.cancelled = true
	if i := slices.Index(e.queue, j); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		e.heldTokens -= j.work.Cost.Prompt + j.output
		return
	}
	if i := slices.Index(e.running, j); i >= 0 {
		e.advance()
		heap.Remove(&e.running, i)
		e.heldTokens -= j.output
		e.startPrefill()
		e.scheduleFinish()
	}
}
