// Package record keeps the records of ended requests in bounded memory.
package record

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"unsafe"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

const (
	// DefaultBytes is the memory of a ring whose settings name none. The letter
	// allows a daemon 32 MB for control; records take half of it, because all
	// other control state is small and fixed.
	DefaultBytes = 16 << 20
	// shards is a power of two well above the cores of an entry host, so that
	// two requests that end at once seldom meet at one lock.
	shards = 64
	// maxCandidates bounds what one record can hold; a pool's subset of targets
	// at one daemon is of this size (DESIGN.md).
	maxCandidates = 16
	// overhead is the memory of a record's place in the ring and the index:
	// a slot of 24 bytes and an index entry of 24 bytes at a load of about a half.
	overhead = 72
	// initialSlots is the ring's first size; it doubles while the bytes allow.
	initialSlots = 16
)

// Ring is a fireflypath.Recorder. A record's shard follows from its id, each
// shard has a lock and a byte bound of its own, and its oldest record goes
// first. Requests that ended without a whole answer have rings of their own
// with half of the bytes: they are what operators ask about, and a flood of
// answered requests does not push them out.
//
// With DefaultBytes and 12 considered targets a record, 5,888 answered requests
// are kept: 103 s at 57 requests a second, 2.9 s at 2,000 (TestRetention prints
// both); the same again for requests without a whole answer.
type Ring struct {
	answered [shards]shard
	others   [shards]shard
	seq      atomic.Uint64
	dropped  atomic.Uint64
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
	return r
}

// Keep implements fireflypath.Recorder.
func (r *Ring) Keep(rec *fireflypath.Record) {
	trim(rec)
	k := kept{rec: rec, seq: r.seq.Add(1), size: size(rec)}
	r.dropped.Add(r.shard(rec).keep(k))
}

// Find implements fireflypath.Recorder.
func (r *Ring) Find(id string) *fireflypath.Record {
	i := index(id)
	if rec := r.others[i].find(id); rec != nil {
		return rec
	}
	return r.answered[i].find(id)
}

// Each implements fireflypath.Recorder. It visits a copy of the list, so that
// fn may take its time without holding up requests.
func (r *Ring) Each(fn func(*fireflypath.Record) bool) {
	var all []kept
	for i := range shards {
		all = r.answered[i].list(all)
		all = r.others[i].list(all)
	}
	slices.SortFunc(all, func(a, b kept) int { return cmp.Compare(b.seq, a.seq) })
	for _, k := range all {
		if !fn(k.rec) {
			return
		}
	}
}

// Dropped counts the records that made room for newer ones.
func (r *Ring) Dropped() uint64 {
	return r.dropped.Load()
}

func (r *Ring) shard(rec *fireflypath.Record) *shard {
	i := index(rec.ID)
	if rec.State == fireflypath.StateAnswered.String() {
		return &r.answered[i]
	}
	return &r.others[i]
}

func index(id string) uint64 {
	return xxhash.Sum64String(id) % shards
}

// kept is a record in its ring.
type kept struct {
	rec  *fireflypath.Record
	seq  uint64
	size int
}

// shard is a ring buffer with an index; its size in bytes stays within limit.
type shard struct {
	mu    sync.Mutex
	byID  map[string]*fireflypath.Record
	slots []kept
	// head is the oldest slot, n the number in use.
	head, n int
	bytes   int
	limit   int
	// _ keeps neighbours' locks on other cache lines.
	_ [64]byte
}

func (s *shard) keep(k kept) (dropped uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = make(map[string]*fireflypath.Record)
	}
	for s.n > 0 && s.bytes+k.size > s.limit {
		s.drop()
		dropped++
	}
	if s.n == len(s.slots) {
		s.grow()
	}
	s.slots[(s.head+s.n)%len(s.slots)] = k
	s.n++
	s.bytes += k.size
	s.byID[k.rec.ID] = k.rec
	return dropped
}

func (s *shard) drop() {
	k := s.slots[s.head]
	s.slots[s.head] = kept{}
	s.head = (s.head + 1) % len(s.slots)
	s.n--
	s.bytes -= k.size
	if s.byID[k.rec.ID] == k.rec {
		delete(s.byID, k.rec.ID)
	}
}

func (s *shard) grow() {
	next := make([]kept, max(initialSlots, 2*len(s.slots)))
	for i := range s.n {
		next[i] = s.slots[(s.head+i)%len(s.slots)]
	}
	s.slots, s.head = next, 0
}

func (s *shard) find(id string) *fireflypath.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

func (s *shard) list(out []kept) []kept {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.n {
		out = append(out, s.slots[(s.head+i)%len(s.slots)])
	}
	return out
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
		if a.Skip == "" != (b.Skip == "") {
			return cmp.Compare(len(a.Skip), len(b.Skip))
		}
		return cmp.Compare(a.Score, b.Score)
	}
	slices.SortStableFunc(rec.Considered, best)
	rec.Considered = slices.Clone(rec.Considered[:maxCandidates])
}

func chosen(c fireflypath.Candidate, rec *fireflypath.Record) int {
	if c.Target == rec.Target {
		return 1
	}
	return 0
}

// size estimates the memory of a record. Names of teams, tiers, pools and
// targets are shared with the configuration and count nothing; ids and
// sentences are the record's own.
func size(rec *fireflypath.Record) int {
	n := overhead + int(unsafe.Sizeof(*rec))
	n += len(rec.ID) + len(rec.Relief)
	n += cap(rec.Considered) * int(unsafe.Sizeof(fireflypath.Candidate{}))
	n += cap(rec.Unsent) * int(unsafe.Sizeof(""))
	for _, c := range rec.Considered {
		n += len(c.Skip)
	}
	if rec.Refusal != nil {
		n += int(unsafe.Sizeof(*rec.Refusal)) + len(rec.Refusal.Detail)
	}
	return n
}
