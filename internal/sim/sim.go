// Package sim runs the daemons' schedulers in virtual time against simulated engines
// and callers whose sizes, rates and behavior are those of the users.
package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/sim/engine"
	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/load"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

// settleTime is how long a run continues after the last arrival.
const settleTime = 12 * time.Second

// SchedulerFactory returns a new scheduler for one daemon.
type SchedulerFactory func(pool fireflypath.Pool, seed uint64) fireflypath.Scheduler

// Options configure one run.
type Options struct {
	Fleet        fleet.Fleet
	Load         load.Load
	Seed         uint64
	NewScheduler SchedulerFactory
	// NewDispatcherScheduler returns the scheduler of a dispatcher that decides for a
	// group of daemons. It is nil if each daemon decides alone.
	NewDispatcherScheduler func(pool fireflypath.Pool, seed uint64) dispatcher.Scheduler
}

// world is the state of one run.
type world struct {
	options Options
	loop    *loop.Loop
	rnd     *rand.Rand
	daemons []*daemon
	// targets lists the existing engines in the order of their start.
	targets []*target
	started int
	tally   *tally
}

// target is an engine together with its entry in the target list.
type target struct {
	fireflypath.Target
	*engine.Engine
	speed float64
	// notice is what the engine declares in its answers.
	notice fireflypath.Notice
	// informedAt is when each daemon, since its last start, first received an answer that names
	// the limit. arrivals holds when requests of informed daemons reached the engine.
	informedAt map[informedDaemon]time.Time
	arrivals   []time.Time
}

// informedDaemon is one run of a daemon.
type informedDaemon struct {
	name        string
	incarnation int
}

// recordArrival records a request that reached the engine, if it names a limit and the daemon
// has known that for limitDelay.
func (t *target) recordArrival(now time.Time, d *daemon) {
	at, informed := t.informedAt[informedDaemon{d.name, d.incarnation}]
	if informed && now.Sub(at) >= limitDelay {
		t.arrivals = append(t.arrivals, now)
	}
}

// recordAnswer records that a daemon received an answer with the engine's notice.
func (t *target) recordAnswer(now time.Time, d *daemon) {
	key := informedDaemon{d.name, d.incarnation}
	if _, informed := t.informedAt[key]; t.notice.Limited && !informed {
		t.informedAt[key] = now
	}
}

// Run simulates one run. Equal options give equal results.
func Run(o Options) Result {
	w := &world{options: o, loop: loop.New(), rnd: rand.New(rand.NewPCG(o.Seed, 1))}
	w.tally = newTally(o.Fleet)
	for i := range o.Fleet.Engines.Count {
		w.startEngine(o.Fleet.Engines.Speeds[i%len(o.Fleet.Engines.Speeds)])
	}
	for i := range o.Fleet.Daemons {
		w.daemons = append(w.daemons, newDaemon(w, i))
	}
	w.assignCells()
	w.scheduleFaults()
	w.scheduleArrivals()
	w.loop.Run(loop.Epoch.Add(load.Span + settleTime))
	return w.tally.result()
}

// startEngine adds an engine.
func (w *world) startEngine(speed float64) {
	w.started++
	t := &target{
		Target: fireflypath.Target{
			Name: fmt.Sprintf("t%03d", w.started), Pool: poolName, Addr: fmt.Sprintf("10.0.0.1:%d", w.started),
			Domain: "d", Slots: w.options.Fleet.Engines.Slots,
		},
		Engine: engine.New(w.loop, w.options.Fleet.Engines, speed), speed: speed,
	}
	w.targets = append(w.targets, t)
}

