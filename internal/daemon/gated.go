package daemon

import (
	"context"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/boottime"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/quota"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/follow"
	"github.com/fireflypath/fireflypath/internal/gate"
	ceilings "github.com/fireflypath/fireflypath/internal/gate/limits"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/quarantine"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/platform"
)

const (
	// viewMargin is kept from the bound on revoked keys: what a request takes
	// from the caller to here, and the steps of the clock.
	viewMargin = 400 * time.Millisecond
	// forcePart is the part of the time for a change to be in force by which a
	// view may be old and still tell that something is unknown.
	forcePart = 0.9
	// sweepEvery is how often unused connections to targets are looked through.
	sweepEvery = 2 * time.Second
	// startDaemons is how many daemons are taken to share limits before any was heard.
	startDaemons = 8
	// collectPercent lets the heap grow by half between two collections. On small
	// hosts memory is dearer than the collector's time: live data are a few MB.
	collectPercent = 50
)

// gatedSteps are the start steps of a daemon that serves the routes of the
// platform's configuration.
func gatedSteps() []step {
	return []step{
		basics{},
		metrics{},
		collector{},
		storeClient{},
		peers{},
		held{},
		followed{},
		gatedScheduling{},
		records{},
		theGate{},
		gatedMembership{},
		operators{},
		operatorEndpoint{},
		readyListener{},
		gateListener{},
		gatedReadiness{},
	}
}

// collector sets when the collector runs.
type collector struct{}

func (collector) String() string { return "collector" }

func (collector) Run(context.Context, *Daemon) error {
	debug.SetGCPercent(collectPercent)
	return nil
}

func (collector) Stop(context.Context, *Daemon) error { return nil }

// storeClient connects the platform's store.
type storeClient struct{}

func (storeClient) String() string { return "store client" }

func (storeClient) Run(_ context.Context, d *Daemon) error {
	if d.deps.Codec == nil {
		d.deps.Codec = platform.Codec{}
	}
	if d.deps.Store != nil {
		return nil
	}
	if d.cfg.Platform.Addr == "" {
		return errors.New("the gate needs the platform's store")
	}
	d.deps.Store = platform.NewStore(d.cfg.Platform.Addr, d.cfg.Platform.Timeout.Std())
	return nil
}

func (storeClient) Stop(context.Context, *Daemon) error { return nil }

// followed is the configuration and the targets that the store holds.
type followed struct{}

func (followed) String() string { return "directory" }

func (followed) Run(_ context.Context, d *Daemon) error {
	feed, ok := d.deps.Store.(fireflypath.Feed)
	if !ok {
		return errors.New("the store cannot be followed")
	}
	var relay *follow.Feed
	if d.members != nil {
		relay = follow.New(d.cfg.Name, d.cfg.Domain, d.cfg.Gate.ActivationDelay.Std(), feed, d.peers, d.members, d.deps.Clock, d.scope, d.deps.Log)
		feed = relay
	}
	d.directory = directory.New(feed, d.deps.Codec, d.deps.Clock, boottime.System{}, d.scope, d.deps.Log)
	if d.quarantine != nil {
		d.directory.OnChange(quarantine.Prefix, d.quarantine.ApplyStoreEntry)
	}
	if relay != nil {
		relay.Serve(d.directory)
	}
	d.deps.Configs = d.directory
	d.work.Go(func() { _ = d.directory.Run(d.ctx) })
	return nil
}

func (followed) Stop(context.Context, *Daemon) error { return nil }

// gatedScheduling makes the pools, whose targets tell how many slots they have.
type gatedScheduling struct{}

func (gatedScheduling) String() string { return "scheduling" }

func (gatedScheduling) Run(_ context.Context, d *Daemon) error {
	waiting := d.cfg.Limits.Waiting
	if waiting == 0 {
		waiting = defaultWaiting
	}
	if d.deps.Scheduler == nil {
		d.deps.Scheduler = d.gatedScheduler
	}
	d.pools = pools.New(d.deps.Clock, nil, d.deps.Scheduler)
	d.pools.SetMaxWaitingBytes(waiting)
	if d.members != nil {
		d.dispatch = dispatch.New(d.cfg.Name, d.peers, d.members, d.deps.Clock, d.scope, d.deps.Log, d.shared)
		d.pools.OnCreate(d.place)
		d.work.Go(d.followTargets)
	}
	d.pools.Apply(d.deps.Configs.Current())
	d.work.Go(func() { d.pools.Follow(d.ctx, d.deps.Configs) })
	return nil
}

