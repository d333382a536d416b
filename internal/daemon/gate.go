package daemon

import (
	"context"
	"net"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/boottime"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/quota"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	decide "github.com/fireflypath/fireflypath/internal/decide/rollout"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/follow"
	"github.com/fireflypath/fireflypath/internal/gate"
	gatelimits "github.com/fireflypath/fireflypath/internal/gate/limits"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/lending"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/quarantine"
	"github.com/fireflypath/fireflypath/internal/rollout"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/tunnel"
	"github.com/fireflypath/fireflypath/internal/writeback"
	"github.com/fireflypath/fireflypath/platform"
)

const (
	// viewAgeMargin is subtracted from the time within which revoked keys must stop working.
	// It covers the time of a request from the caller to this daemon, and steps of the clock.
	viewAgeMargin = 400 * time.Millisecond
	// notFoundViewAgeFraction is the maximum age of a view that is used to answer that
	// something does not exist, as a fraction of the time within which a change must be in
	// force.
	notFoundViewAgeFraction = 0.9
	// sweepInterval is how often unused connections to targets are closed.
	sweepInterval = 2 * time.Second
	// initialDaemonCount is the number of daemons that are assumed to share limits before any
	// peer has reported.
	initialDaemonCount = 8
	// gcPercent lets the heap grow by half between two garbage collections. On small hosts
	// memory is scarcer than CPU time for the collector, because live data are a few MB.
	gcPercent = 50
	// goMemoryShare is the part of the host's memory above which the collector runs more often, so that
	// garbage does not take what connections and the program itself need.
	goMemoryShare = 0.5
)

// gatedSteps returns the start steps of a daemon that serves the routes of the platform's
// configuration.
func gatedSteps() []step {
	return []step{
		defaults{},
		metrics{},
		garbageCollector{},
		storeClient{},
		peers{},
		quarantineStep{},
		directoryStep{},
		gatedScheduling{},
		originsStep{},
		records{},
		gateStep{},
		gatedMembership{},
		directoryReader{},
		operators{},
		operatorEndpoint{},
		readyListener{},
		gateListener{},
		gatedReadiness{},
	}
}

// garbageCollector configures the garbage collector.
type garbageCollector struct{}

func (garbageCollector) String() string { return "collector" }

func (garbageCollector) Run(_ context.Context, d *Daemon) error {
	debug.SetGCPercent(gcPercent)
	if total := d.hostMemory(); total > 0 {
		debug.SetMemoryLimit(int64(goMemoryShare * float64(total)))
	}
	return nil
}

func (garbageCollector) Stop(context.Context, *Daemon) error { return nil }

// storeClient creates the client of the platform's store.
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

// directoryStep creates the view of the configuration and the targets in the store.
type directoryStep struct{}

func (directoryStep) String() string { return "directory" }

func (directoryStep) Run(_ context.Context, d *Daemon) error {
	feed, ok := d.deps.Store.(fireflypath.Feed)
	if !ok {
		return errors.New("the store does not support following changes")
	}
	var relay *follow.Feed
	if d.members != nil {
		relay = follow.New(d.cfg.Name, d.cfg.Domain, d.cfg.Gate.ActivationDelay.Std(), feed, d.peers, d.members, d.deps.Clock, d.scope, d.deps.Log)
		feed = relay
	}
	d.directory = directory.New(feed, d.deps.Codec, d.deps.Clock, boottime.System{}, d.scope, d.deps.Log)
	if interval := d.cfg.Platform.Renewal.Std(); interval > 0 {
		d.directory.SetRenewalInterval(interval)
	}
	lost := writeback.New(d.deps.Store, d.deps.Clock, d.scope, d.deps.Log)
	d.directory.OnRestore(lost.Write)
	d.background.Go(func() { lost.Run(d.ctx) })
	if d.quarantine != nil {
		d.directory.OnChange(quarantine.Prefix, d.quarantine.ApplyStoreEntry)
	}
	if relay != nil {
		d.feed = relay
		relay.Serve(d.directory)
		relay.OnStart(d.members.AdoptDomain)
		d.directory.OnRead(member.RecordPrefix, d.members.AdoptRecords)
		relay.OnRecords(d.adoptRecords)
		relay.OnMembers(d.members.AdoptMembers)
	}
	d.deps.Configs = d.directory
	d.startRollouts()
	return nil
}

// directoryReader starts to read the store. It comes after all that registers with the endpoint for
// peers, because the first read may connect to some.
type directoryReader struct{}

func (directoryReader) String() string { return "directory reader" }

