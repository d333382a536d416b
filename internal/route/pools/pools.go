// Package pools keeps one pool for each that the configuration names.
package pools

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/pool"
)

// maxRank is the lowest tier's rank at most (fireflypath.Tier).
const maxRank = 15

// Pools implements fireflypath.Cluster.
type Pools struct {
	clock        clockwork.Clock
	relief       fireflypath.Relief
	newScheduler func(fireflypath.Pool) fireflypath.Scheduler
	// onCreate is told of each new pool and its scheduler; nil if nobody wants to know.
	onCreate func(fireflypath.Pool, *pool.Pool, fireflypath.Scheduler)
	// waitingBytes is the memory of waiting requests, limit its bound.
	waitingBytes    atomic.Int64
	maxWaitingBytes int64

	// shares holds the last fireflypath.Share of each pool, by its name.
	shares sync.Map
	// shareMu is held while a share is put in force, so that a pool which is
	// made meanwhile does not keep an older one.
	shareMu sync.Mutex
	// initialShare gives the share of a new pool; nil for a daemon without peers.
	initialShare atomic.Pointer[func(string) fireflypath.Share]

	mu         sync.Mutex
	applied    *fireflypath.Config
	stopReason *fireflypath.Refusal
	byName     atomic.Pointer[map[string]*pool.Pool]
	// byTarget maps a target to its pool.
	byTarget atomic.Pointer[map[string]*pool.Pool]
}

// New returns Pools without any; sched makes the scheduler of a pool.
func New(clock clockwork.Clock, relief fireflypath.Relief, sched func(fireflypath.Pool) fireflypath.Scheduler) *Pools {
	p := &Pools{clock: clock, relief: relief, newScheduler: sched, maxWaitingBytes: math.MaxInt64}
	p.byName.Store(&map[string]*pool.Pool{})
	p.byTarget.Store(&map[string]*pool.Pool{})
	return p
}

// OnCreate has each new pool told of, with its scheduler. It is called before the first
// configuration is applied.
func (p *Pools) OnCreate(made func(fireflypath.Pool, *pool.Pool, fireflypath.Scheduler)) {
	p.onCreate = made
}

// Follow applies each configuration until the context ends.
func (p *Pools) Follow(ctx context.Context, configs fireflypath.Configs) {
	for {
		cfg := configs.Current()
		p.Apply(cfg)
		select {
		case <-ctx.Done():
			return
		case <-configs.Changed(cfg.Generation):
		}
	}
}

// Apply makes, changes and ends pools. A lower generation than the one applied
// is ignored.
func (p *Pools) Apply(cfg *fireflypath.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.applied == cfg || p.applied != nil && cfg.Generation < p.applied.Generation {
		return
	}
	p.applied = cfg
	old := *p.byName.Load()
	next := make(map[string]*pool.Pool, len(cfg.Pools))
	for _, c := range cfg.Pools {
		next[c.Name] = old[c.Name]
		if next[c.Name] == nil {
			next[c.Name] = p.create(c)
		}
		next[c.Name].SetPool(c, lowestRank(cfg))
	}
	p.assignTargets(cfg, next)
	p.byName.Store(&next)
	for name, n := range next {
		if old[name] == nil {
			p.setInitialShare(name, n)
		}
	}
	for name, gone := range old {
		if next[name] == nil {
			gone.Close(fireflypath.Refusal{Code: fireflypath.ReasonNoPool, Detail: "the pool was removed"})
		}
	}
}

// lowestRank is the rank of the lowest tier.
func lowestRank(cfg *fireflypath.Config) int {
	n := 0
	for _, t := range cfg.Tiers {
		n = max(n, t.Rank)
	}
	return n
}

func (p *Pools) create(c fireflypath.Pool) *pool.Pool {
	sched := p.newScheduler(c)
	n := pool.New(c.Name, p.clock, sched, p.relief)
	n.CountBytes(&p.waitingBytes)
	p.setInitialShare(c.Name, n)
	if p.onCreate != nil {
		p.onCreate(c, n, sched)
	}
	if p.stopReason != nil {
		n.Close(*p.stopReason)
	}
	return n
}

// SetInitialShare sets where the share of a new pool comes from.
func (p *Pools) SetInitialShare(share func(pool string) fireflypath.Share) {
	p.initialShare.Store(&share)
}

// setInitialShare gives a new pool its share. It is called before the pool gets requests,
// and again once ApplyShare finds the pool: one that came between is not lost.
func (p *Pools) setInitialShare(name string, n *pool.Pool) {
	begin := p.initialShare.Load()
	if begin == nil {
		return
	}
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	n.SetShare((*begin)(name))
}

func (p *Pools) assignTargets(cfg *fireflypath.Config, pools map[string]*pool.Pool) {
	targets := make(map[string][]fireflypath.Target, len(pools))
	home := make(map[string]*pool.Pool, len(cfg.Targets))
	for _, t := range cfg.Targets {
		targets[t.Pool] = append(targets[t.Pool], t)
		home[t.Name] = pools[t.Pool]
	}
	for name, n := range pools {
		n.SetTargets(targets[name])
	}
	p.byTarget.Store(&home)
}

