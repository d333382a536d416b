package trial

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/share"
	"github.com/fireflypath/fireflypath/internal/mix"
)

const (
	// daemons is today's number of entry hosts.
	daemons = 9
	// hop is one way between any two hosts.
	hop = time.Millisecond
	// poll is how often a daemon reads a target's report and cache events.
	poll = time.Second
	// lagMin and lagMax bound the age of a report when it arrives.
	lagMin = 500 * time.Millisecond
	lagMax = 2 * time.Second
	// gap is the part of the cache events that is lost.
	gap = 0.1
	// exchange is how often each daemon tells the others its demand.
	exchange = time.Second
	// tail is how long a run goes on after the last arrival.
	tail = 4 * time.Minute
)

// skew is the uneven balancer: each daemon's part of the arrivals against the even one.
var skew = [daemons]float64{1.25, 1.15, 1.1, 1.05, 1, 0.95, 0.9, 0.85, 0.75}

// fleet is all daemons, engines and callers of one run.
type fleet struct {
	loop    loop
	load    load
	mix     mix.Mix
	policy  policy
	o       Options
	rnd     *rand.Rand
	engines []*engine
	names   map[string]*engine
	daemons []*daemon
	tally   *tally
	weights map[string]int
	seq     int
	end     time.Time
}

func newFleet(l load, m mix.Mix, p policy, o Options) *fleet {
	f := &fleet{
		load: l, mix: m, policy: p, o: o,
		rnd:     random(o.Seed, 11),
		names:   make(map[string]*engine),
		weights: make(map[string]int),
		tally:   newTally(l, m),
	}
	f.loop.now = epoch
	f.end = epoch.Add(o.Span + tail)
	for _, t := range m.Teams {
		f.weights[t.Name] = t.Weight
	}
	var targets []fireflypath.Target
	for i, g := range generations {
		e := &engine{loop: &f.loop, name: fmt.Sprintf("m%02d", i), factor: g, cache: newCache(memory), at: epoch}
		f.engines = append(f.engines, e)
		f.names[e.name] = e
		targets = append(targets, fireflypath.Target{Name: e.name, Pool: mix.Models, Addr: e.name})
	}
	for i := range daemons {
		d := &daemon{fleet: f, number: i, waits: make(map[*fireflypath.Work]*request)}
		d.ledger.Reset(1.0 / daemons)
		d.sched = p.make(o.Seed*daemons+uint64(i), len(m.Tiers)-1, targets)
		d.sched.SetShare(epoch, fireflypath.Share{Default: 1.0 / daemons})
		f.daemons = append(f.daemons, d)
	}
	return f
}

func (f *fleet) run(arrivals []mix.Arrival) {
	for _, a := range arrivals {
		f.loop.at(epoch.Add(a.At), func() { f.arrive(a) })
	}
	for i, e := range f.engines {
		for j, d := range f.daemons {
			offset := poll * time.Duration(i*daemons+j) / time.Duration(len(f.engines)*daemons)
			f.loop.after(offset, func() { f.poll(e, d) })
		}
		f.loop.after(poll, func() { f.events(e) })
	}
	if f.policy.shares {
		for i, d := range f.daemons {
			f.loop.after(exchange*time.Duration(i+1)/daemons, func() { f.exchange(d) })
		}
	}
	f.strike()
	f.loop.run(f.end)
}

// strike makes the load's engines slower in the middle third.
func (f *fleet) strike() {
	third := (f.o.Span - warm) / 3
	for _, i := range f.load.slow {
		f.loop.after(warm+third, func() { f.engines[i].slow(slowFactor) })
		f.loop.after(warm+2*third, func() { f.engines[i].slow(1.0 / slowFactor) })
	}
}

func (f *fleet) lag() time.Duration {
	return lagMin + time.Duration(f.rnd.Int64N(int64(lagMax-lagMin)))
}

// poll brings a report to a daemon, late.
func (f *fleet) poll(e *engine, d *daemon) {
	r := e.report()
	f.loop.after(f.lag(), func() {
		d.observe(fireflypath.Event{Kind: fireflypath.EventReport, Target: e.name, Report: r})
	})
	f.loop.after(poll, func() { f.poll(e, d) })
}

// events brings an engine's cache events to all daemons, late and with gaps.
func (f *fleet) events(e *engine) {
	stored, dropped := e.stored, e.dropped
	e.stored, e.dropped = nil, nil
	for _, d := range f.daemons {
		if f.rnd.Float64() < gap {
			continue
		}
		f.loop.after(f.lag(), func() {
			d.observe(fireflypath.Event{Kind: fireflypath.EventCache, Target: e.name, Blocks: stored})
			d.observe(fireflypath.Event{Kind: fireflypath.EventCache, Target: e.name, Blocks: dropped, Dropped: true})
		})
	}
	f.loop.after(poll, func() { f.events(e) })
}

// exchange brings a daemon's demand to all daemons, which split the windows anew.
func (f *fleet) exchange(d *daemon) {
	line := d.line()
	f.loop.after(hop, func() {
		for _, p := range f.daemons {
			p.heard[d.number] = line
			p.ledger.Update(f.loop.now, share.Split(p.heard[:], 0)[p.number])
			p.apply()
		}
	})
	f.loop.after(exchange, func() { f.exchange(d) })
}

// arrive is a caller's first attempt, through a daemon that the balancer picks.
func (f *fleet) arrive(a mix.Arrival) {
	r := &request{arrival: a, deadline: f.loop.now.Add(a.Deadline), started: f.loop.now, prefix: a.Blocks()}
	r.rnd = random(f.o.Seed^a.OwnSeed, 7)
	r.output = 1 + int(r.rnd.Float64()*float64(a.Cost.MaxOutput))
	f.tally.sent(r)
	f.attempt(r, false)
}

func (f *fleet) attempt(r *request, early bool) {
	f.seq++
	r.attempts++
	a := r.arrival
	d := f.daemons[f.pick()]
	w := &fireflypath.Work{
		ID: fmt.Sprintf("d%d.%08d", d.number, f.seq), Team: a.Team, Weight: max(f.weights[a.Team], 1),
		Rank: a.Rank, Tier: a.Tier, Pool: a.Pool, Arrived: f.loop.now, Deadline: r.deadline, Cost: a.Cost,
		Prefix: r.prefix, Bytes: a.Cost.Prompt * mix.TokenBytes, Idempotent: a.Idempotent, RetriedEarly: early,
	}
	d.offer(w, r)
}

func (f *fleet) pick() int {
	x := f.rnd.Float64() * daemons
	for i, s := range skew {
		if x -= s; x < 0 {
			return i
		}
	}
	return daemons - 1
}

// inverted is true if work of a lower tier waits at any daemon.
func (f *fleet) inverted(rank int) bool {
	for _, d := range f.daemons {
		line := d.sched.Demand(f.loop.now)
		for r := rank + 1; r < len(line.WaitingRequests); r++ {
			if line.WaitingRequests[r] > 0 {
				return true
			}
		}
	}
	return false
}
