// Package bodies bounds the memory of requests whose bodies are still being read.
package bodies

import "sync"

// Budget counts the bytes held for bodies over all connections.
//
// Without it the bound is connections times the largest body, 32 GiB by
// default: callers that send slowly, or a burst of large packets, would end a
// small host for want of memory and with it all requests held there.
type Budget struct {
	limit int

	mu           sync.Mutex
	used         int
	reservations map[*Reservation]struct{}
}

// New returns an empty count with a bound in bytes.
func New(limit int) *Budget {
	return &Budget{limit: limit, reservations: map[*Reservation]struct{}{}}
}

// Reservation is one request's part. It is used by one goroutine.
type Reservation struct {
	budget  *Budget
	rank    int
	onEvict func()
	// held is 0 after the body gave way; both are under of.mu.
	held    int
	evicted bool
}

// Reserve begins a body of a tier's rank. cut is called if the body must give way
// to one of a higher tier; it must not block.
func (b *Budget) Reserve(rank int, onEvict func()) *Reservation {
	r := &Reservation{budget: b, rank: rank, onEvict: onEvict}
	b.mu.Lock()
	b.reservations[r] = struct{}{}
	b.mu.Unlock()
	return r
}

// Used is the number of bytes held.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Grow reports whether n more bytes may be held. Bodies of lower tiers give
// way, the lowest first: a higher tier is not refused while they hold memory.
func (r *Reservation) Grow(n int) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted || !b.makeRoom(n, r.rank) {
		return false
	}
	r.held += n
	b.used += n
	return true
}

// makeRoom makes room for n bytes of the rank. The caller holds mu.
func (b *Budget) makeRoom(n, rank int) bool {
	if b.used+n <= b.limit {
		return true
	}
	evictable := 0
	for o := range b.reservations {
		if o.rank > rank {
			evictable += o.held
		}
	}
	if b.used+n-evictable > b.limit {
		return false
	}
	for b.used+n > b.limit {
		b.evictionCandidate().evict()
	}
	return true
}

// evictionCandidate is a body of the lowest tier that holds bytes. The caller holds mu.
func (b *Budget) evictionCandidate() *Reservation {
	var candidate *Reservation
	for o := range b.reservations {
		if o.held > 0 && (candidate == nil || o.rank > candidate.rank) {
			candidate = o
		}
	}
	return candidate
}

func (r *Reservation) evict() {
	r.budget.used -= r.held
	r.held, r.evicted = 0, true
	r.onEvict()
}

// Evicted reports whether the body had to give way.
func (r *Reservation) Evicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.evicted
}

// Close ends the body: it was read or refused.
func (r *Reservation) Close() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reservations, r)
	b.used -= r.held
	r.held = 0
}
