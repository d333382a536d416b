// Package door is a listener that knows its connections.
package door

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// stall bounds a write that makes no progress: a caller that reads nothing for
// so long is gone, and holds a target's answer open.
const stall = 60 * time.Second

const (
	// lingerTime bounds reading what a refused caller still sends: a MiB takes
	// a second at the 10 Mbit/s of a slow line.
	lingerTime = 2 * time.Second
	// lingerBuffer is the memory for it.
	lingerBuffer = 4 << 10
)

// Listener accepts at most a number of connections at once.
type Listener struct {
	net.Listener
	limit  int
	refuse func(net.Conn)

	mu     sync.Mutex
	conns  map[*conn]struct{}
	killed bool
}

// New wraps the listener. A connection above the limit is given to refuse,
// which answers and closes it; a limit of 0 means none.
func New(ln net.Listener, limit int, refuse func(net.Conn)) *Listener {
	return &Listener{Listener: ln, limit: limit, refuse: refuse, conns: map[*conn]struct{}{}}
}

// Accept waits for the next connection below the limit.
func (d *Listener) Accept() (net.Conn, error) {
	for {
		c, err := d.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if t, ok := d.admit(c); ok {
			return t, nil
		}
	}
}

func (d *Listener) admit(c net.Conn) (net.Conn, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.killed {
		c.Close()
		return nil, false
	}
	if d.limit > 0 && len(d.conns) >= d.limit {
		go d.refuse(c)
		return nil, false
	}
	t := &conn{Conn: c, door: d, raw: socket(c)}
	d.conns[t] = struct{}{}
	return t, true
}

// socket finds the socket below TLS, or nil. Without it a caller's leaving is
// noticed later, at a write.
func socket(c net.Conn) syscall.RawConn {
	s, ok := below(c).(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}

// below is the connection that TLS runs over, or the connection itself.
func below(c net.Conn) net.Conn {
	if l, ok := c.(interface{ NetConn() net.Conn }); ok {
		return l.NetConn()
	}
	return c
}

// OpenConns is the number of open connections.
func (d *Listener) OpenConns() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.conns)
}

// Kill closes the listener and all connections at once.
func (d *Listener) Kill() error {
	err := d.Close()
	if errors.Is(err, net.ErrClosed) {
		err = nil
	}
	d.mu.Lock()
	d.killed = true
	conns := make([]*conn, 0, len(d.conns))
	for c := range d.conns {
		conns = append(conns, c)
	}
	d.mu.Unlock()
	for _, c := range conns {
		c.abort()
	}
	return errors.Wrap(err, "close listener")
}

func (d *Listener) remove(c *conn) {
	d.mu.Lock()
	delete(d.conns, c)
	d.mu.Unlock()
}

// conn leaves the door's count when it closes.
type conn struct {
	net.Conn
	door  *Listener
	once  sync.Once
	raw   syscall.RawConn
	armed time.Time
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
	if now := time.Now(); now.Sub(c.armed) > stall/4 {
		c.armed = now
		if err := c.SetWriteDeadline(now.Add(stall)); err != nil {
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
	if !ok || t.CloseWrite() != nil || c.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
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
	c.once.Do(func() { c.door.remove(c) })
	return c.Conn.Close()
}

// abort ends the connection without sending what is buffered, like a process
// that died.
func (c *conn) abort() {
	c.linger.Store(false)
	if t, ok := below(c.Conn).(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
