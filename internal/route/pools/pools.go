// Package pools manages the pools that the configuration defines.
package pools

import (
	"context"
	"maps"
	"math"
	"sync"
	"sync/atomic"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/targets"
	"github.com/fireflypath/fireflypath/internal/route/pool"
)

// maxRank is the highest rank that a tier may have (fireflypath.Tier).
const maxRank = 15

// Pools implements fireflypath.Cluster.
type Pools struct {
	clock        clockwork.Clock
	relief       fireflypath.Relief
	newScheduler func(fireflypath.Pool) fireflypath.Scheduler
	// onCreate is called with each new pool and its scheduler; it may be nil.
	onCreate func(fireflypath.Pool, *pool.Pool, fireflypath.Scheduler)
	// waitingBytes is the memory used by waiting requests, at most maxWaitingBytes.
	waitingBytes    atomic.Int64
	maxWaitingBytes int64

	// shares holds the last fireflypath.Share of each pool, by its name.
	shares sync.Map
	// shareMu is held while a share is applied, so that a pool created at the same
	// time does not keep an older one.
	shareMu sync.Mutex
	// initialShare returns the share of a new pool; nil for a daemon without peers.
	initialShare atomic.Pointer[func(string) fireflypath.Share]

	mu         sync.Mutex
	applied    *fireflypath.Config
	stopReason *fireflypath.Refusal
	byName     atomic.Pointer[map[string]*pool.Pool]
	// poolNames maps the name of each target of list to the name of its pool.
	poolNames sync.Map
	list      targets.List
}

// New returns an empty Pools; newScheduler creates the scheduler of a pool.
func New(
	clock clockwork.Clock, relief fireflypath.Relief, newScheduler func(fireflypath.Pool) fireflypath.Scheduler,
) *Pools {
	p := &Pools{clock: clock, relief: relief, newScheduler: newScheduler, maxWaitingBytes: math.MaxInt64}
	p.byName.Store(&map[string]*pool.Pool{})
	return p
}

// OnCreate sets a function that is called with each new pool and its scheduler.
// It must be called before the first configuration is applied.
func (p *Pools) OnCreate(f func(fireflypath.Pool, *pool.Pool, fireflypath.Scheduler)) {
	p.onCreate = f
}

// Follow applies the current configuration and each newer one until the context
// is done.
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

// Apply creates, updates and closes pools as the configuration requires. It
// ignores a generation lower than the applied one.
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
	for name, removed := range old {
		if next[name] == nil {
			removed.Close(fireflypath.Refusal{Code: fireflypath.ReasonNoPool, Detail: "the pool was removed"})
		}
	}
}

// lowestRank returns the rank of the lowest tier.
func lowestRank(cfg *fireflypath.Config) int {
	n := 0
	for _, t := range cfg.Tiers {
		n = max(n, t.Rank)
	}
	return n
}

func (p *Pools) create(c fireflypath.Pool) *pool.Pool {
	scheduler := p.newScheduler(c)
	n := pool.New(c.Name, p.clock, scheduler, p.relief)
	n.CountBytes(&p.waitingBytes)
	p.setInitialShare(c.Name, n)
	if p.onCreate != nil {
		p.onCreate(c, n, scheduler)
	}
	if p.stopReason != nil {
		n.Close(*p.stopReason)
	}
	return n
}

// SetInitialShare sets the function that returns the share of a new pool.
func (p *Pools) SetInitialShare(share func(pool string) fireflypath.Share) {
	p.initialShare.Store(&share)
}

// setInitialShare sets the share of a new pool. It is called before the pool
// receives requests, and again once ApplyShare can find the pool, so that a share
// applied in between is not lost.
func (p *Pools) setInitialShare(name string, n *pool.Pool) {
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	if initial := p.initialShare.Load(); initial != nil {
		n.SetShare((*initial)(name))
		return
	}
	if s, ok := p.shares.Load(name); ok {
		n.SetShare(s.(fireflypath.Share))
	}
}

func (p *Pools) assignTargets(cfg *fireflypath.Config, pools map[string]*pool.Pool) {
	byPool := fireflypath.GroupByPool(cfg.Targets)
	for name, n := range pools {
		n.SetTargets(byPool[name])
	}
	p.list.Update(cfg.Targets,
		func(t fireflypath.Target) { p.poolNames.Delete(t.Name) },
		func(t fireflypath.Target) { p.poolNames.Store(t.Name, t.Pool) })
}

// Pool returns the named pool of the configuration, or nil.
//
// A request can carry a configuration that Follow has not applied yet. It is
// applied here, because the request would otherwise be refused for a missing pool
// although the operator was told that the pool is in effect.
func (p *Pools) Pool(cfg *fireflypath.Config, name string) *pool.Pool {
	if n := (*p.byName.Load())[name]; n != nil {
		return n
	}
	p.Apply(cfg)
	return (*p.byName.Load())[name]
}

// SetMaxWaitingBytes limits the memory used by all waiting requests. It must be
// called before the first request.
func (p *Pools) SetMaxWaitingBytes(bytes int) {
	p.maxWaitingBytes = int64(bytes)
}

