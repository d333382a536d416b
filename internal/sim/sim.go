// Package sim plays the daemons' decisions in virtual time, against engines and callers that behave as the users' own.
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

// settle is how long a run goes on after the last arrival.
const settle = 12 * time.Second

// Maker makes a daemon's scheduler.
type Maker func(pool fireflypath.Pool, seed uint64) fireflypath.Scheduler

// Options choose one run.
type Options struct {
	Fleet fleet.Fleet
	Load  load.Load
	Seed  uint64
	Make  Maker
	// Dispatch makes the scheduler of a dispatcher that decides for a group of
	// daemons; nil for daemons that decide alone.
	Dispatch func(pool fireflypath.Pool, seed uint64) dispatcher.Scheduler
}

// world is one run.
type world struct {
	o       Options
	loop    *loop.Loop
	rnd     *rand.Rand
	daemons []*daemon
	// targets are those that exist, in the order of their start.
	targets []*target
	started int
	tally   *tally
}

// target is an engine in use.
type target struct {
	fireflypath.Target
	*engine.Engine
	speed float64
}

// Run plays one run. The same options give the same result.
func Run(o Options) Result {
	w := &world{o: o, loop: loop.New(), rnd: rand.New(rand.NewPCG(o.Seed, 1))}
	w.tally = newTally(o.Fleet)
	for i := range o.Fleet.Engines.Count {
		w.start(o.Fleet.Engines.Speeds[i%len(o.Fleet.Engines.Speeds)])
	}
	for i := range o.Fleet.Daemons {
		w.daemons = append(w.daemons, newDaemon(w, i))
	}
	w.layout()
	w.trouble()
	w.arrivals()
	w.loop.Run(loop.Epoch.Add(load.Span + settle))
	return w.tally.result()
}

// start adds an engine.
func (w *world) start(speed float64) {
	w.started++
	t := &target{
		Target: fireflypath.Target{
			Name: fmt.Sprintf("t%03d", w.started), Pool: pool, Addr: fmt.Sprintf("10.0.0.1:%d", w.started),
			Domain: "d", Slots: w.o.Fleet.Engines.Slots,
		},
		Engine: engine.New(w.loop, w.o.Fleet.Engines, speed), speed: speed,
	}
	w.targets = append(w.targets, t)
}

// find is the engine of a name, or nil.
func (w *world) find(name string) *target {
	for _, t := range w.targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// remove takes an engine out of the list that daemons see.
func (w *world) remove(t *target) {
	for i, o := range w.targets {
		if o == t {
			w.targets = append(w.targets[:i:i], w.targets[i+1:]...)
		}
	}
	w.tell()
}

const (
	// listLag is how long after a change of the list of targets daemons know it:
	// a watch of the store and the relay of it.
	listLag = 15 * time.Millisecond
	// lapse is when an engine that crashed is off the list.
	lapse = 3600 * time.Millisecond
)

// tell gives the list of engines to all daemons.
func (w *world) tell() {
	list := w.list()
	w.loop.After(listLag, func() {
		w.layout()
		for _, d := range w.daemons {
			d.setTargets(list)
		}
	})
}

// trouble schedules what goes wrong.
func (w *world) trouble() {
	for _, o := range w.o.Load.Outages {
		w.loop.After(o.At, func() { w.outage(o) })
	}
	for _, s := range w.o.Load.Slows {
		w.loop.After(s.At, func() { w.slow(s) })
	}
	for _, r := range w.o.Load.Restarts {
		w.loop.After(r.At, func() {
			for _, d := range w.daemons[:int(math.Round(r.Part*float64(len(w.daemons))))] {
				d.restart()
			}
		})
	}
}

// some are that part of the engines, by lot.
func (w *world) some(part float64) []*target {
	n := int(math.Round(part * float64(w.o.Fleet.Engines.Count)))
	var out []*target
	for _, i := range w.rnd.Perm(len(w.targets)) {
		if len(out) < n {
			out = append(out, w.targets[i])
		}
	}
	return out
}

func (w *world) outage(o load.Outage) {
	for i, t := range w.some(o.Part) {
		w.loop.After(time.Duration(i)*o.Step, func() {
			if o.Planned {
				w.replace(t)
				return
			}
			t.Down()
			w.loop.After(lapse, func() { w.remove(t) })
		})
		if !o.Planned {
			w.loop.After(o.For+time.Duration(i)*o.Step, func() {
				w.start(t.speed)
				w.tell()
			})
		}
	}
}

// drain is how long an engine that leaves goes on.
const drain = 2500 * time.Millisecond

// replace starts another engine and has the old one leave.
func (w *world) replace(t *target) {
	w.start(t.speed)
	t.Drained = true
	w.tell()
	w.loop.After(drain, func() {
		t.Down()
		w.remove(t)
	})
}

func (w *world) slow(s load.Slow) {
	for _, t := range w.some(s.Part) {
		t.Slow(s.Factor)
		w.loop.After(s.For, func() { t.Slow(1) })
	}
}

// mix is a number between 0 and 1 for a seed and two numbers.
func mix(seed uint64, a, b int) float64 {
	return float64(place.Mix64(seed^place.Mix64(uint64(a)<<32|uint64(b)))>>11) / (1 << 53)
}
