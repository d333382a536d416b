// Package wire provides a TCP listener that can refuse, close and silence connections.
package wire

import (
	"net"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// Listener tracks its connections, so that a fake can simulate network faults
// without root privileges.
type Listener struct {
	addr net.Addr

	mu       sync.Mutex
	listener net.Listener
	resumed  chan struct{} // closed when the listener accepts again or is closed
	closed   bool
	conns    map[*conn]struct{}
}

// Listen opens the address. Port 0 selects a free port, which Resume reuses.
func Listen(addr string) (*Listener, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", addr)
	}
	return &Listener{addr: ln.Addr(), listener: ln, conns: make(map[*conn]struct{})}, nil
}

// Addr returns the address, also while the listener refuses connections.
func (l *Listener) Addr() net.Addr {
	return l.addr
}

// Accept returns the next connection. While the listener refuses connections it
// blocks until Resume or Close.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		ln, resumed, closed := l.state()
		if closed {
			return nil, net.ErrClosed
		}
		if ln == nil {
			<-resumed
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

// Refuse makes dials fail; open connections are kept.
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

// Resume reverts Refuse.
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

// Silence permanently stops the traffic of the open connections: writes seem to
// succeed, nothing arrives and nothing is closed. New connections work.
func (l *Listener) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silent.Store(true)
	}
}

// CloseConnections closes the open connections.
func (l *Listener) CloseConnections() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.Conn.Close()
	}
}

// Close closes the listener and all its connections.
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

// Read discards what arrives on a silent connection.
func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write discards the data of a silent connection and reports success.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close leaves a silent connection open until the listener is closed, because the peer
// of a lost connection does not see it close either.
func (c *conn) Close() error {
	if c.silent.Load() {
		return nil
	}
	c.tracker.mu.Lock()
	delete(c.tracker.conns, c)
	c.tracker.mu.Unlock()
	return c.Conn.Close()
}

// CloseConnection closes a request's connection without a response.
func CloseConnection(r *fasthttp.RequestCtx) {
	r.HijackSetNoResponse(true)
	r.Hijack(func(c net.Conn) { c.Close() })
}

// DiscardLogger discards the server's log: the fakes break connections on purpose.
type DiscardLogger struct{}

// Printf implements fasthttp.Logger.
func (DiscardLogger) Printf(string, ...any) {}