// Pool is the pool of the name under the configuration, or nil.
//
// A request can hold a configuration that Follow has not come to yet. Without
// applying it here the request would be refused for want of a pool that the
// operator was told is in force.
func (p *Pools) Pool(cfg *fireflypath.Config, name string) *pool.Pool {
	if n := (*p.byName.Load())[name]; n != nil {
		return n
	}
	p.Apply(cfg)
	return (*p.byName.Load())[name]
}

// SetMaxWaitingBytes limits the bytes of all waiting requests. It is called before the
// first request.
func (p *Pools) SetMaxWaitingBytes(bytes int) {
	p.maxWaitingBytes = int64(bytes)
}

// ReserveBytes counts a request that is about to wait. It reports false if there is
// no memory for it, after lower work of any pool has given way.
//
// The bound is over all pools, so the newcomer can be of a higher tier than
// what waits in another pool. Refusing it there would shed a higher tier while
// a lower one holds work.
func (p *Pools) ReserveBytes(w *fireflypath.Work) bool {
	n := int64(w.Bytes)
	if p.waitingBytes.Add(n) <= p.maxWaitingBytes || p.displaceLowerTiers(w.Rank) {
		return true
	}
	p.waitingBytes.Add(-n)
	return false
}

// displaceLowerTiers refuses waiting work of lower tiers, the lowest first, until the
// bound is met.
func (p *Pools) displaceLowerTiers(rank int) bool {
	for below := maxRank - 1; below >= rank; below-- {
		for _, n := range *p.byName.Load() {
			for p.waitingBytes.Load() > p.maxWaitingBytes && n.Relieve(below, 1) > 0 {
			}
		}
	}
	return p.waitingBytes.Load() <= p.maxWaitingBytes
}

// Observe passes an event to the pool of its target.
func (p *Pools) Observe(e fireflypath.Event) {
	if n := (*p.byTarget.Load())[e.Target]; n != nil {
		n.Observe(e)
	}
}

// Stop refuses all that waits in any pool and whatever comes later.
func (p *Pools) Stop(why fireflypath.Refusal) {
	p.mu.Lock()
	p.stopReason = &why
	all := maps.Clone(*p.byName.Load())
	p.mu.Unlock()
	for _, n := range all {
		n.Close(why)
	}
}

// Views is what this daemon knows of all targets.
func (p *Pools) Views() []fireflypath.TargetView {
	var out []fireflypath.TargetView
	for _, n := range *p.byName.Load() {
		out = n.Views(out)
	}
	return out
}

// ActiveTargets names the targets at which this daemon has work.
func (p *Pools) ActiveTargets() map[string]bool {
	out := map[string]bool{}
	for _, v := range p.Views() {
		if v.Requests > 0 {
			out[v.Target] = true
		}
	}
	return out
}

// OpenRequests is what is known of the requests that wait or run now and that the filter
// lets through.
func (p *Pools) OpenRequests(match func(*fireflypath.Work) bool) []fireflypath.Record {
	var out []fireflypath.Record
	for _, n := range *p.byName.Load() {
		out = n.OpenRequests(match, out)
	}
	return out
}

// Version changes whenever what Report tells may have changed.
func (p *Pools) Version() uint64 {
	all := *p.byName.Load()
	n := uint64(len(all))
	for _, one := range all {
		n += one.Version()
	}
	return n
}

// Report is what this daemon has in flight and waiting.
func (p *Pools) Report() fireflypath.Mate {
	m := fireflypath.NewMate("")
	for _, n := range *p.byName.Load() {
		n.Report(&m)
	}
	return m
}

// UpdatePeers takes in what the other daemons have in flight and waiting.
func (p *Pools) UpdatePeers(mates []fireflypath.Mate) {
	for _, n := range *p.byName.Load() {
		n.UpdatePeers(mates)
	}
}

// Demands summarises all pools.
func (p *Pools) Demands() []fireflypath.Demand {
	all := *p.byName.Load()
	out := make([]fireflypath.Demand, 0, len(all))
	for _, n := range all {
		out = append(out, n.Demand())
	}
	return out
}

// Relieve gives up waiting work of lower tiers.
func (p *Pools) Relieve(name string, rank, tokens int) int {
	if n := (*p.byName.Load())[name]; n != nil {
		return n.Relieve(rank, tokens)
	}
	return 0
}

// ApplyShare puts a share in force.
func (p *Pools) ApplyShare(name string, s fireflypath.Share) {
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	p.shares.Store(name, s)
	if n := (*p.byName.Load())[name]; n != nil {
		n.SetShare(s)
	}
}

// Serves reports whether this daemon may send work to the target. At the size
// of the letter a daemon serves a part of the targets; asking all 2,700 for
// their load each second would take many times what control may cost.
func (p *Pools) Serves(t fireflypath.Target) bool {
	v, ok := p.shares.Load(t.Pool)
	if !ok {
		return true
	}
	s := v.(fireflypath.Share)
	if part, named := s.Part[t.Name]; named {
		return part > 0
	}
	return s.Default > 0
}

// TargetLeaving ends new work to the target.
func (p *Pools) TargetLeaving(target, why string) {
	p.Observe(fireflypath.Event{Kind: fireflypath.EventLeaving, Target: target, Cached: -1})
}

// TargetBack allows new work to the target.
func (p *Pools) TargetBack(target string) {
	p.Observe(fireflypath.Event{Kind: fireflypath.EventBack, Target: target, Cached: -1})
}
