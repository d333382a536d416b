package daemon

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/caller"
	"github.com/fireflypath/fireflypath/internal/caller/departures"
	"github.com/fireflypath/fireflypath/internal/caller/door"
	"github.com/fireflypath/fireflypath/internal/claim"
	"github.com/fireflypath/fireflypath/internal/claim/memory"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/engine"
	"github.com/fireflypath/fireflypath/internal/platform"
	"github.com/fireflypath/fireflypath/internal/route"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
	"github.com/fireflypath/fireflypath/internal/route/meter"
	"github.com/fireflypath/fireflypath/internal/route/poll"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/service"
)

const (
	// defaultSilence is many times the pause between two tokens and short
	// against a minute, the usual patience of callers.
	defaultSilence = 10 * time.Second
	// serviceSilence is how many times longer a plain service may be silent: it
	// cannot be asked again, so a wrong guess loses an answer.
	serviceSilence = 12
	// defaultBuffer holds the largest event seen in completions APIs many times.
	defaultBuffer = 256 << 10
	// defaultConnections is about the connections of a balancer's pools at 100
	// times today's rate for one entry host.
	defaultConnections = 8192
	// operatorBody holds the longest command, 16 KiB, with every byte escaped in JSON.
	operatorBody = 128 << 10
	// operatorRead ends a call that trickles in; operatorIdle is above the
	// seconds between two calls of a living view or a scraper.
	operatorRead = 10 * time.Second
	operatorIdle = time.Minute
	// defaultWaiting is a minute of the peak's 57 requests a second and daemon at
	// 32 KB each, an eighth of a small host's memory.
	defaultWaiting = 128 << 20
	// flush is for writing the refusals at the end of a planned stop.
	flush = time.Second
)

// basics fills in the clock and the log.
type basics struct{}

func (basics) String() string { return "basics" }

func (basics) Run(ctx context.Context, d *Daemon) error {
	if d.deps.Clock == nil {
		d.deps.Clock = clockwork.NewRealClock()
	}
	if d.deps.Log == nil {
		d.deps.Log = zap.NewNop()
	}
	return nil
}

func (basics) Stop(context.Context, *Daemon) error { return nil }

// platformClient connects the Store and the host list.
type platformClient struct{}

func (platformClient) String() string { return "platform client" }

func (platformClient) Run(ctx context.Context, d *Daemon) error {
	if d.cfg.Platform.Addr == "" || d.deps.Store != nil {
		return nil
	}
	c := platform.New(d.cfg.Platform.Addr, d.cfg.Platform.Timeout.Std())
	d.deps.Store = c
	if d.deps.Hosts == nil {
		d.deps.Hosts = c
	}
	return nil
}

func (platformClient) Stop(context.Context, *Daemon) error { return nil }

// scheduling makes the pools and keeps them as the configuration says.
type scheduling struct{}

func (scheduling) String() string { return "scheduling" }

func (scheduling) Run(ctx context.Context, d *Daemon) error {
	if d.deps.Scheduler == nil {
		d.deps.Scheduler = d.scheduler
	}
	waiting := d.cfg.Limits.Waiting
	if waiting == 0 {
		waiting = defaultWaiting
	}
	d.pools = pools.New(d.deps.Clock, d.deps.Relief, d.deps.Scheduler)
	d.pools.Bound(waiting)
	d.evidence = evidence.New(d.heardLeaving, d.heardBack)
	d.pools.Apply(d.deps.Configs.Current())
	d.work.Go(func() { d.pools.Follow(d.ctx, d.deps.Configs) })
	return nil
}

// scheduler is the shipped one. The seed differs between daemons, so that
// equal views do not send everything to the same target.
func (d *Daemon) scheduler(p fireflypath.Pool) fireflypath.Scheduler {
	lowest := 0
	for _, t := range d.deps.Configs.Current().Tiers {
		lowest = max(lowest, t.Rank)
	}
	return sched.New(sched.Config{Pool: p, Lowest: lowest, Seed: xxhash.Sum64String(d.cfg.Name + "/" + p.Name)})
}

func (scheduling) Stop(ctx context.Context, d *Daemon) error {
	d.pools.Stop(stopping)
	return nil
}

// backends makes the clients towards targets.
type backends struct{}

func (backends) String() string { return "backends" }

func (backends) Run(ctx context.Context, d *Daemon) error {
	silence := d.cfg.Limits.Silence.Std()
	if silence == 0 {
		silence = defaultSilence
	}
	buffer := d.cfg.Limits.Buffer
	if buffer == 0 {
		buffer = defaultBuffer
	}
	d.engine = engine.New(d.deps.Clock, silence, buffer)
	d.service = service.New(d.deps.Clock, serviceSilence*silence)
	return nil
}

func (backends) Stop(ctx context.Context, d *Daemon) error {
	d.engine.Close()
	d.service.Close()
	return nil
}

// claims keeps idempotency keys in the platform's service.
type claims struct{}

func (claims) String() string { return "claims" }

func (claims) Run(ctx context.Context, d *Daemon) error {
	store := d.deps.Store
	if store == nil {
		store = memory.New()
	}
	d.claims = claim.New(store, d.deps.Clock)
	return nil
}

func (claims) Stop(ctx context.Context, d *Daemon) error {
	d.claims.Close(ctx)
	return nil
}

// theRoute puts the request's steps together.
type theRoute struct{}

