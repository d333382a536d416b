package trial

import (
	"container/heap"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// pause is the least time between two cancellations by one daemon: the freed
// slot needs a few hops to be seen.
const pause = 100 * time.Millisecond

// flight is a request in progress at an engine.
type flight struct {
	request *request
	job     *job
	engine  *engine
}

// cancel stops running work of the lowest tier in favour of higher work that has
// waited for half of its time. It is tried against the shipped policy only.
func (d *daemon) cancel() {
	if !d.fleet.policy.cancel || d.now().Sub(d.cancelled) < pause {
		return
	}
	need := d.pressed()
	if need == nil {
		return
	}
	at := -1
	for i, f := range d.flights {
		if !f.job.work.Idempotent || f.job.work.Rank <= need.Rank {
			continue
		}
		if at < 0 || f.job.work.Rank >= d.flights[at].job.work.Rank {
			at = i
		}
	}
	if at < 0 {
		return
	}
	f := d.flights[at]
	d.flights = slices.Delete(d.flights, at, at+1)
	d.cancelled = d.now()
	d.fleet.loop.after(hop, func() {
		f.engine.cancel(f.job)
		d.fleet.loop.after(hop, func() { d.lost(f) })
	})
}

// pressed is the highest, oldest waiting work that has waited for half its time.
func (d *daemon) pressed() *fireflypath.Work {
	var need *fireflypath.Work
	for w, r := range d.waits {
		if w.Rank >= len(d.fleet.mix.Tiers)-1 || 2*d.now().Sub(r.started) < r.arrival.Deadline {
			continue
		}
		if need == nil || w.Rank < need.Rank || (w.Rank == need.Rank && w.ID < need.ID) {
			need = w
		}
	}
	return need
}

func (d *daemon) lost(f flight) {
	f.job.work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateFailed)
	d.fleet.tally.cut(f.request)
	d.observe(fireflypath.Event{Kind: fireflypath.EventFailed, Target: f.engine.name, Work: f.job.work})
}

// land forgets a request that has ended.
func (d *daemon) land(j *job) {
	d.flights = slices.DeleteFunc(d.flights, func(f flight) bool { return f.job == j })
}

// cancel stops a job. A prefill goes on to its end, as in engines that check
// for cancellations between steps.
func (e *engine) cancel(j *job) {
	j.cut = true
	if i := slices.Index(e.queue, j); i >= 0 {
		e.queue = slices.Delete(e.queue, i, i+1)
		e.held -= j.work.Cost.Prompt + j.output
		return
	}
	if i := slices.Index(e.running, j); i >= 0 {
		e.advance()
		heap.Remove(&e.running, i)
		e.held -= j.output
		e.fill()
		e.schedule()
	}
}