func (directoryReader) Run(_ context.Context, d *Daemon) error {
	d.background.Go(d.reportStart)
	d.background.Go(func() { _ = d.directory.Run(d.ctx) })
	return nil
}

func (directoryReader) Stop(context.Context, *Daemon) error { return nil }

// adoptRecords adopts the daemons whose records are among the entries of the store.
func (d *Daemon) adoptRecords(entries []fireflypath.Entry) {
	d.members.AdoptRecords(slices.DeleteFunc(slices.Clone(entries), func(e fireflypath.Entry) bool {
		return !strings.HasPrefix(e.Key, member.RecordPrefix)
	}))
}

// startRollouts answers the operator's roll-out orders, if the platform has any.
func (d *Daemon) startRollouts() {
	codec, ok := d.deps.Codec.(fireflypath.RolloutCodec)
	if !ok || d.members == nil {
		return
	}
	deps := rollout.Deps{
		Self: d.cfg.Name, Members: d.members, Store: d.deps.Store, Codec: codec, Configs: d.directory,
		Clock: d.deps.Clock, Scope: d.scope, Log: d.deps.Log,
	}
	if s := d.cfg.Gate.Rollouts; s != nil {
		deps.Policy = decide.Policy{Share: s.Share, Slack: int(s.Slack), Rollback: s.Rollback.Std()}
		d.directory.EnableTrials()
		d.rollouts = rollout.NewTracker(rollout.TrackerDeps{
			Self: d.cfg.Name, Members: d.members, Peers: d.peers, Configs: d.directory, Policy: deps.Policy,
			Clock: d.deps.Clock, Scope: d.scope, Log: d.deps.Log,
		})
		deps.Tracker = d.rollouts
	}
	c := rollout.New(deps)
	if d.rollouts != nil {
		d.background.Go(func() { d.rollouts.Run(d.ctx) })
	}
	d.background.Go(func() { c.Run(d.ctx) })
}

func (directoryStep) Stop(context.Context, *Daemon) error { return nil }

// gatedScheduling creates the pools. Their targets report the number of their slots.
type gatedScheduling struct{}

func (gatedScheduling) String() string { return "scheduling" }

func (gatedScheduling) Run(_ context.Context, d *Daemon) error {
	maxWaitingBytes := d.cfg.Limits.Waiting
	if maxWaitingBytes == 0 {
		maxWaitingBytes = defaultMaxWaitingBytes
	}
	if d.deps.Scheduler == nil {
		d.deps.Scheduler = d.gatedScheduler
	}
	d.pools = pools.New(d.deps.Clock, nil, d.deps.Scheduler)
	d.pools.SetMaxWaitingBytes(maxWaitingBytes)
	if d.members != nil {
		d.dispatch = dispatch.New(d.cfg.Name, d.peers, d.members, d.deps.Clock, boottime.System{}, d.scope, d.deps.Log, d.dispatcherScheduler)
		if d.cfg.Gate.Lend {
			l := lending.New(d.cfg.Name, d.peers, d.dispatch, d.deps.Clock, d.scope, d.deps.Log)
			d.background.Go(func() { l.Run(d.ctx) })
		}
		d.pools.OnCreate(d.addToDispatcher)
		d.background.Go(d.updateDispatcher)
	}
	d.pools.Apply(d.deps.Configs.Current())
	d.background.Go(func() { d.pools.Follow(d.ctx, d.deps.Configs) })
	return nil
}

// gatedScheduler returns the scheduler of a pool. Its work is placed by one of the daemons that
// share the pool's targets.
func (d *Daemon) gatedScheduler(p fireflypath.Pool) fireflypath.Scheduler {
	seed, tuning := xxhash.Sum64String(d.cfg.Name+"/"+p.Name), slots.StandaloneTuning()
	tuning.FairTeams = d.cfg.Gate.Fair
	tuning.Returns = d.cfg.Gate.Returns
	if d.members == nil {
		return slots.New(p, seed, tuning)
	}
	tuning.UseTargetReports, tuning.Lend = true, d.lends(p)
	r := remote.New(slots.New(p, seed, tuning))
	if d.cfg.Gate.Fair {
		r.SendTeams()
	}
	return r
}

// dispatcherScheduler returns the scheduler that a dispatcher uses for all daemons that share the
// pool's targets.
func (d *Daemon) dispatcherScheduler(p fireflypath.Pool) dispatcher.Scheduler {
	tuning := slots.DispatcherTuning()
	if p.Kind != fireflypath.KindEngine {
		tuning = slots.ServiceDispatcherTuning()
	}
	tuning.FairTeams = d.cfg.Gate.Fair
	tuning.Returns = d.cfg.Gate.Returns
	tuning.Lend = d.lends(p)
	return slots.New(p, xxhash.Sum64String(d.cfg.Name+"/"+p.Name), tuning)
}