func (theRoute) String() string { return "route" }

func (theRoute) Run(ctx context.Context, d *Daemon) error {
	d.route = route.New(route.Deps{
		Name:    d.cfg.Name,
		Clock:   d.deps.Clock,
		Configs: d.deps.Configs,
		Pools:   d.pools,
		Backends: map[fireflypath.Kind]fireflypath.Backend{
			fireflypath.KindEngine:  d.engine,
			fireflypath.KindService: d.service,
		},
		Claims:   d.claims,
		Meter:    meter.New(d.scope),
		Members:  d.deps.Members,
		Recorder: d.deps.Recorder,
		Leaving: func(target string) {
			d.evidence.Leaving(target, evidence.SourceTarget, d.deps.Clock.Now())
		},
	})
	return nil
}

func (theRoute) Stop(context.Context, *Daemon) error { return nil }

// heardLeaving ends new work to a target here and tells the peers.
func (d *Daemon) heardLeaving(target, why string) {
	d.deps.Log.Info("target leaves", zap.String("target", target), zap.String("why", why))
	d.pools.TargetLeaving(target, why)
	if d.deps.Leaving != nil && why != string(evidence.SourcePeers) {
		d.deps.Leaving(target, why)
	}
}

func (d *Daemon) heardBack(target string) {
	d.deps.Log.Info("target is back", zap.String("target", target))
	d.pools.TargetBack(target)
	if d.deps.Back != nil {
		d.deps.Back(target)
	}
}

// polling reads the state of targets and hosts.
type polling struct{}

func (polling) String() string { return "polling" }

func (polling) Run(ctx context.Context, d *Daemon) error {
	p := poll.New(poll.Deps{
		Clock:   d.deps.Clock,
		Configs: d.deps.Configs,
		Watchers: map[fireflypath.Kind]fireflypath.Watcher{
			fireflypath.KindEngine:  d.engine,
			fireflypath.KindService: d.service,
		},
		Hosts:    d.deps.Hosts,
		Serves:   d.pools.Serves,
		Observe:  d.pools.Observe,
		Evidence: d.evidence,
	})
	d.work.Go(func() { p.Run(d.ctx) })
	return nil
}

func (polling) Stop(context.Context, *Daemon) error { return nil }

// operatorEndpoint serves health, metrics, queries and commands.
type operatorEndpoint struct{}

func (operatorEndpoint) String() string { return "operator endpoint" }

func (operatorEndpoint) Run(ctx context.Context, d *Daemon) error {
	ln, err := d.listen(d.cfg.Listen.Operators, d.cfg.Listen.OperatorsTLS)
	if err != nil {
		return err
	}
	d.back = door.New(ln, 0, nil)
	d.operator = fiber.New(fiber.Config{
		BodyLimit: operatorBody, ReadTimeout: operatorRead, IdleTimeout: operatorIdle,
	})
	d.operator.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	d.operator.Get("/readyz", d.readyz)
	for _, add := range d.deps.Operator {
		add(d.operator)
	}
	d.work.Go(func() {
		_ = d.operator.Listener(d.back, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

func (operatorEndpoint) Stop(ctx context.Context, d *Daemon) error {
	return d.back.Kill()
}

func (d *Daemon) readyz(c fiber.Ctx) error {
	if !d.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// callerListener lets requests in.
type callerListener struct{}

func (callerListener) String() string { return "caller listener" }

func (callerListener) Run(ctx context.Context, d *Daemon) error {
	ln, err := d.listen(d.cfg.Listen.Callers, d.cfg.Listen.CallersTLS)
	if err != nil {
		return err
	}
	limit := d.cfg.Limits.Connections
	if limit == 0 {
		limit = defaultConnections
	}
	d.front = door.New(ln, limit, caller.Crowded)
	d.gone = departures.New(d.deps.Clock)
	d.callers = caller.New(d.route, d.gone, d.cfg.Limits)
	d.work.Go(func() { d.gone.Run(d.ctx) })
	d.work.Go(func() { _ = d.callers.Serve(d.front) })
	return nil
}

// stopping is the refusal of what still waits when a planned stop ends.
var stopping = fireflypath.Refusal{
	Code: fireflypath.ReasonStopping, Detail: "the daemon stops", RetryAfter: flush,
}

// Stop finishes the requests held. What still waits when the context ends is
// refused, and what still runs is cut, so that its caller sees the cut.
func (callerListener) Stop(ctx context.Context, d *Daemon) error {
	done := make(chan error, 1)
	go func() { done <- d.callers.Shutdown(context.WithoutCancel(ctx)) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	d.deps.Log.Info("planned stop at its limit", zap.Int("connections", d.front.Open()))
	d.pools.Stop(stopping)
	d.claims.Abort()
	select {
	case err := <-done:
		return err
	case <-d.deps.Clock.After(flush):
	}
	err := d.front.Kill()
	d.gone.All()
	return err
}

// readiness is the last thing up and the first down.
type readiness struct{}

func (readiness) String() string { return "readiness" }

func (readiness) Run(ctx context.Context, d *Daemon) error {
	if d.members != nil {
		d.members.SetAddresses(d.CallerAddr(), d.OperatorAddr())
	}
	d.ready.Store(true)
	return nil
}

func (readiness) Stop(ctx context.Context, d *Daemon) error {
	d.ready.Store(false)
	if d.members != nil {
		d.members.SetLeaving()
	}
	return nil
}
