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
	need := d.mostUrgent()
	if need == nil {
		return
	}
	at := -1
	for i, f := range d.running {
		if !f.job.work.Idempotent || f.job.work.Rank <= need.Rank {
			continue
		}
		if at < 0 || f.job.work.Rank >= d.running[at].job.work.Rank {
			at = i
		}
	}
	if at < 0 {
		return
	}
	f := d.running[at]
	d.running = slices.Delete(d.running, at, at+1)
	d.lastCancel = d.now()
	d.fleet.loop.after(hop, func() {
		f.engine.cancelJob(f.job)
		d.fleet.loop.after(hop, func() { d.handleCancelled(f) })
	})
}

// mostUrgent returns the waiting work of the highest tier, then the oldest by ID, among
// the work that has waited for half of its deadline.
func (d *daemon) mostUrgent() *fireflypath.Work {
	var need *fireflypath.Work
	for w, r := range d.waiting {
		if w.Rank >= len(d.fleet.mix.Tiers)-1 || 2*d.now().Sub(r.started) < r.arrival.Deadline {
			continue
		}
		if need == nil || w.Rank < need.Rank || (w.Rank == need.Rank && w.ID < need.ID) {
			need = w
		}
	}
	return need
}

func (d *daemon) handleCancelled(f runningRequest) {
	f.job.work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateFailed)
	d.fleet.tally.cancelled(f.request)
	d.observe(fireflypath.Event{Kind: fireflypath.EventFailed, Target: f.engine.name, Work: f.job.work})
}

// removeRunning removes a request that has finished.
func (d *daemon) removeRunning(j *job) {
	d.running = slices.DeleteFunc(d.running, func(f runningRequest) bool { return f.job == j })
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
