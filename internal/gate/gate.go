// Package gate serves callers over HTTP by the routes that operators set.
package gate

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/allowance"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/gate/limits"
	"github.com/fireflypath/fireflypath/internal/gate/table"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/route/pools"
)

// Deps is what a gate needs.
type Deps struct {
	Clock     clockwork.Clock
	Codec     fireflypath.Codec
	Configs   fireflypath.Configs
	Freshness fireflypath.Freshness
	Pools     *pools.Pools
	Client    *http1.Client
	Limits    *limits.Limits
	Recorder  fireflypath.Recorder
	// Quarantine may be nil: no request is held then.
	Quarantine Quarantine
	Scope      tally.Scope
	Log        *zap.Logger
	// MaxKeyViewAge bounds the age of the view by which requests with a key run: an
	// operator may have taken a key away since.
	MaxKeyViewAge time.Duration
	// MaxNotFoundViewAge bounds the age of the view by which a request is refused as unknown.
	MaxNotFoundViewAge time.Duration
}

// Quarantine knows the requests that end targets.
type Quarantine interface {
	// Held is how long the request is held, and whether it is.
	Held(d digest.Digest) (time.Duration, bool)
	// TargetCrashed takes in that a target ended while it ran a request that was sent at the
	// given time, Served that it answered one whole.
	TargetCrashed(d digest.Digest, t fireflypath.Target, sent time.Time)
	Served(d digest.Digest, t fireflypath.Target, sent time.Time)
}

// Gate runs requests. It implements http.Handler.
type Gate struct {
	deps         Deps
	headers      fireflypath.Headers
	ownedHeaders map[string]bool
	tables       table.Cache
	metrics      *metrics
	steps        []step
	mu           sync.Mutex
	// callerAllowances tell callers who come back from new ones, by route.
	callerAllowances map[string]*allowance.Meter
	// draining is true once a planned stop began.
	draining atomic.Bool
}

// step is one part of a request's way. A refusal ends it.
type step struct {
	name string
	run  func(*call) *refusal
}

// New returns a gate.
func New(deps Deps) *Gate {
	g := &Gate{
		deps: deps, headers: deps.Codec.Headers(), ownedHeaders: map[string]bool{}, metrics: newMetrics(deps.Scope),
		callerAllowances: map[string]*allowance.Meter{},
	}
	if g.deps.Quarantine == nil {
		g.deps.Quarantine = noQuarantine{}
	}
	for _, name := range g.headers.Owned {
		g.ownedHeaders[http1.Canonical(name)] = true
	}
	for _, name := range hopByHop {
		g.ownedHeaders[name] = true
	}
	g.ownedHeaders[http1.Canonical(g.headers.Key)] = true
	g.ownedHeaders[http1.Canonical(g.headers.Deadline)] = true
	g.steps = []step{
		{"match", g.matchRoute},
		{"identify", g.identifyTeam},
		{"read", g.readBody},
		{"identify work", g.computeDigest},
		{"hold", g.refuseIfHeld},
		{"measure", g.setDeadlineAndCost},
		{"admit", g.takeQuota},
		{"forward", g.forward},
	}
	return g
}

// ServeHTTP runs one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	cfg := g.deps.Configs.Current()
	c := &call{
		w: w, r: r, cfg: cfg, table: g.tables.For(cfg),
		id: r.Header.Get(g.headers.ID), arrived: g.deps.Clock.Now(), viewAge: g.deps.Freshness.Age(),
	}
	c.ctx = r.Context()
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer func() {
		// An answer that breaks off must not look whole: the connection is closed
		// without an end mark.
		if c.truncated {
			panic(http.ErrAbortHandler)
		}
	}()
	defer func() { g.finish(c) }()
	for _, s := range g.steps {
		if ref := s.run(c); ref != nil {
			ref.step = s.name
			g.refuse(c, ref)
			break
		}
	}
	if c.cancel != nil {
		c.cancel()
	}
}

// StartDraining tells callers with each answer to come back on another connection.
func (g *Gate) StartDraining() {
	g.draining.Store(true)
}
