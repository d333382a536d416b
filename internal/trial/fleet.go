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
	// daemons is the number of gateway hosts in today's installations.
	daemons = 9
	// hop is the one-way latency between two hosts.
	hop = time.Millisecond
	// pollInterval is how often a daemon reads a target's report and cache events.
	pollInterval = time.Second
	// minReportLag and maxReportLag bound the age of a report on arrival.
	minReportLag = 500 * time.Millisecond
	maxReportLag = 2 * time.Second
	// cacheEventLoss is the fraction of the cache events that is lost.
	cacheEventLoss = 0.1
	// exchangeInterval is how often each daemon sends its demand to the others.
	exchangeInterval = time.Second
	// drainTime is how long a run continues after the last arrival.
	drainTime = 4 * time.Minute
)

// balancerWeights are the weights of an uneven load balancer: each daemon's share of
// the arrivals relative to an even one.
var balancerWeights = [daemons]float64{1.25, 1.15, 1.1, 1.05, 1, 0.95, 0.9, 0.85, 0.75}

// fleet holds all daemons, engines and callers of one run.
type fleet struct {
	loop          loop
	load          load
	mix           mix.Mix
	policy        policy
	options       Options
	rnd           *rand.Rand
	engines       []*engine
	enginesByName map[string]*engine
	daemons       []*daemon
	tally         *tally
	weights       map[string]int
	seq           int
	end           time.Time
}

func newFleet(l load, m mix.Mix, p policy, o Options) *fleet {
	f := &fleet{
		load: l, mix: m, policy: p, options: o,
		rnd:           newRand(o.Seed, 11),
		enginesByName: make(map[string]*engine),
		weights:       make(map[string]int),
		tally:         newTally(l, m),
	}
	f.loop.now = epoch
	f.end = epoch.Add(o.Span + drainTime)
	for _, t := range m.Teams {
		f.weights[t.Name] = t.Weight
	}
	var targets []fireflypath.Target
	for i, g := range slownessFactors {
		e := &engine{loop: &f.loop, name: fmt.Sprintf("m%02d", i), factor: g, cache: newCache(cacheBlocks), advancedAt: epoch}
		f.engines = append(f.engines, e)
		f.enginesByName[e.name] = e
		targets = append(targets, fireflypath.Target{Name: e.name, Pool: mix.Models, Addr: e.name})
	}
	for i := range daemons {
		d := &daemon{fleet: f, index: i, waiting: make(map[*fireflypath.Work]*request)}
		d.ledger.Reset(1.0 / daemons)
		d.scheduler = p.newScheduler(o.Seed*daemons+uint64(i), len(m.Tiers)-1, targets)
		d.scheduler.SetShare(epoch, fireflypath.Share{Default: 1.0 / daemons})
		f.daemons = append(f.daemons, d)
	}
	return f
}

func (f *fleet) run(arrivals []mix.Arrival) {
	for _, a := range arrivals {
		f.loop.at(epoch.Add(a.At), func() { f.startRequest(a) })
	}
	for i, e := range f.engines {
		for j, d := range f.daemons {
			offset := pollInterval * time.Duration(i*daemons+j) / time.Duration(len(f.engines)*daemons)
			f.loop.after(offset, func() { f.pollReport(e, d) })
		}
		f.loop.after(pollInterval, func() { f.sendCacheEvents(e) })
	}
	if f.policy.splitByDemand {
		for i, d := range f.daemons {
			f.loop.after(exchangeInterval*time.Duration(i+1)/daemons, func() { f.exchangeDemand(d) })
		}
	}
	f.scheduleSlowdowns()
	f.loop.run(f.end)
}

// scheduleSlowdowns slows the load's slow engines down in the middle third of the
// measured time.
func (f *fleet) scheduleSlowdowns() {
	third := (f.options.Span - warmUp) / 3
	for _, i := range f.load.slowEngines {
		f.loop.after(warmUp+third, func() { f.engines[i].multiplyFactor(slowFactor) })
		f.loop.after(warmUp+2*third, func() { f.engines[i].multiplyFactor(1.0 / slowFactor) })
	}
}

