// Package sim runs the daemons' schedulers in virtual time against simulated engines
// and callers whose sizes, rates and behavior are those of the users.
package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
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
	// startedTargets lists all engines that were ever started.
	startedTargets []*target
	tally          *tally
	// cuts holds the targets that each daemon cannot reach. countingCut is true while first attempts
	// are counted in cutCount.
	cuts        map[*daemon]map[*target]bool
	countingCut bool
	cutCount    cutCount
	streams     streamCounts
	// breaking is the fraction of answers that engines break off at present.
	breaking float64
	// quarantine holds the requests with parts that crash engines.
	quarantine *quarantine
	returns    returnCounts
	// cells is the present layout.
	cells *cell.Layout
	// lending counts what cells lend each other.
	lending LendingCounts
}

// target is an engine together with its entry in the target list.
type target struct {
	fireflypath.Target
	*engine.Engine
	speed float64
	notices
	brittleness brittleness
	// incarnation counts the restarts after crashes by a part of a prompt.
	incarnation int
}

// Run simulates one run. Equal options give equal results.
func Run(o Options) Result {
	w := &world{options: o, loop: loop.New(), rnd: rand.New(rand.NewPCG(o.Seed, 1)), cuts: map[*daemon]map[*target]bool{}}
	w.tally, w.quarantine = newTally(o.Fleet), newQuarantine(w)
	for i := range o.Fleet.Engines.Count {
		w.startEngine(o.Fleet.Engines.Speeds[i%len(o.Fleet.Engines.Speeds)])
	}
	for i := range o.Fleet.Daemons {
		w.daemons = append(w.daemons, newDaemon(w, i))
	}
	w.assignCells()
	w.scheduleFaults()
	w.exchangeLoans()
	w.scheduleArrivals()
	w.loop.Run(loop.Epoch.Add(load.Span + settleTime))
	res := w.tally.result()
	for _, t := range w.startedTargets {
		res.addBroken(t.broken)
		res.Falls += t.brittleness.falls
	}
	res.Streams, res.Parts, res.Returns = w.streams, w.quarantine.result(), w.returns.result()
	res.Lending = w.lending
	res.CutSent, res.CutServed = w.cutCount.cutSent, w.cutCount.cutServed
	res.Teams = w.teamResults()
	res.OtherSent, res.OtherServed = w.cutCount.otherSent, w.cutCount.otherServed
	return res
}

// startEngine adds an engine.
func (w *world) startEngine(speed float64) {
	n := len(w.startedTargets) + 1
	t := &target{
		Target: fireflypath.Target{
			Name: fmt.Sprintf("t%03d", n), Pool: poolName, Addr: fmt.Sprintf("10.0.0.1:%d", n),
			Domain: "d", Slots: w.options.Fleet.Engines.Slots, Version: w.versionOf(n),
		},
		Engine: engine.New(w.loop, w.options.Fleet.Engines, speed), speed: speed, notices: newNotices(),
	}
	w.targets = append(w.targets, t)
	w.startedTargets = append(w.startedTargets, t)
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
	for _, r := range w.options.Load.Backoffs {
		w.loop.After(r.At, func() { w.applyBackoff(r) })
	}
	for _, b := range w.options.Load.Brittle {
		w.loop.After(b.At, func() { w.applyBrittle(b) })
	}
	for _, b := range w.options.Load.Breaks {
		w.loop.After(b.At, func() { w.breakOff(b) })
	}
	for _, c := range w.options.Load.Cuts {
		w.loop.After(c.At, func() { w.applyCut(c) })
	}
	for i, p := range w.options.Load.CrashingParts {
		w.loop.After(p.At, func() { w.sendCrashingPart(i, p) })
	}
	for _, s := range w.options.Load.Silences {
		w.loop.After(s.At, func() { w.applySilence(s) })
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
			switch {
			case o.AnnouncedInAnswers:
				w.announceInAnswers(t)
				return
			case o.Planned:
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

// leavingTime is how long an engine says in its answers only that it is leaving.
const leavingTime = 5 * time.Second

// announceInAnswers replaces an engine whose registration says late that it is leaving.
func (w *world) announceInAnswers(t *target) {
	t.notice.Leaving = true
	w.loop.After(leavingTime, func() { w.replaceTarget(t) })
}

func (w *world) applySlowdown(s load.Slowdown) {
	for _, t := range w.randomTargets(s.Fraction) {
		t.SetSlowdown(s.Factor)
		w.loop.After(s.Duration, func() { t.SetSlowdown(1) })
	}
}

// hashFraction hashes a seed and two numbers to a number in [0, 1).
func hashFraction(seed uint64, a, b int) float64 {
	return float64(place.Mix64(seed^place.Mix64(uint64(a)<<32|uint64(b)))>>11) / (1 << 53)
}
