// Package door is a listener that knows its connections.
package listener

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// writeTimeout bounds a write that makes no progress: a caller that reads nothing for
// so long is gone, and holds a target's answer open.
const writeTimeout = 60 * time.Second

const (
	// lingerTimeout bounds reading what a refused caller still sends: a MiB takes
	// a second at the 10 Mbit/s of a slow line.
	lingerTimeout = 2 * time.Second
	// lingerBuffer is the memory for it.
	lingerBuffer = 4 << 10
)

// Listener accepts at most a number of connections at once.
type Listener struct {
	net.Listener
	limit  int
	reject func(net.Conn)

	mu     sync.Mutex
	conns  map[*conn]struct{}
	killed bool
}

// New wraps the listener. A connection above the limit is given to refuse,
// which answers and closes it; a limit of 0 means none.
func New(ln net.Listener, limit int, reject func(net.Conn)) *Listener {
	return &Listener{Listener: ln, limit: limit, reject: reject, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection below the limit.
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

// rawConn finds the socket below TLS, or nil. Without it a caller's leaving is
// noticed later, at a write.
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

// underlying is the connection that TLS runs over, or the connection itself.
func underlying(c net.Conn) net.Conn {
	if l, ok := c.(interface{ NetConn() net.Conn }); ok {
		return l.NetConn()
	}
	return c
}

// OpenConns is the number of open connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// Kill closes the listener and all connections at once.
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

// conn leaves the door's count when it closes.
type conn struct {
	net.Conn
	listener    *Listener
	once        sync.Once
	raw         syscall.RawConn
	deadlineSet time.Time
	// linger is true if the other side may still send when this one closes.
	linger atomic.Bool
}

// Raw is the socket.
func (c *conn) Raw() syscall.RawConn {
	return c.raw
}

// Write fails if the other side takes nothing for long. The deadline is moved
// only now and then: setting it costs more than a small write.
func (c *conn) Write(b []byte) (int, error) {
	if now := time.Now(); now.Sub(c.deadlineSet) > writeTimeout/4 {
		c.deadlineSet = now
		if err := c.SetWriteDeadline(now.Add(writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Linger lets Close read what still comes first, for a bounded time. Closing
// with bytes unread resets the connection, and the other side can lose the
// answer that it was sent.
func (c *conn) Linger() {
	c.linger.Store(true)
}

// drain ends the sending side and reads until the other side does the same.
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

// Close leaves the count.
func (c *conn) Close() error {
	if c.linger.Swap(false) {
		c.drain()
	}
	c.once.Do(func() { c.listener.remove(c) })
	return c.Conn.Close()
}

// abort ends the connection without sending what is buffered, like a process
// that died.
func (c *conn) abort() {
	c.linger.Store(false)
	if t, ok := underlying(c.Conn).(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
