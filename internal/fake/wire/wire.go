// Package wire is a listener whose connections can be refused, dropped and silenced.
package wire

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Listener accepts connections and keeps track of them, so that a stand-in can
// show the faults of a network without root rights.
type Listener struct {
	addr net.Addr

	mu       sync.Mutex
	listener net.Listener
	resumed  chan struct{} // closed when inner is usable again, or for good
	closed   bool
	conns    map[*conn]struct{}
}

// Listen opens the address; port 0 takes a free one and keeps it.
func Listen(addr string) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	return &Listener{addr: ln.Addr(), listener: ln, conns: make(map[*conn]struct{})}, nil
}

// Addr is the address, also while it refuses.
func (l *Listener) Addr() net.Addr {
	return l.addr
}

// Accept waits while the listener refuses and fails only after Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		ln, back, closed := l.state()
		if closed {
			return nil, net.ErrClosed
		}
		if ln == nil {
			<-back
			continue
		}
		c, err := ln.Accept()
		if err == nil {
			return l.track(c), nil
		}
		if l.isServing(ln) {
			return nil, err
		}
	}
}

func (l *Listener) state() (net.Listener, chan struct{}, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener, l.resumed, l.closed
}

func (l *Listener) isServing(ln net.Listener) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.listener == ln && !l.closed
}

func (l *Listener) track(c net.Conn) net.Conn {
	t := &conn{Conn: c, tracker: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		c.Close()
	}
	l.conns[t] = struct{}{}
	return t
}

// Refuse makes dials fail; open connections stay.
func (l *Listener) Refuse() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener == nil || l.closed {
		return
	}
	l.listener.Close()
	l.listener = nil
	l.resumed = make(chan struct{})
}

// Resume takes Refuse back.
func (l *Listener) Resume() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil || l.closed {
		return nil
	}
	ln, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		return errors.Wrapf(err, "listen again on %s", l.addr)
	}
	l.listener = ln
	close(l.resumed)
	return nil
}

// Silence stops the traffic of the connections open now, for good: writes seem
// to succeed, nothing arrives, nothing is closed. New connections work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// CloseConnections closes the connections open now.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Conn.Close()
	}
}

// Close ends the listener and all its connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return nil
	}
	l.closed = true
	if l.listener != nil {
		l.listener.Close()
	} else {
		close(l.resumed)
	}
	l.mu.Unlock()
	l.CloseConnections()
	return nil
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	tracker *Listener
	silent  atomic.Bool
}

// Read throws away what arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write pretends to succeed on a silent connection.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close leaves a silent connection open until the listener ends: the other
// side of a lost connection is not told either.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// CloseConnection closes a request's connection without an answer.
func CloseConnection(r *fasthttp.RequestCtx) {
	r.HijackSetNoResponse(true)
	r.Hijack(func(c net.Conn) { c.Close() })
}

// DiscardLogger drops what a server logs: broken connections are what stand-ins are for.
type DiscardLogger struct{}

// Printf implements fasthttp.Logger.
func (DiscardLogger) Printf(string, ...any) {}
