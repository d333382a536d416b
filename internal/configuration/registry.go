// Package configuration keeps the configuration in force and commits changes
// to the platform's key-value service.
package configuration

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
)

// ErrIncomplete means that a chunk named by a manifest could not be had.
var ErrIncomplete = errors.New("configuration misses a chunk")

// state is one generation in force with the bytes it was made of. It is never
// changed after it was published.
type state struct {
	config  *fireflypath.Config
	outline outline
	// raw holds the chunks of the outline, to serve peers and to restore the store.
	raw map[digest][]byte
}

// Registry is the configuration at one daemon. It implements
// fireflypath.Configs and fireflypath.Committer.
type Registry struct {
	store   fireflypath.Store
	initial *fireflypath.Config
	name    string
	clock   clockwork.Clock
	log     *zap.Logger
	count   counters
	// duty says what this daemon does for the others; nil means all of it.
	duty atomic.Pointer[func() Duty]

	// pages is how many chunks of the trail are kept and read.
	pages int

	current atomic.Pointer[state]

	// mu guards what follows; it is not on a request's path.
	mu      sync.Mutex
	changed chan struct{}
	// recent holds the outlines of the last generations, to tell peers the difference.
	recent []outline
	// seen is the newest manifest read from the store, with its revision.
	seen     *manifest
	revision uint64
	// trail caches chunks of the audit trail, which never change.
	trail map[digest]*page
	// suspects are chunks that no manifest named when last looked.
	suspects map[string]suspect
	// shard is the part of the chunks that is looked through next.
	shard int
}

type counters struct {
	applied, older, commits, unknown, conflicts, restored, collected, incomplete tally.Counter
	generation                                                                   tally.Gauge
}

var (
	_ fireflypath.Configs   = (*Registry)(nil)
	_ fireflypath.Committer = (*Registry)(nil)
)

// New makes a registry for the daemon of that name. A nil store means that
// initial alone is in force; initial may be nil.
func New(store fireflypath.Store, initial *fireflypath.Config, name string,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Registry {
	scope = scope.SubScope("configuration")
	r := &Registry{
		store: store, initial: initial, name: name, clock: clock, log: log,
		pages:    keptPages,
		changed:  make(chan struct{}),
		trail:    map[digest]*page{},
		suspects: map[string]suspect{},
		count: counters{
			applied: scope.Counter("applied"), older: scope.Counter("older"),
			commits: scope.Counter("commits"), unknown: scope.Counter("unknown"),
			conflicts: scope.Counter("conflicts"), restored: scope.Counter("restored"),
			collected: scope.Counter("collected"), incomplete: scope.Counter("incomplete"),
			generation: scope.Gauge("generation"),
		},
	}
	r.current.Store(&state{config: &fireflypath.Config{}})
	if store == nil && initial != nil {
		alone := *initial
		alone.Generation = max(1, initial.Generation)
		r.current.Store(&state{config: &alone, outline: outline{Generation: alone.Generation}})
	}
	return r
}

// Current is the configuration in force; generation 0 is the empty one.
func (r *Registry) Current() *fireflypath.Config {
	return r.current.Load().config
}

// Generation is the generation in force.
func (r *Registry) Generation() uint64 {
	return r.current.Load().outline.Generation
}

// Changed is closed when a newer generation than the given one is in force.
func (r *Registry) Changed(generation uint64) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.Generation() > generation {
		done := make(chan struct{})
		close(done)
		return done
	}
	return r.changed
}

// keptOutlines bounds the outlines kept for peers that are a little behind.
const keptOutlines = 8

// install puts a state in force unless it is not newer. A daemon that was
// paused, or that reads a store with older data, would otherwise take back an
// accepted change; the counter of older manifests shows that it was tried.
func (r *Registry) install(s *state) {
	r.mu.Lock()
	defer r.mu.Unlock()
	have := r.Generation()
	if s.outline.Generation <= have {
		if s.outline.Generation < have {
			r.count.older.Inc(1)
		}
		return
	}
	r.current.Store(s)
	r.recent = append(r.recent, s.outline)
	if len(r.recent) > keptOutlines {
		r.recent = r.recent[1:]
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.count.applied.Inc(1)
	r.count.generation.Update(float64(s.outline.Generation))
	r.log.Info("configuration in force",
		zap.Uint64("generation", s.outline.Generation), zap.String("change", s.outline.Change))
}

// fetch gets chunks by digest. It may return fewer than asked for.
type fetch func(ctx context.Context, ds []digest) (map[digest][]byte, error)

// assemble makes a state from an outline. Chunks already held are reused, the
// others are fetched and checked against their names, so that a torn or forged
// chunk is never applied.
func (r *Registry) assemble(ctx context.Context, o outline, get fetch) (*state, error) {
	have := r.current.Load()
	s := &state{outline: o, raw: make(map[digest][]byte, len(have.raw))}
	var missing []digest
	o.Lists.each(func(d digest) {
		if b, ok := have.raw[d]; ok {
			s.raw[d] = b
		} else if _, ok := s.raw[d]; !ok {
			s.raw[d] = nil
			missing = append(missing, d)
		}
	})
	if len(missing) > 0 {
		got, err := get(ctx, missing)
		if err != nil {
			return nil, err
		}
		for _, d := range missing {
			if digestOf(got[d]) != d {
				r.count.incomplete.Inc(1)
				return nil, errors.Wrapf(ErrIncomplete, "chunk %s of generation %d", d, o.Generation)
			}
			s.raw[d] = got[d]
		}
	}
	c, err := decode(&o, func(d digest) []byte { return s.raw[d] })
	if err != nil {
		return nil, err
	}
	s.config = c
	return s, nil
}
