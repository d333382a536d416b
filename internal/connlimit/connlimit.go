// Package connlimit bounds the connections that a listener has open. When there are as many as allowed, it
// closes one that carries no request.
package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// excessFraction is how many connections above the limit are accepted, as a fraction of it, while all others
// carry requests. They are there to be refused with an answer.
const excessFraction = 1.0 / 16

// Listener accepts TCP connections and closes the least recently used one that carries no request when it
// has more than its limit.
//
// Without it, clients that open connections and send nothing, or never finish what they send, take all
// descriptors: the daemon accepts nobody any more, cannot connect to targets, and seems to be ready.
type Listener struct {
	net.Listener
	limit, excess int
	clock         clockwork.Clock

	mu    sync.Mutex
	conns map[*Conn]struct{}
}

// New wraps a TCP listener.
func New(ln net.Listener, limit int, clock clockwork.Clock) *Listener {
	return &Listener{
		Listener: ln, limit: limit, excess: 1 + int(excessFraction*float64(limit)), clock: clock, conns: map[*Conn]struct{}{},
	}
}

// Accept waits for the next connection that the listener has room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		tcp, ok := nc.(*net.TCPConn)
		if !ok {
			return nc, nil // not a socket that a stranger can open
		}
		if c := l.add(tcp); c != nil {
			return c, nil
		}
		nc.Close()
	}
}

// add tracks a connection. It returns nil if there is no room.
func (l *Listener) add(tcp *net.TCPConn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &Conn{TCPConn: tcp, listener: l}
	c.used.Store(l.clock.Now().UnixNano())
	if len(l.conns) >= l.limit && !l.evictOldest() {
		if len(l.conns) >= l.limit+l.excess {
			return nil
		}
		c.excess = true
	}
	l.conns[c] = struct{}{}
	return c
}

// evictOldest closes the connection without a request that has been used least recently. It reports false
// if all carry requests. The caller holds mu.
func (l *Listener) evictOldest() bool {
	var oldest *Conn
	for c := range l.conns {
		if c.state.Load() != stateBusy && (oldest == nil || c.used.Load() < oldest.used.Load()) {
			oldest = c
		}
	}
	return oldest != nil && l.evict(oldest)
}

// evict closes a connection unless a request has come meanwhile. The caller holds mu.
func (l *Listener) evict(c *Conn) bool {
	if !c.state.CompareAndSwap(stateIdle, stateClosed) && !c.state.CompareAndSwap(stateReceiving, stateClosed) {
		return false
	}
	delete(l.conns, c)
	_ = c.TCPConn.Close() // an error means that it is closed already
	return true
}

// CloseIdle closes the connections that have been idle for longer than the given time.
func (l *Listener) CloseIdle(limit time.Duration) {
	before := l.clock.Now().Add(-limit).UnixNano()
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.state.Load() == stateIdle && c.used.Load() < before {
			l.evict(c)
		}
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// States of a connection.
const (
	// stateIdle means that no byte of a request has arrived, stateReceiving that a part of one has.
	stateIdle int32 = iota
	stateReceiving
	// stateBusy means that a whole request has arrived and is not answered yet.
	stateBusy
	// stateClosed means that the listener has closed the connection.
	stateClosed
)

// Conn is a connection that its listener may close while it carries no whole request. The methods that set
// its state do nothing on a nil Conn.
type Conn struct {
	*net.TCPConn
	listener *Listener
	state    atomic.Int32
	// used is when the state last changed or bytes made progress, in Unix nanoseconds.
	used atomic.Int64
	// excess is true for a connection above the limit.
	excess bool
}

// From returns the tracked connection that c is or that it encrypts, or nil.
func From(c net.Conn) *Conn {
	if t, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = t.NetConn()
	}
	tracked, _ := c.(*Conn)
	return tracked
}

// Excess reports whether the connection is above the limit, so that its request has to be refused.
func (c *Conn) Excess() bool { return c != nil && c.excess }

// SetIdle records that the connection waits for a request.
func (c *Conn) SetIdle() { c.set(stateIdle) }

// SetReceiving records that a part of a request has arrived.
func (c *Conn) SetReceiving() { c.set(stateReceiving) }

// SetBusy records that a whole request has arrived. It reports false if the listener has closed the
// connection: its caller has to take the request as one that was not read.
func (c *Conn) SetBusy() bool {
	c.set(stateBusy)
	return c == nil || c.state.Load() == stateBusy
}

// set changes the state, unless the listener has closed the connection.
func (c *Conn) set(state int32) {
	if c == nil {
		return
	}
	c.Touch()
	for old := c.state.Load(); old != stateClosed && !c.state.CompareAndSwap(old, state); {
		old = c.state.Load()
	}
}

// Touch records that bytes have made progress.
func (c *Conn) Touch() {
	if c != nil {
		c.used.Store(c.listener.clock.Now().UnixNano())
	}
}

// Close closes the connection and makes room for another one.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.TCPConn.Close()
}
