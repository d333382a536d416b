// Package record keeps the records of ended requests in bounded memory.
package record

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

const (
	// DefaultBytes is the memory of a ring if the settings give none. A daemon may use at most
	// 32 MB for control state; records get half of it, because all other control state is small
	// and of fixed size.
	DefaultBytes = 16 << 20
	// shards is a power of two near the number of cores of an entry host. That makes lock
	// contention between requests that end at the same time rare, and is few enough that the
	// memory written to is still in the processor's cache.
	shards = 16
	// maxCandidates bounds the size of a record. It is the size of a pool's subset of targets
	// at one daemon (DESIGN.md).
	maxCandidates = 16
)

// Ring is a fireflypath.Recorder. Records are distributed over shards by the hash of their id.
// Each shard has its own lock and circular buffer and evicts its oldest record first. Requests
// that ended without a complete answer have separate shards with half of the memory: operators
// mostly ask about these, and a flood of answered requests must not evict them.
//
// With DefaultBytes and 12 considered targets per record, 20,112 answered requests are kept,
// which is 353 s at 57 requests per second and 10 s at 2,000 (TestRetention prints both), and
// about as many requests without a complete answer.
type Ring struct {
	answered   [shards]shard
	unanswered [shards]shard
	seq        atomic.Uint64
	dropped    atomic.Uint64
	// encodeBuffers holds *[]byte, so that records are encoded outside of the locks.
	encodeBuffers sync.Pool
}

// New returns a ring that takes at most the given memory; 0 means DefaultBytes.
func New(bytes int) *Ring {
	if bytes <= 0 {
		bytes = DefaultBytes
	}
	r := &Ring{}
	shardBytes := bytes / (2 * shards)
	for i := range shards {
		r.answered[i].limit = shardBytes
		r.unanswered[i].limit = shardBytes
	}
	r.encodeBuffers.New = func() any { return new([]byte) }
	return r
}

// Keep implements fireflypath.Recorder.
func (r *Ring) Keep(rec *fireflypath.Record) {
	limitCandidates(rec)
	buf := r.encodeBuffers.Get().(*[]byte)
	*buf = encode((*buf)[:0], rec)
	hash := xxhash.Sum64String(rec.ID)
	r.dropped.Add(r.shard(hash, rec).put(hash, r.seq.Add(1), *buf))
	r.encodeBuffers.Put(buf)
}

// Find implements fireflypath.Recorder. The returned record belongs to the caller.
func (r *Ring) Find(id string) *fireflypath.Record {
	hash := xxhash.Sum64String(id)
	if rec := r.unanswered[hash%shards].find(hash, id); rec != nil {
		return rec
	}
	return r.answered[hash%shards].find(hash, id)
}

// Each implements fireflypath.Recorder. It holds no lock while fn runs and decodes one record at
// a time. Records that are evicted meanwhile are left out.
func (r *Ring) Each(fn func(*fireflypath.Record) bool) {
	var locations []location
	for i := range shards {
		locations = r.answered[i].appendLocations(locations)
		locations = r.unanswered[i].appendLocations(locations)
	}
	slices.SortFunc(locations, func(a, b location) int { return cmp.Compare(b.seq, a.seq) })
	for _, loc := range locations {
		if rec := loc.record(); rec != nil && !fn(rec) {
			return
		}
	}
}

// Dropped returns the number of records that were evicted for newer ones, or not stored because
// they were larger than a shard.
func (r *Ring) Dropped() uint64 {
	return r.dropped.Load()
}

// Bytes returns the memory allocated for records.
func (r *Ring) Bytes() int {
	n := 0
	for i := range shards {
		n += r.answered[i].allocated() + r.unanswered[i].allocated()
	}
	return n
}

func (r *Ring) shard(hash uint64, rec *fireflypath.Record) *shard {
	if rec.State == fireflypath.StateAnswered.String() {
		return &r.answered[hash%shards]
	}
	return &r.unanswered[hash%shards]
}

// limitCandidates truncates the candidates to maxCandidates. It keeps the chosen target, then
// usable targets by score.
func limitCandidates(rec *fireflypath.Record) {
	if len(rec.Considered) <= maxCandidates {
		return
	}
	byPreference := func(a, b fireflypath.Candidate) int {
		if a.Target == rec.Target || b.Target == rec.Target {
			return cmp.Compare(chosenRank(b, rec), chosenRank(a, rec))
		}
		if a.SkipReason == "" != (b.SkipReason == "") {
			return cmp.Compare(len(a.SkipReason), len(b.SkipReason))
		}
		return cmp.Compare(a.Score, b.Score)
	}
	slices.SortStableFunc(rec.Considered, byPreference)
	rec.Considered = rec.Considered[:maxCandidates]
}

func chosenRank(c fireflypath.Candidate, rec *fireflypath.Record) int {
	if c.Target == rec.Target {
		return 1
	}
	return 0
}
