package peer

import (
	"time"
)

// flushState holds the connections that the next flushes send a heartbeat on.
type flushState struct {
	// peers holds the names of the daemons that the next flush to single ones includes.
	peers map[string]bool
	// toPeers and toNeighbours limit how often each kind of flush happens.
	toPeers, toNeighbours flushTimer
}

// flushTimer is when a kind of flush last happened and whether the next one is scheduled.
type flushTimer struct {
	lastAt    time.Time
	scheduled bool
}

const (
	// minFlushInterval is the minimum time between two flushes to single daemons. Without it,
	// each of many simultaneous updates would be sent in a heartbeat of its own.
	minFlushInterval = 25 * time.Millisecond
	// minNeighboursInterval is the minimum time between two flushes to all neighbours. It is
	// longer because the updates of a fleet that starts come from all neighbours at once: the
	// messages of a daemon would grow with the fleet.
	minNeighboursInterval = 200 * time.Millisecond
)

// Flush sends a heartbeat to the neighbours soon, for updates that should not wait for the
// next regular one. It leaves out other connections: a daemon that many others call has
// hundreds of them, and their peers receive the updates from their own neighbours.
func (e *Endpoint) Flush() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.scheduleFlush(&e.flush.toNeighbours, minNeighboursInterval, func() { e.wakeConnections(e.isNeighbour) })
}

// FlushTo sends a heartbeat to the named daemons soon.
func (e *Endpoint) FlushTo(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range names {
		e.flush.peers[n] = true
	}
	e.scheduleFlush(&e.flush.toPeers, minFlushInterval, func() {
		e.wakeConnections(func(name string) bool { return e.flush.peers[name] })
		clear(e.flush.peers)
	})
}

// scheduleFlush calls flush at once, or once interval has passed since the last call. The caller
// holds mu.
func (e *Endpoint) scheduleFlush(t *flushTimer, interval time.Duration, flush func()) {
	if t.scheduled || e.closed {
		return
	}
	wait := interval - e.clock.Since(t.lastAt)
	if wait <= 0 {
		t.lastAt = e.clock.Now()
		flush()
		return
	}
	t.scheduled = true
	e.clock.AfterFunc(wait, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		t.lastAt, t.scheduled = e.clock.Now(), false
		flush()
	})
}

// wakeConnections makes the connections to the daemons that match send a heartbeat. The caller
// holds mu.
func (e *Endpoint) wakeConnections(match func(name string) bool) {
	for name, cs := range e.connections {
		if !match(name) {
			continue
		}
		for _, c := range cs {
			c.wake()
		}
	}
}

// isNeighbour reports whether the connection to a daemon stays open without calls. Before
// the first SetNeighbours, all daemons count as neighbours. The caller holds mu.
func (e *Endpoint) isNeighbour(name string) bool {
	return e.neighbours == nil || e.neighbours[name]
}
