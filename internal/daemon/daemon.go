// Package daemon assembles a daemon as an ordered list of start steps.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/caller"
	"github.com/fireflypath/fireflypath/internal/caller/departures"
	"github.com/fireflypath/fireflypath/internal/caller/door"
	"github.com/fireflypath/fireflypath/internal/claim"
	registry "github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/engine"
	"github.com/fireflypath/fireflypath/internal/exchange"
	"github.com/fireflypath/fireflypath/internal/gate"
	ceilings "github.com/fireflypath/fireflypath/internal/gate/limits"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/leaving"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/order"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/quarantine"
	"github.com/fireflypath/fireflypath/internal/route"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/service"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// Deps are what tests and demos put in place of the real parts; a start step
// makes each that is nil.
type Deps struct {
	Store fireflypath.Store
	// Codec reads what the platform keeps; used with a gate.
	Codec     fireflypath.Codec
	Hosts     fireflypath.Hosts
	Configs   fireflypath.Configs
	Committer fireflypath.Committer
	Orderer   fireflypath.Orderer
	Members   fireflypath.Members
	Relief    fireflypath.Relief
	Recorder  fireflypath.Recorder
	// Unrecorded leaves the recorder out, to measure what it costs.
	Unrecorded bool
	Scheduler  func(fireflypath.Pool) fireflypath.Scheduler
	Clock      clockwork.Clock
	Log        *zap.Logger
	// Operator adds calls to the operators' endpoint.
	Operator []func(*fiber.App)
	// Leaving and Back spread first-hand evidence of targets to peers.
	Leaving func(target, why string)
	Back    func(target string)
}

// Daemon is one process's worth of the system. The steps fill its fields in
// their order and empty them in the reverse one.
type Daemon struct {
	cfg   settings.Settings
	deps  Deps
	steps []step
	// started is the number of steps that ran.
	started int

	// ctx ends with the daemon; background work runs in work.
	ctx    context.Context
	cancel context.CancelFunc
	work   conc.WaitGroup

	registry *registry.Registry
	members  *member.Membership
	peers    *peer.Endpoint
	peerPort net.Listener
	exchange *exchange.Exchange
	board    *leaving.Tracker
	orders   *order.Issuer

	scope    tally.Scope
	reports  io.Closer
	pools    *pools.Pools
	rules    rules.Rules
	evidence *evidence.Evidence
	claims   *claim.Claims
	engine   *engine.Engine
	service  *service.Service
	route    *route.Route
	gone     *departures.Watcher
	callers  *caller.Server
	front    *door.Listener
	operator *fiber.App
	back     *door.Listener
	ready    atomic.Bool

	// The fields below are those of a daemon with a gate.
	quarantine  *quarantine.Quarantine
	directory   *directory.Directory
	dispatch    *dispatch.Dispatch
	limits      *ceilings.Limits
	targets     *http1.Client
	gate        *gate.Gate
	entry       *http.Server
	entryAddr   string
	readyServer *http.Server
}

// step is one part of starting. Stop undoes Run, within the context's time.
type step interface {
	String() string
	Run(ctx context.Context, d *Daemon) error
	Stop(ctx context.Context, d *Daemon) error
}

// steps are run from top to bottom at the start, and stopped from the bottom up.
func steps() []step {
	return []step{
		basics{},
		metrics{},
		platformClient{},
		configuration{},
		peers{},
		scheduling{},
		backends{},
		orders{},
		membership{},
		claims{},
		records{},
		theRoute{},
		polling{},
		operators{},
		operatorEndpoint{},
		firstConfiguration{},
		callerListener{},
		readiness{},
	}
}

// New returns a daemon that has not started.
func New(cfg settings.Settings, deps Deps) (*Daemon, error) {
	if err := settings.Check(&cfg); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{cfg: cfg, deps: deps, steps: steps(), ctx: ctx, cancel: cancel}
	if cfg.Gate != nil {
		d.steps = gatedSteps()
	}
	return d, nil
}

// Start runs the steps. If one fails, those before it are stopped.
func (d *Daemon) Start(ctx context.Context) error {
	for _, s := range d.steps {
		if err := s.Run(ctx, d); err != nil {
			return errors.CombineErrors(errors.Wrapf(err, "start %s", s), d.Stop(ctx))
		}
		d.started++
	}
	d.deps.Log.Info("started",
		zap.String("name", d.cfg.Name), zap.String("callers", d.CallerAddr()), zap.String("operators", d.OperatorAddr()),
		zap.String("peers", d.peerAddr()))
	return nil
}

// Stop ends the daemon in order: it finishes what it holds until the context
// ends, and then refuses what still waits.
func (d *Daemon) Stop(ctx context.Context) error {
	var all error
	for d.started > 0 {
		d.started--
		s := d.steps[d.started]
		if err := s.Stop(ctx, d); err != nil {
			all = errors.CombineErrors(all, errors.Wrapf(err, "stop %s", s))
		}
	}
	d.cancel()
	d.work.Wait()
	return all
}

// Kill ends the daemon like a crash: nothing is finished and nobody is told.
func (d *Daemon) Kill() {
	d.cancel()
	if d.started < len(d.steps) {
		// It did not start, or has stopped: nothing is left to kill.
		return
	}
	_ = d.front.Kill()
	d.gone.DisconnectAll()
	_ = d.back.Kill()
	if d.peers != nil {
		d.peers.Close()
	}
	dead, cancel := context.WithCancel(context.Background())
	cancel()
	d.claims.Close(dead)
	d.pools.Stop(fireflypath.Refusal{Code: fireflypath.ReasonStopping, Detail: "killed"})
	d.work.Wait()
	_ = d.reports.Close()
}

// Ready reports whether the daemon takes requests.
func (d *Daemon) Ready() bool {
	return d.ready.Load()
}

// CallerAddr is the address that callers use.
func (d *Daemon) CallerAddr() string {
	if d.entryAddr != "" {
		return d.entryAddr
	}
	return addr(d.front)
}

// OperatorAddr is the address that operators use.
func (d *Daemon) OperatorAddr() string {
	return addr(d.back)
}

// peerAddr is the address that other daemons use, empty without any.
func (d *Daemon) peerAddr() string {
	if d.peerPort == nil {
		return ""
	}
	return d.peerPort.Addr().String()
}

func addr(ln net.Listener) string {
	if dr, ok := ln.(*door.Listener); ok && dr == nil {
		return ""
	}
	return ln.Addr().String()
}

// Demands summarises the pools.
func (d *Daemon) Demands() []fireflypath.Demand {
	return d.pools.Demands()
}
