package sim

import (
	"math"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/path"
	"github.com/fireflypath/fireflypath/internal/sim/load"
)

const (
	// directHeadStart, directTimeout and dialTimeout are those of the daemons' connections.
	directHeadStart = 100 * time.Millisecond
	directTimeout   = 400 * time.Millisecond
	dialTimeout     = 600 * time.Millisecond
	// cutSettleTime is how long after the loss of its paths a daemon need not serve like the others.
	cutSettleTime = 3 * time.Second
)

// cutCount counts the first attempts at daemons without paths and at the others while paths are lost,
// once the daemons have had time to find out.
type cutCount struct{ cutSent, cutServed, otherSent, otherServed int }

// isCut reports whether the daemon has lost its path to the target.
func (w *world) isCut(d *daemon, t *target) bool { return w.cuts[d][t] }

// applyCut takes the paths to engines from daemons for some time.
func (w *world) applyCut(c load.Cut) {
	daemons := w.daemons[:int(math.Ceil(c.Daemons*float64(len(w.daemons))))]
	targets := w.randomTargets(c.Engines)
	for _, d := range daemons {
		w.cuts[d] = map[*target]bool{}
		for _, t := range targets {
			w.cuts[d][t] = true
		}
		d.breakConnections(targets)
	}
	w.loop.After(cutSettleTime, func() { w.countingCut = len(targets) == len(w.targets) })
	w.loop.After(c.Duration, func() {
		w.countingCut = false
		for _, d := range daemons {
			delete(w.cuts, d)
		}
	})
}

// breakConnections ends the daemon's requests at engines that it can no longer reach.
func (d *daemon) breakConnections(targets []*target) {
	for _, c := range d.runningCalls() {
		for _, t := range targets {
			if c.target != t || c.viaPeer {
				continue
			}
			d.paths.Broke(d.w.loop.Now(), t.Addr)
			t.Cancel(c.engineRequest)
			c.handleEngineFailure(c.engineRequest, d.paths.Isolated(d.w.loop.Now()))
		}
	}
}

// runningCalls returns the calls that are at engines, in the order of their ids.
func (d *daemon) runningCalls() []*call {
	var out []*call
	for _, c := range d.calls {
		if c.engineRequest != nil && !c.finished {
			out = append(out, c)
		}
	}
	sortCalls(out)
	return out
}

// connect returns how long a connection to the target takes in addition to the usual way, and whether
// it leads through a peer. It reports false if nobody reaches the target.
func (d *daemon) connect(t *target) (delay time.Duration, viaPeer, ok bool) {
	w, now := d.w, d.w.loop.Now()
	choice := d.paths.Choose(now, t.Addr)
	if !w.isCut(d, t) && choice != path.Indirect {
		d.paths.Worked(t.Addr)
		return 0, false, true
	}
	if choice == path.Direct {
		delay = directHeadStart
	}
	if choice != path.Indirect {
		w.loop.After(directTimeout, func() {
			if w.isCut(d, t) {
				d.paths.Failed(w.loop.Now(), t.Addr)
			}
		})
	}
	for _, o := range w.daemons {
		if o != d && !w.isCut(o, t) {
			return delay + 2*w.options.Fleet.Hop.Duration(), true, true
		}
	}
	return dialTimeout, false, false
}

// unsent returns the call to the scheduler, since no connection could be made.
func (c *call) unsent() {
	if c.finished {
		return
	}
	c.work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateWaiting)
	c.engineRequest = nil
	c.d.observe(fireflypath.Event{Kind: fireflypath.EventUnsent, Work: &c.work, Target: c.target.Name, NotByTarget: c.d.paths.Isolated(c.r.w.loop.Now()), Cached: -1})
}

// countAttempt counts the first attempt of a request while paths are lost.
func (w *world) countAttempt(r *request) {
	if !w.countingCut {
		return
	}
	r.counted = true
	if w.cuts[r.lastDaemon] != nil {
		r.countedCut = true
		w.cutCount.cutSent++
		return
	}
	w.cutCount.otherSent++
}

// countServed counts that a request was served at its first attempt.
func (w *world) countServed(r *request) {
	switch {
	case !r.counted || r.attempts > 1:
	case r.countedCut:
		w.cutCount.cutServed++
	default:
		w.cutCount.otherServed++
	}
}
