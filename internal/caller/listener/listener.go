// Package listener wraps a net.Listener. It limits and tracks the open connections.
package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// writeTimeout bounds a write that makes no progress. A caller that reads nothing for this
// long is considered gone; until then it keeps a target's response open.
const writeTimeout = 60 * time.Second

const (
	// lingerTimeout bounds reading the remaining input of a refused caller. A MiB takes a
	// second on a slow line of 10 Mbit/s.
	lingerTimeout = 2 * time.Second
	// lingerBuffer is the size of the buffer that this input is read into.
	lingerBuffer = 4 << 10
)

// Listener limits the number of connections that are open at the same time.
type Listener struct {
	net.Listener
	limit  int
	reject func(net.Conn)

	mu     sync.Mutex
	conns  map[*conn]struct{}
	killed bool
}

// New wraps a listener. Connections above the limit are passed to reject, which responds and
// closes them. A limit of 0 means that connections are not limited.
func New(ln net.Listener, limit int, reject func(net.Conn)) *Listener {
	return &Listener{Listener: ln, limit: limit, reject: reject, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection that is within the limit.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tracked, ok := l.track(c); ok {
			return tracked, nil
		}
	}
}

func (l *Listener) track(c net.Conn) (net.Conn, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.killed {
		c.Close()
		return nil, false
	}
	if l.limit > 0 && len(l.conns) >= l.limit {
		go l.reject(c)
		return nil, false
	}
	tracked := &conn{Conn: c, listener: l, raw: rawConn(c)}
	l.conns[tracked] = struct{}{}
	return tracked, true
}

// rawConn returns the socket of a connection, also of one with TLS, or nil if there is none.
// Without a socket, a disconnect is only noticed when a write fails.
func rawConn(c net.Conn) syscall.RawConn {
	s, ok := underlying(c).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// underlying returns the connection that TLS runs over, or the connection itself.
func underlying(c net.Conn) net.Conn {
	if l, ok := c.(interface{ NetConn() net.Conn }); ok {
		return l.NetConn()
	}
	return c
}

// OpenConns returns the number of open connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Kill closes the listener and all connections without waiting for requests in progress.
func (l *Listener) Kill() error {
	err := l.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	l.mu.Lock()
	l.killed = true
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	l.mu.Unlock()
	for _, c := range conns {
		c.abort()
	}
	return errors.Wrap(err, "close listener")
}

func (l *Listener) remove(c *conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// conn is a connection that its listener tracks until it is closed.
type conn struct {
	net.Conn
	listener *Listener
	once     sync.Once
	raw      syscall.RawConn
	// deadlineSet is when the write deadline was last set.
	deadlineSet time.Time
	// linger is true if Close must first read the remaining input.
	linger atomic.Bool
}

// Raw returns the socket, or nil if there is none.
func (c *conn) Raw() syscall.RawConn {
	return c.raw
}

// Write fails if the caller accepts no bytes for about writeTimeout. The deadline is not
// extended with each write, because setting it costs more than a small write.
func (c *conn) Write(b []byte) (int, error) {
	if now := time.Now(); now.Sub(c.deadlineSet) > writeTimeout/4 {
		c.deadlineSet = now
		if err := c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Linger makes Close read the remaining input first, for a bounded time. Closing a connection
// with unread input resets it, and the caller can lose the response that was sent.
func (c *conn) Linger() {
	c.linger.Store(true)
}

// drain closes the sending side and reads until the caller closes its side.
func (c *conn) drain() {
	t, ok := c.Conn.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	buf := make([]byte, lingerBuffer)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// Close closes the connection and stops tracking it.
func (c *conn) Close() error {
	if c.linger.Swap(false) {
		c.drain()
	}
	c.once.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

// abort resets the connection and discards buffered output, to simulate the death of the
// process.
func (c *conn) abort() {
	c.linger.Store(false)
	if t, ok := underlying(c.Conn).(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
