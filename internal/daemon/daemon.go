// Package daemon assembles a daemon from an ordered list of start steps.
package daemon

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/caller"
	"github.com/fireflypath/fireflypath/internal/caller/disconnect"
	"github.com/fireflypath/fireflypath/internal/caller/listener"
	"github.com/fireflypath/fireflypath/internal/claim"
	registry "github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/connlimit"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/engine"
	"github.com/fireflypath/fireflypath/internal/follow"
	"github.com/fireflypath/fireflypath/internal/gate"
	gatelimits "github.com/fireflypath/fireflypath/internal/gate/limits"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/leaving"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/memory"
	"github.com/fireflypath/fireflypath/internal/order"
	"github.com/fireflypath/fireflypath/internal/origins"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/quarantine"
	"github.com/fireflypath/fireflypath/internal/rollout"
	"github.com/fireflypath/fireflypath/internal/route"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/service"
	"github.com/fireflypath/fireflypath/internal/tunnel"
	"github.com/fireflypath/fireflypath/internal/windowshare"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// Deps are the parts that tests and demos can replace. The start steps create those that are nil.
type Deps struct {
	Store fireflypath.Store
	// Codec decodes the platform's stored values. It is used only with a gate.
	Codec     fireflypath.Codec
	Hosts     fireflypath.Hosts
	Configs   fireflypath.Configs
	Committer fireflypath.Committer
	Orderer   fireflypath.Orderer
	Members   fireflypath.Members
	Relief    fireflypath.Relief
	Recorder  fireflypath.Recorder
	// NoRecorder omits the recorder, to measure its cost.
	NoRecorder bool
	Scheduler  func(fireflypath.Pool) fireflypath.Scheduler
	Clock      clockwork.Clock
	Log        *zap.Logger
	// OperatorRoutes adds routes to the operator endpoint.
	OperatorRoutes []func(*fiber.App)
	// BroadcastLeaving and BroadcastStaying send first-hand evidence about targets to peers.
	BroadcastLeaving func(target, why string)
	BroadcastStaying func(target string)
}

// Daemon is the state of one daemon process. The start steps set its fields in order and release
// them in reverse order.
type Daemon struct {
	cfg   settings.Settings
	deps  Deps
	steps []step
	// startedSteps is the number of steps that were run.
	startedSteps int

	// ctx ends with the daemon; background holds the goroutines.
	ctx        context.Context
	cancel     context.CancelFunc
	background conc.WaitGroup

	registry       *registry.Registry
	members        *member.Membership
	peers          *peer.Endpoint
	peerListener   net.Listener
	windowShares   *windowshare.Manager
	leavingTracker *leaving.Tracker
	orders         *order.Issuer

	scope            tally.Scope
	metricsCloser    io.Closer
	pools            *pools.Pools
	rules            rules.Rules
	evidence         *evidence.Evidence
	claims           *claim.Claims
	engine           *engine.Engine
	service          *service.Service
	route            *route.Route
	disconnects      *disconnect.Watcher
	callerServer     *caller.Server
	callerListener   *listener.Listener
	operatorApp      *fiber.App
	operatorListener *listener.Listener
	ready            atomic.Bool

	// The fields below are set only in a daemon with a gate.
	quarantine *quarantine.Quarantine
	origins    *origins.Registry
	directory  *directory.Directory
	// feed is nil in a daemon without peers. inForce is closed once the first configuration is in force
	// in all parts of the daemon.
	feed    *follow.Feed
	inForce chan struct{}
	// sharesOf is the generation of the configuration whose shares were applied last.
	sharesMu sync.Mutex
	sharesOf uint64
	// rollouts is nil if versions are not tried.
	rollouts     *rollout.Tracker
	dispatch     *dispatch.Dispatch
	limits       *gatelimits.Limits
	targetClient *http1.Client
	tunnel       *tunnel.Tunnel
	// memory bounds what the gate and the tunnel hold.
	memory     *memory.Budget
	gate       *gate.Gate
	gateServer *http.Server
	// callerConns limits the connections of callers of the gate.
	callerConns *connlimit.Listener
	gateAddr    string
	readyServer *http.Server
}