// ReserveBytes adds the bytes of a request that is about to wait. It returns false
// if they exceed the limit even after waiting requests of lower tiers have been
// refused in all pools.
//
// The limit covers all pools, so the new request can be of a higher tier than
// requests waiting in another pool. Refusing it would shed a higher tier while a
// lower one still waits.
func (p *Pools) ReserveBytes(w *fireflypath.Work) bool {
	n := int64(w.Bytes)
	if p.waitingBytes.Add(n) <= p.maxWaitingBytes || p.displaceLowerTiers(w.Rank) {
		return true
	}
	p.waitingBytes.Add(-n)
	return false
}

// displaceLowerTiers refuses waiting requests of tiers below the rank, the lowest
// first, until the limit is met. It returns false if the limit is still exceeded.
func (p *Pools) displaceLowerTiers(rank int) bool {
	for below := maxRank - 1; below >= rank; below-- {
		for _, n := range *p.byName.Load() {
			for p.waitingBytes.Load() > p.maxWaitingBytes && n.Relieve(below, 1) > 0 {
			}
		}
	}
	return p.waitingBytes.Load() <= p.maxWaitingBytes
}

// Observe passes an event to the pool that its target belongs to.
func (p *Pools) Observe(e fireflypath.Event) {
	name, ok := p.poolNames.Load(e.Target)
	if !ok {
		return
	}
	if n := (*p.byName.Load())[name.(string)]; n != nil {
		n.Observe(e)
	}
}

// Stop refuses all waiting and all later requests in every pool.
func (p *Pools) Stop(reason fireflypath.Refusal) {
	p.mu.Lock()
	p.stopReason = &reason
	all := maps.Clone(*p.byName.Load())
	p.mu.Unlock()
	for _, n := range all {
		n.Close(reason)
	}
}

// Views returns the schedulers' views of all targets.
func (p *Pools) Views() []fireflypath.TargetView {
	var out []fireflypath.TargetView
	for _, n := range *p.byName.Load() {
		out = n.Views(out)
	}
	return out
}

// ActiveTargets returns the names of the targets that run requests of this daemon.
func (p *Pools) ActiveTargets() map[string]bool {
	out := map[string]bool{}
	for _, v := range p.Views() {
		if v.Requests > 0 {
			out[v.Target] = true
		}
	}
	return out
}

// OpenRequests returns a record of each waiting or running request that matches.
func (p *Pools) OpenRequests(match func(*fireflypath.Work) bool) []fireflypath.Record {
	var out []fireflypath.Record
	for _, n := range *p.byName.Load() {
		out = n.OpenRequests(match, out)
	}
	return out
}

// Version changes whenever the result of Report may have changed.
func (p *Pools) Version() uint64 {
	all := *p.byName.Load()
	n := uint64(len(all))
	for _, each := range all {
		n += each.Version()
	}
	return n
}

// Report returns this daemon's in-flight and waiting work in all pools.
func (p *Pools) Report() fireflypath.PeerLoad {
	load := fireflypath.NewPeerLoad("")
	for _, n := range *p.byName.Load() {
		n.Report(&load)
	}
	return load
}

// UpdatePeers applies the reported in-flight and waiting work of the other daemons.
func (p *Pools) UpdatePeers(peers []fireflypath.PeerLoad) {
	for _, n := range *p.byName.Load() {
		n.UpdatePeers(peers)
	}
}

// Demands returns a summary of the load of each pool.
func (p *Pools) Demands() []fireflypath.Demand {
	all := *p.byName.Load()
	out := make([]fireflypath.Demand, 0, len(all))
	for _, n := range all {
		out = append(out, n.Demand())
	}
	return out
}

// Relieve refuses waiting requests of lower tiers in the named pool and returns
// the tokens freed.
func (p *Pools) Relieve(name string, rank, tokens int) int {
	if n := (*p.byName.Load())[name]; n != nil {
		return n.Relieve(rank, tokens)
	}
	return 0
}

// ApplyShare applies this daemon's share of the windows of a pool's targets.
func (p *Pools) ApplyShare(name string, s fireflypath.Share) {
	p.shareMu.Lock()
	defer p.shareMu.Unlock()
	p.shares.Store(name, s)
	if n := (*p.byName.Load())[name]; n != nil {
		n.SetShare(s)
	}
}

// Serves reports whether this daemon may send requests to the target. In a large
// fleet a daemon serves only some of the targets: polling the load of all 2,700
// targets each second would exceed the bandwidth allowed for control traffic many
// times over.
func (p *Pools) Serves(t fireflypath.Target) bool {
	v, ok := p.shares.Load(t.Pool)
	if !ok {
		return true
	}
	s := v.(fireflypath.Share)
	if fraction, ok := s.Fractions[t.Name]; ok {
		return fraction > 0
	}
	return s.Default > 0
}

// TargetLeaving stops the dispatch of new requests to the target.
func (p *Pools) TargetLeaving(target, reason string) {
	p.Observe(fireflypath.Event{Kind: fireflypath.EventLeaving, Target: target, Cached: -1})
}

// TargetStaying allows the dispatch of new requests to the target again.
func (p *Pools) TargetStaying(target string) {
	p.Observe(fireflypath.Event{Kind: fireflypath.EventStaying, Target: target, Cached: -1})
}
