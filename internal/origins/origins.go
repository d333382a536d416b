// Package origins shares between daemons at which version of a pool streams began.
//
// A caller whose stream broke comes back at any daemon, often because the one that began it has ended.
// While a stream may have begun at several versions or pools, each daemon therefore writes a record of it
// to a few others when it sends the request, and the daemon at which the caller comes back asks them. That
// no daemon has a record proves nothing: it may be lost. Then the stream goes on only if a view from after
// the caller's return shows that it can have begun nowhere else.
package origins

import (
	"context"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/origin"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// maxFreshAge is the age of a view of the targets up to which it shows all versions in use. A new version is
// used only by daemons that have seen its registration.
const maxFreshAge = time.Second

// Peers is the part of the peer endpoint that Registry uses.
type Peers interface {
	Handle(method string, m peer.Handler)
	Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error
}

// Deps are the dependencies of a Registry.
type Deps struct {
	// Self is this daemon's name.
	Self string
	// Peers and Members may be nil; then this daemon is the only one.
	Peers     Peers
	Members   fireflypath.Members
	Configs   fireflypath.Configs
	Freshness fireflypath.Freshness
	Clock     clockwork.Clock
	Scope     tally.Scope
	Log       *zap.Logger
}

// Registry records where streams began and finds it for callers that come back.
type Registry struct {
	deps    Deps
	metrics metrics
	// wake has an element when there are records to send.
	wake chan struct{}
	// awaiting has an element for each caller on whose behalf others are asked for a current view.
	awaiting chan struct{}

	mu      sync.Mutex
	table   origin.Table
	works   origin.Works
	history *origin.History
	// observed is the generation of the last configuration in history.
	observed uint64
	outbox   map[recordID]origin.Origin
}

// recordID identifies the record of a stream or of a work.
type recordID struct {
	key    origin.Key
	ofWork bool
}

type metrics struct {
	sent, sendFailures                       tally.Counter
	foundHere, foundElsewhere, only, unknown tally.Counter
}

// New returns a registry without records. It must be called before the endpoint of Peers serves.
func New(deps Deps) *Registry {
	scope := deps.Scope.SubScope("origins")
	r := &Registry{
		deps: deps, wake: make(chan struct{}, 1), awaiting: make(chan struct{}, maxAwaiting), history: origin.NewHistory(), outbox: map[recordID]origin.Origin{},
		metrics: metrics{
			sent: scope.Counter("sent"), sendFailures: scope.Counter("send_failures"),
			foundHere: scope.Counter("found_here"), foundElsewhere: scope.Counter("found_elsewhere"),
			only: scope.Counter("only_version"), unknown: scope.Counter("unknown"),
		},
	}
	if deps.Peers != nil {
		deps.Peers.Handle(methodRecord, r.handleRecord)
		deps.Peers.Handle(methodFind, r.handleFind)
	}
	return r
}

// Run follows the configuration and sends records until the context ends.
func (r *Registry) Run(ctx context.Context) {
	var wg conc.WaitGroup
	defer wg.Wait()
	wg.Go(func() { r.runSender(ctx) })
	for {
		cfg := r.deps.Configs.Current()
		r.observe(cfg)
		select {
		case <-ctx.Done():
			return
		case <-r.deps.Configs.Changed(cfg.Generation):
		}
	}
}

// observe updates the history. When a pool gets a second version, or another pool takes its place in a
// route, the streams that have begun until then need records elsewhere.
func (r *Registry) observe(cfg *fireflypath.Config) {
	now := r.deps.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if cfg.Generation <= r.observed {
		return // a later one was observed meanwhile
	}
	r.observed = cfg.Generation
	for _, pool := range r.history.Observe(now, cfg) {
		r.table.Each(pool, r.deps.Self, func(key origin.Key, o origin.Origin) { r.outbox[recordID{key: key}] = o })
		r.works.Each(pool, func(work origin.Key, o origin.Origin) { r.outbox[recordID{work, true}] = o })
		r.deps.Log.Info("streams of pool may have begun at several versions or pools, they are recorded", zap.String("pool", pool),
			zap.Strings("versions", r.history.Versions(now, pool)), zap.Strings("related_pools", r.history.Related(now, pool)))
	}
	r.wakeIfNeeded()
}

// Began records that a target of the origin is sent the request of a stream, or goes on with it. alone is
// true if streams of the route can begin in one pool only.
func (r *Registry) Began(key origin.Key, o origin.Origin, alone bool) {
	r.began(recordID{key: key}, o, alone)
}

// BeganWork is like Began for the work of a stream.
func (r *Registry) BeganWork(work origin.Key, o origin.Origin, alone bool) {
	r.began(recordID{work, true}, o, alone)
}

func (r *Registry) began(id recordID, o origin.Origin, alone bool) {
	if id.key == 0 {
		return
	}
	now := r.deps.Clock.Now()
	fresh := r.isFresh()
	r.observe(r.deps.Configs.Current())
	r.mu.Lock()
	defer r.mu.Unlock()
	r.record(now, id, r.deps.Self, o)
	// In a fleet that has just started, or whose views are old, nobody can say that there was no other
	// version.
	if !alone || r.history.Ambiguous(now, o.Pool) || !r.history.Complete(now) || !fresh {
		r.outbox[id] = o
		r.wakeIfNeeded()
	}
}

// record adds a record and drops those that have ended. The caller holds mu.
func (r *Registry) record(now time.Time, id recordID, from string, o origin.Origin) {
	r.prune(now)
	if id.ofWork {
		r.works.Record(now, id.key, o, from == r.deps.Self)
		return
	}
	r.table.Record(now, id.key, from, o)
}

// prune drops the records of streams that have ended. The caller holds mu.
func (r *Registry) prune(now time.Time) {
	if retention := r.history.Retention(); retention > 0 {
		r.table.Prune(now.Add(-retention))
		r.works.Prune(now.Add(-retention))
	}
}

// isFresh reports whether this daemon's view shows all versions in use.
func (r *Registry) isFresh() bool { return r.deps.Freshness.Age() <= maxFreshAge }

// wakeIfNeeded wakes the sender if there are records to send. The caller holds mu.
func (r *Registry) wakeIfNeeded() {
	if len(r.outbox) == 0 || r.deps.Peers == nil {
		clear(r.outbox)
		return
	}
	select {
	case r.wake <- struct{}{}:
	default:
	}
}