// step is one start step. Stop reverses Run before the context ends.
type step interface {
	String() string
	Run(ctx context.Context, d *Daemon) error
	Stop(ctx context.Context, d *Daemon) error
}

// steps returns the start steps. They are run in order and stopped in reverse order.
func steps() []step {
	return []step{
		defaults{},
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
		routeStep{},
		polling{},
		operators{},
		operatorEndpoint{},
		firstConfiguration{},
		callerListener{},
		readiness{},
	}
}

// New returns a daemon that is not started.
func New(cfg settings.Settings, deps Deps) (*Daemon, error) {
	if err := settings.Check(&cfg); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{cfg: cfg, deps: deps, steps: steps(), ctx: ctx, cancel: cancel, inForce: make(chan struct{})}
	if cfg.Gate != nil {
		d.steps = gatedSteps()
	}
	return d, nil
}

// Start runs the steps. If one fails, the steps before it are stopped.
func (d *Daemon) Start(ctx context.Context) error {
	for _, s := range d.steps {
		if err := s.Run(ctx, d); err != nil {
			return errors.CombineErrors(errors.Wrapf(err, "start %s", s), d.Stop(ctx))
		}
		d.startedSteps++
	}
	d.deps.Log.Info("started",
		zap.String("name", d.cfg.Name), zap.String("callers", d.CallerAddr()), zap.String("operators", d.OperatorAddr()),
		zap.String("peers", d.peerAddr()))
	return nil
}

// Stop stops the daemon in order. It finishes the requests that the daemon holds until the context
// ends, and then refuses those that still wait.
func (d *Daemon) Stop(ctx context.Context) error {
	var errs error
	for d.startedSteps > 0 {
		d.startedSteps--
		s := d.steps[d.startedSteps]
		if err := s.Stop(ctx, d); err != nil {
			errs = errors.CombineErrors(errs, errors.Wrapf(err, "stop %s", s))
		}
	}
	d.cancel()
	d.background.Wait()
	return errs
}

// Kill ends the daemon like a crash: no request is finished and no peer is notified.
func (d *Daemon) Kill() {
	d.cancel()
	if d.startedSteps < len(d.steps) {
		// The daemon did not start or has already stopped.
		return
	}
	_ = d.callerListener.Kill()
	d.disconnects.DisconnectAll()
	_ = d.operatorListener.Kill()
	if d.peers != nil {
		d.peers.Close()
	}
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	d.claims.Close(canceled)
	d.pools.Stop(fireflypath.Refusal{Code: fireflypath.ReasonStopping, Detail: "killed"})
	d.background.Wait()
	_ = d.metricsCloser.Close()
}

// Ready reports whether the daemon accepts requests.
func (d *Daemon) Ready() bool {
	return d.ready.Load()
}

// CallerAddr returns the address for callers.
func (d *Daemon) CallerAddr() string {
	if d.gateAddr != "" {
		return d.gateAddr
	}
	return listenerAddr(d.callerListener)
}

// OperatorAddr returns the address for operators.
func (d *Daemon) OperatorAddr() string {
	return listenerAddr(d.operatorListener)
}

// peerAddr returns the address for other daemons, or an empty string if there is none.
func (d *Daemon) peerAddr() string {
	if d.peerListener == nil {
		return ""
	}
	return d.peerListener.Addr().String()
}

func listenerAddr(ln net.Listener) string {
	if l, ok := ln.(*listener.Listener); ok && l == nil {
		return ""
	}
	return ln.Addr().String()
}

// Demands returns the demand of each pool.
func (d *Daemon) Demands() []fireflypath.Demand {
	return d.pools.Demands()
}
