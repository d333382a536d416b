// Package configuration holds the configuration in force at a daemon and commits changes to
// the platform's key-value store.
//
// A configuration is stored as content-addressed chunks and a manifest that lists their
// digests. A change uploads its chunks and then replaces the manifest by compare-and-swap.
// Each accepted change makes a new generation; daemons fetch it from the store or a peer
// and never go back to an older one.
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

// ErrIncomplete means that a chunk of a generation could not be fetched.
var ErrIncomplete = errors.New("configuration misses a chunk")

// state is a generation with its encoded chunks. It is immutable once published.
type state struct {
	config *fireflypath.Config
	index  generationIndex
	// chunks holds the chunks of the index, to serve peers and to restore the store.
	chunks map[digest][]byte
}

// Registry holds the configuration of one daemon and keeps it up to date. It implements
// fireflypath.Configs and fireflypath.Committer.
type Registry struct {
	store   fireflypath.Store
	initial *fireflypath.Config
	name    string
	clock   clockwork.Clock
	log     *zap.Logger
	metrics metrics
	// dutyFunc returns this daemon's current duty; nil means that it has all duties.
	dutyFunc atomic.Pointer[func() Duty]

	// retainedPages is the number of pages of the audit trail that are kept and read.
	retainedPages int

	current atomic.Pointer[state]

	// mu guards the fields below. No request takes it.
	mu sync.Mutex
	// changed is closed and replaced when a newer generation is activated.
	changed chan struct{}
	// recentIndexes holds the indexes of the last generations, so that peers can be sent
	// differences.
	recentIndexes []generationIndex
	// lastManifest is the newest manifest read from the store.
	lastManifest *manifest
	// watchRevision is the revision of lastManifest, from which a watch continues; 0 means
	// that the manifest must be read first.
	watchRevision uint64
	// pageCache caches pages of the audit trail, which are immutable.
	pageCache map[digest]*page
	// orphans holds the entries that were unreferenced at the last check, by key.
	orphans map[string]orphan
	// nextShard is the index in shardAlphabet of the next chunks to check; one past the end
	// stands for the pages of the audit trail.
	nextShard int
}

type metrics struct {
	applied, older, commits, unknown, conflicts, restored, collected, incomplete tally.Counter
	generation                                                                   tally.Gauge
}

var (
	_ fireflypath.Configs   = (*Registry)(nil)
	_ fireflypath.Committer = (*Registry)(nil)
)

// New returns a registry for the named daemon. Without a store, the initial configuration is
// in force from the start. Otherwise it is written to the store if that is empty. It may be
// nil.
func New(store fireflypath.Store, initial *fireflypath.Config, name string,
	clock clockwork.Clock, scope tally.Scope, log *zap.Logger,
) *Registry {
	scope = scope.SubScope("configuration")
	r := &Registry{
		store: store, initial: initial, name: name, clock: clock, log: log,
		retainedPages: defaultRetainedPages,
		changed:       make(chan struct{}),
		pageCache:     map[digest]*page{},
		orphans:       map[string]orphan{},
		metrics: metrics{
			applied: scope.Counter("applied"), older: scope.Counter("older"),
			commits: scope.Counter("commits"), unknown: scope.Counter("unknown"),
			conflicts: scope.Counter("conflicts"), restored: scope.Counter("restored"),
			collected: scope.Counter("collected"), incomplete: scope.Counter("incomplete"),
			generation: scope.Gauge("generation"),
		},
	}
	r.current.Store(&state{config: &fireflypath.Config{}})
	if store == nil && initial != nil {
		standalone := *initial
		standalone.Generation = max(1, initial.Generation)
		r.current.Store(&state{config: &standalone, index: generationIndex{Generation: standalone.Generation}})
	}
	return r
}

// Current returns the configuration in force. That of generation 0 is empty.
func (r *Registry) Current() *fireflypath.Config {
	return r.current.Load().config
}

// Generation returns the generation in force.
func (r *Registry) Generation() uint64 {
	return r.current.Load().index.Generation
}

// Changed returns a channel that is closed once a newer generation than the given one is in
// force.
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

// maxRecentIndexes is the number of indexes kept for differences to peers that are a few
// generations behind.
const maxRecentIndexes = 8

// activate puts a state in force if it is newer. Otherwise a daemon that was paused, or that
// reads a store with older data, would revert an accepted change. The metric
// configuration_older counts the older generations that were rejected.
func (r *Registry) activate(s *state) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.Generation()
	if s.index.Generation <= current {
		if s.index.Generation < current {
			r.metrics.older.Inc(1)
		}
		return
	}
	r.current.Store(s)
	r.recentIndexes = append(r.recentIndexes, s.index)
	if len(r.recentIndexes) > maxRecentIndexes {
		r.recentIndexes = r.recentIndexes[1:]
	}
	close(r.changed)
	r.changed = make(chan struct{})
	r.metrics.applied.Inc(1)
	r.metrics.generation.Update(float64(s.index.Generation))
	r.log.Info("activated configuration",
		zap.Uint64("generation", s.index.Generation), zap.String("change", s.index.Change))
}

// fetchFunc fetches chunks by digest. It may return fewer than requested.
type fetchFunc func(ctx context.Context, ds []digest) (map[digest][]byte, error)

// assemble builds the state of an index. It reuses the chunks of the generation in force,
// fetches the others and verifies their digests, so that an incomplete or forged chunk is
// never applied.
func (r *Registry) assemble(ctx context.Context, index generationIndex, fetch fetchFunc) (*state, error) {
	current := r.current.Load()
	s := &state{index: index, chunks: make(map[digest][]byte, len(current.chunks))}
	var missing []digest
	index.Lists.forEach(func(d digest) {
		if b, ok := current.chunks[d]; ok {
			s.chunks[d] = b
		} else if _, ok := s.chunks[d]; !ok {
			s.chunks[d] = nil
			missing = append(missing, d)
		}
	})
	if len(missing) > 0 {
		fetched, err := fetch(ctx, missing)
		if err != nil {
			return nil, err
		}
		for _, d := range missing {
			if computeDigest(fetched[d]) != d {
				r.metrics.incomplete.Inc(1)
				return nil, errors.Wrapf(ErrIncomplete, "chunk %s of generation %d", d, index.Generation)
			}
			s.chunks[d] = fetched[d]
		}
	}
	c, err := decode(&index, func(d digest) []byte { return s.chunks[d] })
	if err != nil {
		return nil, err
	}
	s.config = c
	return s, nil
}