// findTarget returns the target with the name, or nil.
func (w *world) findTarget(name string) *target {
	for _, t := range w.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// removeTarget removes an engine from the target list and informs the daemons.
func (w *world) removeTarget(t *target) {
	for i, o := range w.targets {
		if o == t {
			w.targets = append(w.targets[:i:i], w.targets[i+1:]...)
		}
	}
	w.announceTargets()
}

const (
	// targetListDelay is the time until daemons learn of a change to the target list: a
	// watch event of the store and its propagation between daemons.
	targetListDelay = 15 * time.Millisecond
	// crashRemovalDelay is the time from an engine's crash to its removal from the
	// target list.
	crashRemovalDelay = 3600 * time.Millisecond
)

// announceTargets sends the target list to all daemons.
func (w *world) announceTargets() {
	list := w.targetList()
	w.loop.After(targetListDelay, func() {
		w.assignCells()
		for _, d := range w.daemons {
			d.setTargets(list)
		}
	})
}

// scheduleFaults schedules the outages, slowdowns and restarts of the load.
func (w *world) scheduleFaults() {
	for _, o := range w.options.Load.Outages {
		w.loop.After(o.At, func() { w.applyOutage(o) })
	}
	for _, s := range w.options.Load.Slowdowns {
		w.loop.After(s.At, func() { w.applySlowdown(s) })
	}
	for _, l := range w.options.Load.Limits {
		w.loop.After(l.At, func() { w.applyLimit(l) })
	}
	for _, r := range w.options.Load.Restarts {
		w.loop.After(r.At, func() {
			for _, d := range w.daemons[:int(math.Round(r.Fraction*float64(len(w.daemons))))] {
				d.restart()
			}
		})
	}
}

// randomTargets returns the given fraction of the engines, chosen at random.
func (w *world) randomTargets(part float64) []*target {
	n := int(math.Round(part * float64(w.options.Fleet.Engines.Count)))
	var out []*target
	for _, i := range w.rnd.Perm(len(w.targets)) {
		if len(out) < n {
			out = append(out, w.targets[i])
		}
	}
	return out
}

func (w *world) applyOutage(o load.Outage) {
	for i, t := range w.randomTargets(o.Fraction) {
		w.loop.After(time.Duration(i)*o.Stagger, func() {
			if o.Planned {
				w.replaceTarget(t)
				return
			}
			t.Stop()
			w.loop.After(crashRemovalDelay, func() { w.removeTarget(t) })
		})
		if !o.Planned {
			w.loop.After(o.Duration+time.Duration(i)*o.Stagger, func() {
				w.startEngine(t.speed)
				w.announceTargets()
			})
		}
	}
}

// drainTime is how long a leaving engine keeps running.
const drainTime = 2500 * time.Millisecond

// replaceTarget starts a replacement engine and drains the old one.
func (w *world) replaceTarget(t *target) {
	w.startEngine(t.speed)
	t.Drained = true
	w.announceTargets()
	w.loop.After(drainTime, func() {
		t.Stop()
		w.removeTarget(t)
	})
}

func (w *world) applySlowdown(s load.Slowdown) {
	for _, t := range w.randomTargets(s.Fraction) {
		t.SetSlowdown(s.Factor)
		w.loop.After(s.Duration, func() { t.SetSlowdown(1) })
	}
}

const (
	// limitWindow is the length of the spans in which a rate limit is checked. A span may hold
	// limitOvershoot times what the limit allows and limitSlack requests more.
	limitWindow    = 4 * time.Second
	limitOvershoot = 1.5
	limitSlack     = 5
	// limitDelay is how long after an answer with the limit a daemon's requests are not
	// counted.
	limitDelay = 500 * time.Millisecond
)

// applyLimit makes engines name a rate limit for some time.
func (w *world) applyLimit(l load.Limit) {
	for _, t := range w.randomTargets(l.Fraction) {
		t.notice = fireflypath.Notice{Limit: l.PerSecond, Limited: true}
		t.informedAt, t.arrivals = map[informedDaemon]time.Time{}, nil
		w.loop.After(l.Duration, func() {
			t.notice, t.informedAt = fireflypath.Notice{}, nil
			w.tally.overLimit = max(w.tally.overLimit, countOverLimit(t.arrivals, l.PerSecond))
		})
	}
}

// countOverLimit returns by how many requests a limit was exceeded in the worst span.
func countOverLimit(arrivals []time.Time, perSecond float64) int {
	most, first := 0, 0
	for i, at := range arrivals {
		for arrivals[first].Before(at.Add(-limitWindow)) {
			first++
		}
		most = max(most, i-first+1)
	}
	return max(0, most-limitSlack-int(limitOvershoot*perSecond*limitWindow.Seconds()))
}

// hashFraction hashes a seed and two numbers to a number in [0, 1).
func hashFraction(seed uint64, a, b int) float64 {
	return float64(place.Mix64(seed^place.Mix64(uint64(a)<<32|uint64(b)))>>11) / (1 << 53)
}
