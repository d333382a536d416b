// Package bodies bounds the memory of requests whose bodies are still being read.
package bodies

import "sync"

// Bodies counts the bytes held for bodies over all connections.
//
// Without it the bound is connections times the largest body, 32 GiB by
// default: callers that send slowly, or a burst of large packets, would end a
// small host for want of memory and with it all requests held there.
type Bodies struct {
	limit int

	mu   sync.Mutex
	used int
	open map[*Body]struct{}
}

// New returns an empty count with a bound in bytes.
func New(limit int) *Bodies {
	return &Bodies{limit: limit, open: map[*Body]struct{}{}}
}

// Body is one request's part. It is used by one goroutine.
type Body struct {
	of   *Bodies
	rank int
	cut  func()
	// held is 0 after the body gave way; both are under of.mu.
	held int
	gave bool
}

// Open begins a body of a tier's rank. cut is called if the body must give way
// to one of a higher tier; it must not block.
func (b *Bodies) Open(rank int, cut func()) *Body {
	body := &Body{of: b, rank: rank, cut: cut}
	b.mu.Lock()
	b.open[body] = struct{}{}
	b.mu.Unlock()
	return body
}

// Used is the number of bytes held.
func (b *Bodies) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Grow reports whether n more bytes may be held. Bodies of lower tiers give
// way, the lowest first: a higher tier is not refused while they hold memory.
func (d *Body) Grow(n int) bool {
	b := d.of
	b.mu.Lock()
	defer b.mu.Unlock()
	if d.gave || !b.room(n, d.rank) {
		return false
	}
	d.held += n
	b.used += n
	return true
}

// room makes room for n bytes of the rank. The caller holds mu.
func (b *Bodies) room(n, rank int) bool {
	if b.used+n <= b.limit {
		return true
	}
	lower := 0
	for o := range b.open {
		if o.rank > rank {
			lower += o.held
		}
	}
	if b.used+n-lower > b.limit {
		return false
	}
	for b.used+n > b.limit {
		b.lowest().giveWay()
	}
	return true
}

// lowest is a body of the lowest tier that holds bytes. The caller holds mu.
func (b *Bodies) lowest() *Body {
	var low *Body
	for o := range b.open {
		if o.held > 0 && (low == nil || o.rank > low.rank) {
			low = o
		}
	}
	return low
}

func (d *Body) giveWay() {
	d.of.used -= d.held
	d.held, d.gave = 0, true
	d.cut()
}

// Gave reports whether the body had to give way.
func (d *Body) Gave() bool {
	d.of.mu.Lock()
	defer d.of.mu.Unlock()
	return d.gave
}

// Close ends the body: it was read or refused.
func (d *Body) Close() {
	b := d.of
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, d)
	b.used -= d.held
	d.held = 0
}
