// Package memory bounds the bytes that a daemon holds for others.
package memory

import (
	"fmt"
	"strings"
	"sync"
)

// Kind is what bytes are held for.
type Kind int

const (
	// KindBodies are bodies of requests, which further attempts need.
	KindBodies Kind = iota
	// KindAnswers are answers that are read before they are forwarded.
	KindAnswers
	// KindEvents are events of streams of which only a part has arrived.
	KindEvents
	// KindTunnels are bytes on their way between another daemon and a target.
	KindTunnels
	// KindCount is the number of kinds.
	KindCount
)

// String returns the name that is used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"bodies", "answers", "events", "tunnels"}[k]
}

// Usage is the number of bytes in use by kind.
type Usage [KindCount]int

// String returns the bytes of each kind that holds some.
func (u Usage) String() string {
	text := ""
	for k, n := range u {
		if n > 0 {
			text += fmt.Sprintf("%s %d, ", Kind(k), n)
		}
	}
	return strings.TrimSuffix(text, ", ")
}

// smallReservation is the size in bytes up to which a reservation may use all of a budget.
const smallReservation = 64 << 10

// Budget bounds the bytes reserved over all connections.
//
// Without it the bound would be the number of connections times the largest body, 32 GiB by
// default. Slow callers or a burst of large bodies could then exhaust the memory of a small
// host and end the daemon with all its requests.
type Budget struct {
	limit int
	// largeLimit is how much of the limit is left to answers and to reservations above
	// smallReservation, so that they do not keep out small bodies, which most callers send.
	largeLimit int

	mu   sync.Mutex
	used int
	// usage holds used by kind.
	usage Usage
	// reservations are those that can be evicted.
	reservations map[*Reservation]struct{}
}

// New returns an unused budget with a limit in bytes, of which answers and
// reservations above 64 KiB may use largeLimit.
func New(limit, largeLimit int) *Budget {
	return &Budget{limit: limit, largeLimit: largeLimit, reservations: map[*Reservation]struct{}{}}
}

// Reservation is the part of the budget that one holder uses. It must be used by one goroutine
// only.
type Reservation struct {
	budget  *Budget
	kind    Kind
	rank    int
	onEvict func()
	// reserved is the number of reserved bytes, 0 after an eviction. budget.mu guards both
	// fields.
	reserved int
	evicted  bool
}

// Reserve returns an empty reservation that is never evicted.
func (b *Budget) Reserve(kind Kind) *Reservation {
	return &Reservation{budget: b, kind: kind}
}

// ReserveEvictable returns an empty reservation for a body of a tier's rank. onEvict is called if
// the reservation is evicted in favor of a higher tier; it must not block.
func (b *Budget) ReserveEvictable(rank int, onEvict func()) *Reservation {
	r := &Reservation{budget: b, kind: KindBodies, rank: rank, onEvict: onEvict}
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

// Usage returns the bytes reserved by kind.
func (b *Budget) Usage() Usage {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usage
}

// Full reports whether new work finds no memory at all.
func (b *Budget) Full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used >= b.limit
}

// Grow reserves n more bytes and reports whether that was possible. If the budget is used up,
// reservations of lower tiers are evicted, the lowest tier first, so that a higher tier is
// not refused while they hold memory.
func (r *Reservation) Grow(n int) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	limit := b.limit
	if r.kind == KindAnswers || r.reserved+n > smallReservation {
		limit = b.largeLimit // answers stay for as long as their callers do not read them
	}
	if r.evicted || !b.makeRoom(n, limit, r.rank) {
		return false
	}
	r.add(n)
	return true
}

// Add reserves n more bytes in any case, for work that has begun and could only be broken off
// otherwise. It may exceed the limit, which new work then waits for.
func (r *Reservation) Add(n int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.add(n)
}

// add changes the reserved bytes. The caller holds mu.
func (r *Reservation) add(n int) {
	r.reserved += n
	r.budget.used += n
	r.budget.usage[r.kind] += n
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
	r.add(-r.reserved)
	r.evicted = true
	r.onEvict()
}

// Evicted reports whether the reservation was evicted.
func (r *Reservation) Evicted() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.evicted
}

// Close releases the reserved bytes once they are no longer used. It may be called again.
func (r *Reservation) Close() {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reservations, r)
	r.add(-r.reserved)
}
