// Package bodies bounds the memory for request bodies.
package bodies

import "sync"

// smallBody is the size in bytes up to which a body may use all of a budget.
const smallBody = 64 << 10

// Budget bounds the bytes reserved for bodies over all connections.
//
// Without it the bound would be the number of connections times the largest body, 32 GiB by
// default. Slow callers or a burst of large bodies could then exhaust the memory of a small
// host and end the daemon with all its requests.
type Budget struct {
	limit int
	// largeLimit is how much of the limit is left to bodies above smallBody, so that they do not
	// keep out small ones, which most callers send.
	largeLimit int

	mu           sync.Mutex
	used         int
	reservations map[*Reservation]struct{}
}

// New returns an unused budget with a limit in bytes, of which bodies above 64 KiB may use largeLimit.
func New(limit, largeLimit int) *Budget {
	return &Budget{limit: limit, largeLimit: largeLimit, reservations: map[*Reservation]struct{}{}}
}

// Reservation is the part of the budget that one body uses. It must be used by one goroutine
// only.
type Reservation struct {
	budget  *Budget
	rank    int
	onEvict func()
	// reserved is the number of reserved bytes, 0 after an eviction. budget.mu guards both
	// fields.
	reserved int
	evicted  bool
}

// Reserve returns an empty reservation for a body of a tier's rank. onEvict is called if the
// reservation is evicted in favor of a higher tier; it must not block.
func (b *Budget) Reserve(rank int, onEvict func()) *Reservation {
	r := &Reservation{budget: b, rank: rank, onEvict: onEvict}
	b.mu.Lock()
	b.reservations[r] = struct{}{}
	b.mu.Unlock()
	return r
}

// Used returns the number of bytes reserved.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Grow reserves n more bytes and reports whether that was possible. If the budget is used up,
// reservations of lower tiers are evicted, the lowest tier first, so that a higher tier is
// not refused while they hold memory.
func (r *Reservation) Grow(n int) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if r.reserved+n > smallBody {
		limit = b.largeLimit
	}
	if r.evicted || !b.makeRoom(n, limit, r.rank) {
		return false
	}
	r.reserved += n
	b.used += n
	return true
}

// makeRoom evicts lower tiers until n more bytes fit, and reports whether they do. It evicts
// nothing if that would not be enough. The caller holds mu.
func (b *Budget) makeRoom(n, limit, rank int) bool {
	if b.used+n <= limit {
		return true
	}
	evictable := 0
	for r := range b.reservations {
		if r.rank > rank {
			evictable += r.reserved
		}
	}
	if b.used+n-evictable > limit {
		return false
	}
	for b.used+n > limit {
		b.evictionCandidate().evict()
	}
	return true
}

// evictionCandidate returns a reservation of the lowest tier that holds bytes. The caller
// holds mu.
func (b *Budget) evictionCandidate() *Reservation {
	var candidate *Reservation
	for r := range b.reservations {
		if r.reserved > 0 && (candidate == nil || r.rank > candidate.rank) {
			candidate = r
		}
	}
	return candidate
}

func (r *Reservation) evict() {
	r.budget.used -= r.reserved
	r.reserved, r.evicted = 0, true
	r.onEvict()
}

// Evicted reports whether the reservation was evicted.
func (r *Reservation) Evicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.evicted
}

// Close releases the reserved bytes once the body is no longer used.
func (r *Reservation) Close() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reservations, r)
	b.used -= r.reserved
	r.reserved = 0
}