// lends reports whether cells lend each other slots of the pool.
func (d *Daemon) lends(p fireflypath.Pool) bool {
	return d.cfg.Gate.Lend && p.Kind == fireflypath.KindEngine
}

// addToDispatcher has the dispatcher place the work of a pool whose scheduler is remote.
func (d *Daemon) addToDispatcher(cfg fireflypath.Pool, p *pool.Pool, s fireflypath.Scheduler) {
	if r, ok := s.(*remote.Scheduler); ok {
		d.dispatch.AddPool(p, cfg, r)
	}
}

// updateDispatcher applies each new configuration to the dispatcher.
func (d *Daemon) updateDispatcher() {
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
	d.pools.Stop(stopRefusal)
	if d.dispatch != nil {
		d.dispatch.Close()
	}
	return nil
}

// gateStep creates the gate, which handles the requests of callers.
type gateStep struct{}

func (gateStep) String() string { return "gate" }

func (gateStep) Run(_ context.Context, d *Daemon) error {
	g := d.cfg.Gate
	d.limits = gatelimits.New(gatelimits.Config{
		Ratio: g.Retries.Ratio, Window: g.Retries.Window.Std(), Allowance: g.Retries.Allowance,
		Quotas: d.quotaTolerance(),
	}, initialDaemonCount, 1.0/initialDaemonCount)
	d.memory = d.newMemoryBudget()
	d.targetClient = http1.New(d.deps.Clock, d.deps.Codec.Headers().ID, d.targetDialer())
	deps := gate.Deps{
		Clock: d.deps.Clock, Codec: d.deps.Codec, Configs: d.deps.Configs, Freshness: d.directory,
		Pools: d.pools, Client: d.targetClient, Limits: d.limits, Recorder: d.deps.Recorder, Origins: d.origins,
		Memory:  d.memory,
		Returns: g.Returns, Scope: d.scope, Log: d.deps.Log,
		MaxKeyViewAge:      g.RevocationDelay.Std() - viewAgeMargin,
		MaxNotFoundViewAge: time.Duration(notFoundViewAgeFraction * float64(g.ActivationDelay)),
		Started:            d.inForce,
		Fair:               g.Fair,
	}
	if d.rollouts != nil {
		deps.Rollouts = d.rollouts
	}
	if d.quarantine != nil {
		deps.Quarantine = d.quarantine
		d.background.Go(func() { _ = d.quarantine.Run(d.ctx) })
	}
	d.gate = gate.New(deps)
	d.background.Go(d.updateQuotas)
	return nil
}

// targetDialer returns what connects to targets, through a peer where this daemon's own path is lost.
func (d *Daemon) targetDialer() http1.Dialer {
	direct := http1.Direct{Source: net.ParseIP(d.cfg.Host.Source)}
	if d.members == nil {
		return direct
	}
	d.tunnel = tunnel.New(d.cfg.Name, direct, d.peers, d.members, d.deps.Configs, d.memory, d.deps.Clock, d.scope, d.deps.Log)
	d.tunnel.LimitServed(maxTunnels())
	return d.tunnel
}

// updateQuotas applies each new configuration to the teams' quotas.
func (d *Daemon) updateQuotas() {
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

func (gateStep) Stop(context.Context, *Daemon) error { return nil }

// quotaTolerance returns how far quotas may be exceeded.
func (d *Daemon) quotaTolerance() quota.Tolerance {
	t := d.cfg.Gate.Quotas
	return quota.Tolerance{Over: t.Overshoot, Slack: t.Slack, Window: t.Window.Std()}
}

// sweepConnections closes connections to targets that are no longer used, and those of callers that have been
// idle for longer than the configuration allows.
func (d *Daemon) sweepConnections() {
	t := d.deps.Clock.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-t.Chan():
		}
		cfg := d.deps.Configs.Current()
		if idle := cfg.Bounds.Idle.Std(); idle > 0 {
			d.callerConns.CloseIdle(idle)
		}
		targets := cfg.Targets
		d.targetClient.Sweep(targets)
		if d.tunnel != nil {
			d.tunnel.Retain(targets)
		}
	}
}

// gatedReadiness marks the daemon as ready. It is the last step to start and the first to stop.
type gatedReadiness struct{}

func (gatedReadiness) String() string { return "readiness" }

func (gatedReadiness) Run(_ context.Context, d *Daemon) error {
	if d.members != nil {
		d.members.SetAddresses(d.gateAddr, d.OperatorAddr())
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