func (f *fleet) reportLag() time.Duration {
	return minReportLag + time.Duration(f.rnd.Int64N(int64(maxReportLag-minReportLag)))
}

// pollReport delivers an engine's report to a daemon with a random delay.
func (f *fleet) pollReport(e *engine, d *daemon) {
	r := e.report()
	f.loop.after(f.reportLag(), func() {
		d.observe(fireflypath.Event{Kind: fireflypath.EventReport, Target: e.name, Report: r})
	})
	f.loop.after(pollInterval, func() { f.pollReport(e, d) })
}

// sendCacheEvents delivers an engine's cache events to all daemons with random delays
// and losses.
func (f *fleet) sendCacheEvents(e *engine) {
	stored, dropped := e.stored, e.dropped
	e.stored, e.dropped = nil, nil
	for _, d := range f.daemons {
		if f.rnd.Float64() < cacheEventLoss {
			continue
		}
		f.loop.after(f.reportLag(), func() {
			d.observe(fireflypath.Event{Kind: fireflypath.EventCache, Target: e.name, Blocks: stored})
			d.observe(fireflypath.Event{Kind: fireflypath.EventCache, Target: e.name, Blocks: dropped, Dropped: true})
		})
	}
	f.loop.after(pollInterval, func() { f.sendCacheEvents(e) })
}

// exchangeDemand sends a daemon's demand to all daemons, which then recompute their
// shares.
func (f *fleet) exchangeDemand(d *daemon) {
	demand := d.demand()
	f.loop.after(hop, func() {
		for _, p := range f.daemons {
			p.demands[d.index] = demand
			p.ledger.Update(f.loop.now, share.Split(p.demands[:], 0)[p.index])
			p.applyShare()
		}
	})
	f.loop.after(exchangeInterval, func() { f.exchangeDemand(d) })
}

// startRequest makes a caller's first attempt through a daemon that the balancer picks.
func (f *fleet) startRequest(a mix.Arrival) {
	r := &request{arrival: a, deadline: f.loop.now.Add(a.Deadline), started: f.loop.now, prefix: a.Blocks()}
	r.rnd = newRand(f.options.Seed^a.OwnSeed, 7)
	r.output = 1 + int(r.rnd.Float64()*float64(a.Cost.MaxOutput))
	f.tally.sent(r)
	f.startAttempt(r, false)
}

func (f *fleet) startAttempt(r *request, early bool) {
	f.seq++
	r.attempts++
	a := r.arrival
	d := f.daemons[f.pickDaemon()]
	w := &fireflypath.Work{
		ID: fmt.Sprintf("d%d.%08d", d.index, f.seq), Team: a.Team, Weight: max(f.weights[a.Team], 1),
		Rank: a.Rank, Tier: a.Tier, Pool: a.Pool, Arrived: f.loop.now, Deadline: r.deadline, Cost: a.Cost,
		Prefix: r.prefix, Bytes: a.Cost.Prompt * mix.TokenBytes, Idempotent: a.Idempotent, RetriedEarly: early,
	}
	d.offer(w, r)
}

func (f *fleet) pickDaemon() int {
	x := f.rnd.Float64() * daemons
	for i, s := range balancerWeights {
		if x -= s; x < 0 {
			return i
		}
	}
	return daemons - 1
}

// lowerTierWaits reports whether work of a lower tier waits in any daemon.
func (f *fleet) lowerTierWaits(rank int) bool {
	for _, d := range f.daemons {
		demand := d.scheduler.Demand(f.loop.now)
		for r := rank + 1; r < len(demand.WaitingRequests); r++ {
			if demand.WaitingRequests[r] > 0 {
				return true
			}
		}
	}
	return false
}
