package daemon

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/boottime"
	"github.com/fireflypath/fireflypath/internal/decide/quota"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/follow"
	"github.com/fireflypath/fireflypath/internal/gate"
	ceilings "github.com/fireflypath/fireflypath/internal/gate/limits"
	"github.com/fireflypath/fireflypath/internal/grants"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/usage"
	"github.com/fireflypath/fireflypath/platform"
)

const (
	// viewMargin is kept from the bound on revoked keys: what a request takes
	// from the caller to here, and the steps of the clock.
	viewMargin = 400 * time.Millisecond
	// forcePart is the part of the time for a change to be in force by which a
	// view may be old and still tell that something is unknown.
	forcePart = 0.9
	// headerBytes and headerTime bound a request's header; they are no stricter
	// than the platform's own limits.
	headerBytes = 32 << 10
	headerTime  = 10 * time.Second
	// idleCallers is above the idle time of any configuration, so that callers
	// close first.
	idleCallers = 90 * time.Second
	// sweepEvery is how often unused connections to targets are looked through.
	sweepEvery = 2 * time.Second
	// noticePart is the part of the grace time in which a daemon that stops still
	// takes requests: the balancer needs two looks a second apart to send callers
	// elsewhere. What is taken later could not be finished.
	noticePart = 0.33
	// yieldPart is when a daemon that stops refuses what still waits for a
	// target: its caller has time to get an answer elsewhere.
	yieldPart = 0.5
	// flushPart is kept for the last answers.
	flushPart = 0.06
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
		followed{},
		gatedScheduling{},
		records{},
		theGate{},
		gatedMembership{},
		operators{},
		operatorEndpoint{},
		gateListener{},
		readyListener{},
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
		relay = follow.New(d.cfg.Name, d.cfg.Domain, feed, d.peers, d.members, d.deps.Clock, d.scope)
		feed = relay
	}
	d.directory = directory.New(feed, d.deps.Codec, d.deps.Clock, boottime.System{}, d.scope, d.deps.Log)
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
		d.deps.Scheduler = func(p fireflypath.Pool) fireflypath.Scheduler {
			return slots.New(p, xxhash.Sum64String(d.cfg.Name+"/"+p.Name))
		}
	}
	d.pools = pools.New(d.deps.Clock, nil, d.deps.Scheduler)
	d.pools.Bound(waiting)
	d.pools.Apply(d.deps.Configs.Current())
	d.work.Go(func() { d.pools.Follow(d.ctx, d.deps.Configs) })
	return nil
}

func (gatedScheduling) Stop(_ context.Context, d *Daemon) error {
	d.pools.Stop(stopping)
	return nil
}

// gatedMembership joins the other daemons.
type gatedMembership struct{}

func (gatedMembership) String() string { return "membership" }

func (gatedMembership) Run(_ context.Context, d *Daemon) error {
	if d.members == nil {
		return nil
	}
	log := d.deps.Log
	u := usage.New(d.cfg.Name, d.peers, d.members, d.pools, d.limits, d.deps.Clock, d.scope)
	g := grants.New(d.cfg.Name, d.peers, d.members, d.limits, d.tolerance(), d.deps.Clock, d.scope)
	d.work.Go(func() { _ = u.Run(d.ctx) })
	d.work.Go(func() { _ = g.Run(d.ctx, func() bool { return d.members.Layout().Cells() > 1 }) })
	d.work.Go(d.followLayout)
	d.work.Go(func() { _ = d.members.Run(d.ctx) })
	d.work.Go(func() {
		if err := d.peers.Serve(d.peerPort); !errors.Is(err, peer.ErrClosed) {
			log.Error("no longer listening for peers", logs.Cause(err))
		}
	})
	return nil
}

// followLayout sets which targets this daemon sends work to.
func (d *Daemon) followLayout() {
	for {
		layoutChanged := d.members.Changed()
		cfg := d.deps.Configs.Current()
		targets := map[string][]string{}
		for _, t := range cfg.Targets {
			targets[t.Pool] = append(targets[t.Pool], t.Name)
		}
		for pool, names := range targets {
			d.pools.ApplyShare(pool, d.shareOf(names))
		}
		select {
		case <-d.ctx.Done():
			return
		case <-layoutChanged:
		case <-d.deps.Configs.Changed(cfg.Generation):
		}
	}
}

// shareOf is the part of a pool's targets that this daemon's cell serves.
func (d *Daemon) shareOf(names []string) fireflypath.Share {
	layout := d.members.Layout()
	if layout.Cells() == 1 {
		return fireflypath.Share{Default: 1}
	}
	mine, _ := layout.Serves(d.cfg.Name, names)
	if len(mine) == 0 || len(mine) == len(names) {
		return fireflypath.Share{Default: 1}
	}
	s := fireflypath.Share{Part: make(map[string]float64, len(mine))}
	for _, name := range mine {
		s.Part[name] = 1
	}
	return s
}