// gatedScheduler decides about a pool's work. That of model engines is placed by one
// daemon for all of a group; plain services are quick, so that what one daemon sees
// of them is enough.
func (d *Daemon) gatedScheduler(p fireflypath.Pool) fireflypath.Scheduler {
	seed, tune := xxhash.Sum64String(d.cfg.Name+"/"+p.Name), slots.StandaloneTuning()
	if p.Kind != fireflypath.KindEngine || d.members == nil {
		return slots.New(p, seed, tune)
	}
	tune.UseTargetReports = true
	return remote.New(slots.New(p, seed, tune))
}

// shared decides for all daemons of a group.
func (d *Daemon) shared(p fireflypath.Pool) dispatcher.Scheduler {
	return slots.New(p, xxhash.Sum64String(p.Name), slots.DispatcherTuning())
}

// place has the dispatcher place the work of pools that have one.
func (d *Daemon) place(cfg fireflypath.Pool, p *pool.Pool, s fireflypath.Scheduler) {
	if r, ok := s.(*remote.Scheduler); ok {
		d.dispatch.AddPool(p, cfg, r)
	}
}

// followTargets tells the dispatcher of the targets.
func (d *Daemon) followTargets() {
	for {
		cfg := d.deps.Configs.Current()
		d.dispatch.Apply(cfg)
		select {
		case <-d.ctx.Done():
			return
		case <-d.deps.Configs.Changed(cfg.Generation):
		}
	}
}

func (gatedScheduling) Stop(_ context.Context, d *Daemon) error {
	d.pools.Stop(stopping)
	if d.dispatch != nil {
		d.dispatch.Close()
	}
	return nil
}

// theGate puts the steps of a request together.
type theGate struct{}

func (theGate) String() string { return "gate" }

func (theGate) Run(_ context.Context, d *Daemon) error {
	g := d.cfg.Gate
	d.limits = ceilings.New(ceilings.Config{
		Ratio: g.Retries.Ratio, Window: g.Retries.Window.Std(), Allowance: g.Retries.Allowance,
		Quotas: d.tolerance(),
	}, startDaemons, 1.0/startDaemons)
	d.targets = http1.New(d.deps.Clock, d.deps.Codec.Headers().ID)
	deps := gate.Deps{
		Clock: d.deps.Clock, Codec: d.deps.Codec, Configs: d.deps.Configs, Freshness: d.directory,
		Pools: d.pools, Client: d.targets, Limits: d.limits, Recorder: d.deps.Recorder,
		Scope: d.scope, Log: d.deps.Log,
		MaxKeyViewAge:      g.RevocationDelay.Std() - viewMargin,
		MaxNotFoundViewAge: time.Duration(forcePart * float64(g.ActivationDelay)),
	}
	if d.quarantine != nil {
		deps.Quarantine = d.quarantine
		d.work.Go(func() { _ = d.quarantine.Run(d.ctx) })
	}
	d.gate = gate.New(deps)
	d.work.Go(d.sweep)
	d.work.Go(d.followQuotas)
	return nil
}

// followQuotas makes the teams' buckets as the configuration says.
func (d *Daemon) followQuotas() {
	for {
		cfg := d.deps.Configs.Current()
		d.limits.Apply(d.deps.Clock.Now(), cfg)
		select {
		case <-d.ctx.Done():
			return
		case <-d.deps.Configs.Changed(cfg.Generation):
		}
	}
}

func (theGate) Stop(context.Context, *Daemon) error { return nil }

// tolerance is how far quotas may be exceeded.
func (d *Daemon) tolerance() quota.Tolerance {
	t := d.cfg.Gate.Quotas
	return quota.Tolerance{Over: t.Overshoot, Slack: t.Slack, Window: t.Window.Std()}
}

// sweep closes connections to targets that are no longer used.
func (d *Daemon) sweep() {
	t := d.deps.Clock.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.Chan():
		}
		d.targets.Sweep(d.deps.Configs.Current().Targets)
	}
}

// gatedReadiness is the last thing up and the first down.
type gatedReadiness struct{}

func (gatedReadiness) String() string { return "readiness" }

func (gatedReadiness) Run(_ context.Context, d *Daemon) error {
	if d.members != nil {
		d.members.SetAddresses(d.entryAddr, d.OperatorAddr())
	}
	d.ready.Store(true)
	return nil
}

func (gatedReadiness) Stop(_ context.Context, d *Daemon) error {
	d.ready.Store(false)
	d.gate.StartDraining()
	if d.members != nil {
		d.members.SetLeaving()
	}
	return nil
}
