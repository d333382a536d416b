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
	// DefaultBytes is the memory of a ring whose settings name none. The letter
	// allows a daemon 32 MB for control; records take half of it, because all
	// other control state is small and fixed.
	DefaultBytes = 16 << 20
	// shards is a power of two around the cores of an entry host, so that two
	// requests that end at once seldom meet at one lock, and few enough that the
	// place written to is still in the processor's cache.
	shards = 16
	// maxCandidates bounds what one record can hold; a pool's subset of targets
	// at one daemon is of this size (DESIGN.md).
	maxCandidates = 16
)

// Ring is a fireflypath.Recorder. A record's shard follows from its id, each
// shard has a lock and a circular buffer of its own, and its oldest record goes
// first. Requests that ended without a whole answer have shards of their own
// with half of the bytes: they are what operators ask about, and a flood of
// answered requests does not push them out.
//
// With DefaultBytes and 12 considered targets a record, 20,112 answered requests
// are kept: 353 s at 57 requests a second, 10 s at 2,000 (TestRetention prints
// both); and about as many requests without a whole answer.
type Ring struct {
	answered [shards]shard
	others   [shards]shard
	seq      atomic.Uint64
	dropped  atomic.Uint64
	// scratch holds *[]byte to pack into, outside of the locks.
	scratch sync.Pool
}

// New returns a ring of at most the given bytes; 0 takes DefaultBytes.
func New(bytes int) *Ring {
	if bytes <= 0 {
		bytes = DefaultBytes
	}
	r := &Ring{}
	per := bytes / (2 * shards)
	for i := range shards {
		r.answered[i].limit = per
		r.others[i].limit = per
	}
	r.scratch.New = func() any { return new([]byte) }
	return r
}

// Keep implements fireflypath.Recorder.
func (r *Ring) Keep(rec *fireflypath.Record) {
	trim(rec)
	buf := r.scratch.Get().(*[]byte)
	*buf = pack((*buf)[:0], rec)
	hash := xxhash.Sum64String(rec.ID)
	r.dropped.Add(r.shard(hash, rec).keep(hash, r.seq.Add(1), *buf))
	r.scratch.Put(buf)
}

// Find implements fireflypath.Recorder; the record is the caller's own.
func (r *Ring) Find(id string) *fireflypath.Record {
	hash := xxhash.Sum64String(id)
	if rec := r.others[hash%shards].find(hash, id); rec != nil {
		return rec
	}
	return r.answered[hash%shards].find(hash, id)
}

// Each implements fireflypath.Recorder. It holds no lock while fn runs, and
// only one unpacked record at a time; records that made room meanwhile are left
// out.
func (r *Ring) Each(fn func(*fireflypath.Record) bool) {
	var all []place
	for i := range shards {
		all = r.answered[i].list(all)
		all = r.others[i].list(all)
	}
	slices.SortFunc(all, func(a, b place) int { return cmp.Compare(b.seq, a.seq) })
	for _, p := range all {
		if rec := p.load(); rec != nil && !fn(rec) {
			return
		}
	}
}

// Dropped counts the records that made room for newer ones.
func (r *Ring) Dropped() uint64 {
	return r.dropped.Load()
}

// Bytes is the memory that the records take.
func (r *Ring) Bytes() int {
	n := 0
	for i := range shards {
		n += r.answered[i].bytes() + r.others[i].bytes()
	}
	return n
}

func (r *Ring) shard(hash uint64, rec *fireflypath.Record) *shard {
	if rec.State == fireflypath.StateAnswered.String() {
		return &r.answered[hash%shards]
	}
	return &r.others[hash%shards]
}

// trim bounds the candidates; the chosen target stays, then the best scores.
func trim(rec *fireflypath.Record) {
	if len(rec.Considered) <= maxCandidates {
		return
	}
	best := func(a, b fireflypath.Candidate) int {
		if a.Target == rec.Target || b.Target == rec.Target {
			return cmp.Compare(chosen(b, rec), chosen(a, rec))
		}
		if a.SkipReason == "" != (b.SkipReason == "") {
			return cmp.Compare(len(a.SkipReason), len(b.SkipReason))
		}
		return cmp.Compare(a.Score, b.Score)
	}
	slices.SortStableFunc(rec.Considered, best)
	rec.Considered = rec.Considered[:maxCandidates]
}

func chosen(c fireflypath.Candidate, rec *fireflypath.Record) int {
	if c.Target == rec.Target {
		return 1
	}
	return 0
}