// Stop takes leave of the peers, after the requests held were finished.
func (gatedMembership) Stop(ctx context.Context, d *Daemon) error {
	if d.members != nil {
		d.members.Leave(ctx)
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
	d.gate = gate.New(gate.Deps{
		Clock: d.deps.Clock, Codec: d.deps.Codec, Configs: d.deps.Configs, Freshness: d.directory,
		Pools: d.pools, Client: d.targets, Limits: d.limits, Recorder: d.deps.Recorder,
		Scope: d.scope, Log: d.deps.Log,
		Revoked: g.Revoked.Std() - viewMargin,
		Unknown: time.Duration(forcePart * float64(g.Force)),
	})
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
	return quota.Tolerance{Over: t.Over, Slack: t.Slack, Window: t.Window.Std()}
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
		keep := map[string]bool{}
		for _, t := range d.deps.Configs.Current().Targets {
			keep[t.Addr] = true
		}
		d.targets.Sweep(keep)
	}
}

// gateListener lets callers in.
type gateListener struct{}

func (gateListener) String() string { return "caller listener" }

func (gateListener) Run(_ context.Context, d *Daemon) error {
	ln, err := d.listen(d.cfg.Listen.Callers, d.cfg.Listen.CallersTLS)
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %s", d.cfg.Listen.Callers)
	}
	d.entry = &http.Server{
		Handler:           d.gate,
		MaxHeaderBytes:    headerBytes,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleCallers,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
	d.entryAddr = ln.Addr().String()
	d.work.Go(func() {
		if err := d.entry.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.deps.Log.Error("no longer listening for callers", logs.Cause(err))
		}
	})
	return nil
}

// Stop takes requests for a while still, since the balancer has to notice
// first, and tells each caller to come back elsewhere. Then it finishes what it
// holds: what still waits for a target is refused as not run while there is time
// to get an answer elsewhere, and what runs at the end of the grace time is cut,
// so that its caller sees the cut.
func (gateListener) Stop(ctx context.Context, d *Daemon) error {
	grace := d.cfg.Gate.Grace.Std()
	d.pause(ctx, grace, noticePart)
	limit := time.Duration((1 - noticePart - flushPart) * float64(grace))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d.work.Go(func() {
		d.pause(ctx, grace, yieldPart-noticePart)
		d.pools.Stop(moving)
	})
	if err := d.entry.Shutdown(ctx); err != nil {
		d.deps.Log.Info("planned stop at its limit", logs.Cause(err))
	}
	return d.entry.Close()
}

// moving is the refusal of what still waits when a planned stop goes on.
var moving = fireflypath.Refusal{
	Code: fireflypath.ReasonStopping, Detail: "the daemon stops", RetryAfter: 50 * time.Millisecond,
}

// pause waits for a part of the grace time.
func (d *Daemon) pause(ctx context.Context, grace time.Duration, part float64) {
	select {
	case <-d.deps.Clock.After(time.Duration(part * float64(grace))):
	case <-ctx.Done():
	}
}

// readyListener tells the balancer whether to send callers here.
type readyListener struct{}

func (readyListener) String() string { return "ready listener" }

func (readyListener) Run(_ context.Context, d *Daemon) error {
	if d.cfg.Listen.Ready == "" {
		return nil
	}
	ln, err := d.listen(d.cfg.Listen.Ready, nil)
	if err != nil {
		return errors.Wrapf(err, "listen for the balancer on %s", d.cfg.Listen.Ready)
	}
	srv := &http.Server{
		ReadHeaderTimeout: headerTime, IdleTimeout: idleCallers, ErrorLog: zap.NewStdLog(zap.NewNop()),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !d.takes() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
	}
	d.readyServer = srv
	d.work.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.deps.Log.Error("no longer listening for the balancer", logs.Cause(err))
		}
	})
	return nil
}

func (readyListener) Stop(context.Context, *Daemon) error {
	return nil // the balancer reads "not ready" until the process ends
}

// takes is true while the daemon can serve callers: it has routes and targets,
// and a view that is young enough to run keyed requests.
func (d *Daemon) takes() bool {
	if !d.Ready() {
		return false
	}
	cfg := d.deps.Configs.Current()
	if len(cfg.Routes) == 0 || len(cfg.Targets) == 0 {
		return false
	}
	return d.directory.Age() < d.cfg.Gate.Revoked.Std()-viewMargin
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
	d.gate.Leave()
	if d.members != nil {
		d.members.SetLeaving()
	}
	return nil
}
