// Package gate serves callers' HTTP requests by forwarding them to targets along the
// configured routes.
package gate

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/origin"
	"github.com/fireflypath/fireflypath/internal/decide/retrydetect"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/gate/callerconn"
	"github.com/fireflypath/fireflypath/internal/gate/limits"
	"github.com/fireflypath/fireflypath/internal/gate/table"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/memory"
	"github.com/fireflypath/fireflypath/internal/route/pools"
)

// Deps are the dependencies and settings of a Gate.
type Deps struct {
	Clock     clockwork.Clock
	Codec     fireflypath.Codec
	Configs   fireflypath.Configs
	Freshness fireflypath.Freshness
	Pools     *pools.Pools
	Client    *http1.Client
	Limits    *limits.Limits
	Recorder  fireflypath.Recorder
	// Memory bounds the bytes that are held for callers.
	Memory *memory.Budget
	// Quarantine may be nil; then no request is held.
	Quarantine Quarantine
	// Origins may be nil; then a caller's resumed stream may go on at any target.
	Origins Origins
	// Returns gives refused callers times at which there will be room for them, and recognizes those
	// that return then.
	Returns bool
	// Rollouts may be nil; then no version is tried.
	Rollouts Rollouts
	Scope    tally.Scope
	Log      *zap.Logger
	// MaxKeyViewAge is the maximum age of the configuration view for requests with a key:
	// the key may have been revoked since.
	MaxKeyViewAge time.Duration
	// MaxNotFoundViewAge is the maximum age of the configuration view for refusing a route
	// or key as unknown.
	MaxNotFoundViewAge time.Duration
	// Started is closed once the first configuration is in force in all parts of the daemon. It may be
	// nil; then no request waits for it.
	Started <-chan struct{}
	// Fair gives requests the weights of their teams.
	Fair bool
}

// Quarantine tracks poison requests: requests that crash the targets that run them. A request is
// identified by its causes: the digest of the request itself, followed by those of the parts that
// it shares with others.
type Quarantine interface {
	// Held returns the digest of what holds a request, and for how much longer the request is
	// refused. It reports false if the request is not held.
	Held(causes []digest.Digest) (held digest.Digest, remaining time.Duration, ok bool)
	// TargetCrashed records that a target crashed while it ran a request sent at the given
	// time.
	TargetCrashed(causes []digest.Digest, t fireflypath.Target, sent time.Time)
	// Alive records that a target answered a request that was sent at the given time.
	Alive(t fireflypath.Target, sent time.Time)
	// Served records that a target answered a request completely that was sent at the given
	// time.
	Served(causes []digest.Digest, t fireflypath.Target, sent time.Time)
}

// Origins knows at which versions of pools streams began.
type Origins interface {
	// Began records that a target of the origin is sent the request of a stream, or goes on with it.
	// alone is true if streams of the route can begin in one pool only.
	Began(key origin.Key, o origin.Origin, alone bool)
	// BeganWork is like Began for the work of a stream, by which a caller is recognized that does not
	// name the request that began its stream.
	BeganWork(work origin.Key, o origin.Origin, alone bool)
	// Find returns where a stream began that may have begun in one of the pools. It reports false if
	// nobody knows.
	Find(ctx context.Context, key origin.Key, pools []string) (origin.Origin, bool)
	// FindWork is like Find for the only stream of a work.
	FindWork(ctx context.Context, work origin.Key, pools []string) (origin.Origin, bool)
}

// Gate forwards callers' requests to targets. It implements http.Handler.
type Gate struct {
	deps    Deps
	headers fireflypath.Headers
	// droppedHeaders are the headers of callers' requests that are not forwarded.
	droppedHeaders map[string]bool
	tables         table.Cache
	metrics        *metrics
	noticeLog      noticeLog
	steps          []step
	mu             sync.Mutex
	// retryDetectors distinguish callers that retry from new ones, by route.
	retryDetectors map[string]*retrydetect.Detector
	start          startHold
	// discards bounds what is read of refused bodies.
	discards *rate.Limiter
	// draining is true once a planned shutdown began.
	draining atomic.Bool
}

// step is one stage of processing a request. A refusal ends the processing.
type step struct {
	name string
	run  func(*call) *refusal
}

// New returns a gate with the given dependencies.
func New(deps Deps) *Gate {
	g := &Gate{
		deps: deps, headers: deps.Codec.Headers(), droppedHeaders: map[string]bool{}, metrics: newMetrics(deps.Scope),
		retryDetectors: map[string]*retrydetect.Detector{}, start: startHold{since: deps.Clock.Now()},
		discards: rate.NewLimiter(discardRate, discardBurst),
	}
	if g.deps.Quarantine == nil {
		g.deps.Quarantine = noQuarantine{}
	}
	if g.deps.Rollouts == nil {
		g.deps.Rollouts = noRollouts{}
	}
	if g.deps.Origins == nil {
		g.deps.Origins = noOrigins{}
	}
	for _, name := range g.headers.DaemonOnly {
		g.droppedHeaders[http1.CanonicalHeader(name)] = true
	}
	for _, name := range hopByHopRequestHeaders {
		g.droppedHeaders[name] = true
	}
	g.droppedHeaders[http1.CanonicalHeader(g.headers.Key)] = true
	g.droppedHeaders[http1.CanonicalHeader(g.headers.Deadline)] = true
	// Sent on, it would have a target leave out events of a stream that cannot be resumed.
	g.droppedHeaders[http1.CanonicalHeader(g.headers.Event)] = true
	g.steps = []step{
		{"connect", g.refuseExcess},
		{"match", g.matchRoute},
		{"identify", g.identifyTeam},
		{"limit time", g.limitTime},
		{"make room", g.refuseIfMemoryFull},
		{"read", g.readBody},
		{"identify work", g.computeDigest},
		{"hold", g.refuseIfHeld},
		{"measure", g.setDeadlineAndCost},
		{"resume", g.findOrigin},
		{"admit", g.takeQuota},
		{"forward", g.forward},
	}
	return g
}

// ServeHTTP runs the steps for one request.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := g.deps.Clock.Now()
	g.awaitStart(r.Context(), arrived)
	// The age is read first, so that it is not that of a later configuration.
	viewAge := g.deps.Freshness.ConfigAge()
	cfg := g.deps.Configs.Current()
	c := &call{
		w: w, r: r, conn: callerconn.From(r.Context()), cfg: cfg, table: g.tables.For(cfg),
		id: r.Header.Get(g.headers.ID), arrived: arrived, viewAge: viewAge,
	}
	c.ctx = r.Context()
	c.limitWriting(arrived.Add(defaultTimeout))
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	defer func() {
		// A truncated response must not look complete: aborting the handler closes the
		// connection without a terminating chunk.
		if c.truncated {
			c.conn.Break()
			panic(http.ErrAbortHandler)
		}
		g.endInOrder(c)
	}()
	defer func() {
		g.finish(c)
		g.releaseMemory(c)
	}()
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

// StartDraining makes every further response ask its caller to use another connection.
func (g *Gate) StartDraining() {
	g.draining.Store(true)
}
