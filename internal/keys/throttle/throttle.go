// Package throttle delays authentication attempts from addresses that sent invalid keys.
package throttle

import (
	"container/list"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// freeFailures is the number of failures from which on attempts are delayed. The first ones
	// are free, because a key may be mistyped or old.
	freeFailures = 3
	// initialDelay doubles with each further failure, up to maxDelay. A key has 256 random bits,
	// so the delay protects against load and noise in the metrics rather than against guessing.
	initialDelay = time.Second
	maxDelay     = time.Minute
	// resetAfter is the time after the last failure when the failures of an address are reset.
	resetAfter = 10 * time.Minute
	// maxSources bounds the memory: at about 150 bytes per source it is 600 KB. The source whose
	// last failure is the oldest is evicted first.
	maxSources = 4096
)

// Throttle counts failed attempts by source address.
type Throttle struct {
	clock clockwork.Clock
	mu    sync.Mutex
	// byAddr indexes recent, which is sorted by the last failure, newest first.
	byAddr        map[netip.Prefix]*list.Element
	recent        *list.List
	totalFailures uint64
	// knownLogins contains the operators that sent a valid key, with their source addresses.
	knownLogins map[login]struct{}
}

// login is an operator's name and source address.
type login struct {
	addr netip.Prefix
	name string
}

type source struct {
	addr        netip.Prefix
	failures    int
	lastFailure time.Time
}

// New returns a Throttle without failures.
func New(clock clockwork.Clock) *Throttle {
	return &Throttle{clock: clock, byAddr: make(map[netip.Prefix]*list.Element), recent: list.New(), knownLogins: make(map[login]struct{})}
}

// Wait returns how long an address must wait until its next attempt is checked.
func (t *Throttle) Wait(addr netip.Addr) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byAddr[sourceOf(addr)]
	if !ok {
		return 0
	}
	s := e.Value.(*source)
	age := t.clock.Now().Sub(s.lastFailure)
	if age >= resetAfter {
		t.remove(e)
		return 0
	}
	return max(0, delay(s.failures)-age)
}

// RecordSuccess records a valid key. Its operator is no longer delayed at this address: otherwise
// one script with an old key would lock out everyone who works from the same host. Someone who
// guesses keys is not known at the address, so a correct guess gets the same response as a wrong
// one.
func (t *Throttle) RecordSuccess(addr netip.Addr, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.knownLogins) >= maxSources {
		clear(t.knownLogins)
	}
	t.knownLogins[login{sourceOf(addr), name}] = struct{}{}
}

// Known reports whether the operator has sent a valid key from this address.
func (t *Throttle) Known(addr netip.Addr, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.knownLogins[login{sourceOf(addr), name}]
	return ok
}

// RecordFailure counts a failed attempt.
func (t *Throttle) RecordFailure(addr netip.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.totalFailures++
	s := t.source(sourceOf(addr))
	s.failures++
	s.lastFailure = t.clock.Now()
}

// Failures returns the number of failed attempts since the start.
func (t *Throttle) Failures() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.totalFailures
}

// source returns the entry of an address as the most recent one. It adds the entry if necessary and
// evicts the oldest if there are too many.
func (t *Throttle) source(addr netip.Prefix) *source {
	if e, ok := t.byAddr[addr]; ok {
		t.recent.MoveToFront(e)
		return e.Value.(*source)
	}
	if t.recent.Len() >= maxSources {
		t.remove(t.recent.Back())
	}
	s := &source{addr: addr}
	t.byAddr[addr] = t.recent.PushFront(s)
	return s
}

func (t *Throttle) remove(e *list.Element) {
	t.recent.Remove(e)
	delete(t.byAddr, e.Value.(*source).addr)
}

// sourceOf returns the address itself, or the /64 network of an IPv6 address: a host usually has
// a whole /64 and could otherwise use a new source for each attempt.
func sourceOf(addr netip.Addr) netip.Prefix {
	addr = addr.Unmap()
	bits := addr.BitLen()
	if addr.Is6() {
		bits = 64
	}
	p, err := addr.Prefix(bits)
	if err != nil {
		return netip.Prefix{}
	}
	return p
}

// delay returns the wait after n failures.
func delay(n int) time.Duration {
	if n < freeFailures {
		return 0
	}
	d := initialDelay
	for range n - freeFailures {
		d *= 2
		if d >= maxDelay {
			return maxDelay
		}
	}
	return d
}
