// Package memory bounds the bytes that a daemon holds for others.
package memory

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
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

const (
	// tinyBody is the size in bytes up to which a body needs no room in a budget: a connection costs about
	// as much by itself, and the number of connections is bounded.
	tinyBody = 8 << 10
	// smallReservation is the size in bytes up to which a reservation may use nearly all of a budget.
	smallReservation = 64 << 10
	// smallBodiesFraction is how much of the limit bodies may use. While they use no more, requests without
	// a large body are accepted.
	smallBodiesFraction = 7.0 / 8
	// stallTimeout is how long a body that is being read may take for the next progressStep bytes before it
	// can be evicted for others. Nothing is evicted while there is memory.
	stallTimeout = 2 * time.Second
	progressStep = 64 << 10
)

// Budget bounds the bytes reserved over all connections.
//
// Without it the bound would be the number of connections times the largest body, 32 GiB by
// default. Slow callers or a burst of large bodies could then exhaust the memory of a small
// host and end the daemon with all its requests.
type Budget struct {
	clock clockwork.Clock
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
func New(clock clockwork.Clock, limit, largeLimit int) *Budget {
	return &Budget{clock: clock, limit: limit, largeLimit: largeLimit, reservations: map[*Reservation]struct{}{}}
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
	// arrived reports whether there are bytes of the body that were not read yet. It may be nil.
	arrived func() bool
	// progressed is when the body that is being read last made progress. budget.mu guards it.
	progressed time.Time
}

// Reserve returns an empty reservation that is never evicted.
func (b *Budget) Reserve(kind Kind) *Reservation {
	return &Reservation{budget: b, kind: kind}
}

// ReserveEvictable returns an empty reservation for a body of a tier's rank that is about to be read.
// onEvict is called if the reservation is evicted in favor of a higher tier, or of any other body because
// its own stalls; it must not block.
func (b *Budget) ReserveEvictable(rank int, onEvict func()) *Reservation {
	r := &Reservation{budget: b, kind: KindBodies, rank: rank, onEvict: onEvict, progressed: b.clock.Now()}
	b.mu.Lock()
	b.reservations[r] = struct{}{}
	b.mu.Unlock()
	return r
}

// KeepWhile keeps the reservation from eviction for a stall while arrived reports that there are bytes of its body to read.
// arrived must not block.
func (r *Reservation) KeepWhile(arrived func() bool) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.arrived = arrived
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

// Ample reports whether more than half of the budget is free.
func (b *Budget) Ample() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used < b.limit/2
}

// Full reports whether new work finds no memory at all, also if stalled bodies are evicted for it.
func (b *Budget) Full() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used >= b.limit && !b.evictStalled(1, b.limit)
}

// Grow reserves n more bytes and reports whether that was possible. If the budget is used up,
// reservations of lower tiers are evicted, the lowest tier first, so that a higher tier is
// not refused while they hold memory, and then bodies that stall.
func (r *Reservation) Grow(n int) bool {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.evicted || !r.needsNoRoom(n) && !b.makeRoom(n, r.limit(n), r.rank) {
		return false
	}
	r.add(n)
	return true
}

// needsNoRoom reports whether n more bytes are allowed in any case. The caller holds mu.
func (r *Reservation) needsNoRoom(n int) bool {
	return r.kind == KindBodies && r.reserved+n <= tinyBody
}

// limit returns how much of the budget may be used after n more bytes. The caller holds mu.
func (r *Reservation) limit(n int) int {
	b := r.budget
	switch {
	case r.kind == KindAnswers || r.reserved+n > smallReservation:
		return b.largeLimit // answers stay for as long as their callers do not read them
	case r.kind == KindBodies:
		return max(b.largeLimit, int(smallBodiesFraction*float64(b.limit)))
	}
	return b.limit
}

// Progress records that another part of the body has arrived.
func (r *Reservation) Progress() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.progressed = r.budget.clock.Now()
}

// Keep ends the time in which the reservation can be evicted, as its body is whole. It reports false if the
// reservation was evicted.
func (r *Reservation) Keep() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	delete(r.budget.reservations, r)
	return !r.evicted
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

// makeRoom evicts lower tiers, or else stalled bodies, until n more bytes fit, and reports whether they do.
// It evicts nothing if that would not be enough. The caller holds mu.
func (b *Budget) makeRoom(n, limit, rank int) bool {
	return b.used+n <= limit || b.evictLowerTiers(n, limit, rank) || b.evictStalled(n, limit)
}

// evictLowerTiers evicts lower tiers until n more bytes fit. The caller holds mu.
func (b *Budget) evictLowerTiers(n, limit, rank int) bool {
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

// evictStalled evicts bodies that stall until n more bytes fit, the one that has stalled for longest first. It
// evicts nothing if that would not be enough.
//
// Clients that send nearly all of a body and stay would otherwise keep the memory for bodies for as long as
// their requests may take, and all others would be refused. The caller holds mu.
func (b *Budget) evictStalled(n, limit int) bool {
	before := b.clock.Now().Add(-stallTimeout)
	var late []*Reservation
	for r := range b.reservations {
		if r.reserved > 0 && r.progressed.Before(before) {
			late = append(late, r)
		}
	}
	slices.SortFunc(late, func(x, y *Reservation) int { return x.progressed.Compare(y.progressed) })
	var stalled []*Reservation
	missing := b.used + n - limit
	for _, r := range late {
		if missing <= 0 {
			break
		}
		if r.awaitsSender() {
			stalled = append(stalled, r)
			missing -= r.reserved
		}
	}
	if missing > 0 {
		return false
	}
	for _, r := range stalled {
		r.evict()
	}
	return true
}

// awaitsSender reports whether the next bytes of the body have not arrived. It is false if this daemon is late
// itself: a body that has arrived is not given up because the host has little processor time.
func (r *Reservation) awaitsSender() bool {
	return r.arrived == nil || !r.arrived()
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
