// Package tries counts failed keys by source address and slows the next try.
package tries

import (
	"container/list"
	"net/netip"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
)

const (
	// free is the number of failures without a wait: a mistyped or old key.
	free = 3
	// firstWait doubles with each further failure up to maxWait. A key has 256
	// random bits, so the wait guards against load and noise in the counts more
	// than against a lucky guess.
	firstWait = time.Second
	maxWait   = time.Minute
	// forget is how long after its last failure an address starts anew.
	forget = 10 * time.Minute
	// maxSources bounds the memory: some 150 bytes each are 600 KB. The
	// address that failed longest ago is forgotten first.
	maxSources = 4096
)

// Tries holds failures by source address.
type Tries struct {
	clock clockwork.Clock
	mu    sync.Mutex
	// byAddr indexes order, whose front failed last.
	byAddr map[netip.Prefix]*list.Element
	order  *list.List
	failed uint64
	// known holds who has shown a valid key from where.
	known map[visit]struct{}
}

// visit is an operator at a source.
type visit struct {
	addr netip.Prefix
	name string
}

type source struct {
	addr   netip.Prefix
	n      int
	failed time.Time
}

// New returns an empty Tries.
func New(clock clockwork.Clock) *Tries {
	return &Tries{clock: clock, byAddr: make(map[netip.Prefix]*list.Element), order: list.New(), known: make(map[visit]struct{})}
}

// Wait is how long an address must wait before its next try is looked at.
func (t *Tries) Wait(addr netip.Addr) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.byAddr[group(addr)]
	if !ok {
		return 0
	}
	s := e.Value.(*source)
	age := t.clock.Now().Sub(s.failed)
	if age >= forget {
		t.remove(e)
		return 0
	}
	return max(0, pause(s.n)-age)
}

// Passed notes a valid key. Its operator need not wait at this address any more:
// without this, one script with an old key would shut everybody out who works
// from the same host. Somebody who guesses is not known there, so that a right
// guess gets the same answer as a wrong one.
func (t *Tries) Passed(addr netip.Addr, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.known) >= maxSources {
		clear(t.known)
	}
	t.known[visit{group(addr), name}] = struct{}{}
}

// Known tells whether the operator has shown a valid key from this address.
func (t *Tries) Known(addr netip.Addr, name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, ok := t.known[visit{group(addr), name}]
	return ok
}

// Fail counts a failed try.
func (t *Tries) Fail(addr netip.Addr) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed++
	s := t.touch(group(addr))
	s.n++
	s.failed = t.clock.Now()
}

// Failed is the number of failed tries since the start.
func (t *Tries) Failed() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.failed
}

func (t *Tries) touch(addr netip.Prefix) *source {
	if e, ok := t.byAddr[addr]; ok {
		t.order.MoveToFront(e)
		return e.Value.(*source)
	}
	if t.order.Len() >= maxSources {
		t.remove(t.order.Back())
	}
	s := &source{addr: addr}
	t.byAddr[addr] = t.order.PushFront(s)
	return s
}

func (t *Tries) remove(e *list.Element) {
	t.order.Remove(e)
	delete(t.byAddr, e.Value.(*source).addr)
}

// group is the address itself, or the /64 of an IPv6 address: one host has all
// of it, and would otherwise be a new source with each try.
func group(addr netip.Addr) netip.Prefix {
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

func pause(n int) time.Duration {
	if n < free {
		return 0
	}
	d := firstWait
	for range n - free {
		d *= 2
		if d >= maxWait {
			return maxWait
		}
	}
	return d
}
