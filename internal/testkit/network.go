package testkit

import (
	"context"
	"io"
	"maps"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

var errRefused = errors.New("connection refused")

// Network connects daemons in memory. The link between two hosts can be cut in one
// or both directions, and open connections can be made to lose all further data.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[link]bool
	conns     map[*conn]bool
	paused    map[string]chan struct{}
	// Bytes is the number of bytes written by all hosts.
	Bytes atomic.Int64
	// sent holds the number of bytes that each host has written.
	sent map[string]int64
}

type link struct{ from, to string }

// NewNetwork returns a network without hosts.
func NewNetwork() *Network {
	return &Network{
		listeners: map[string]*listener{}, cut: map[link]bool{},
		conns: map[*conn]bool{}, paused: map[string]chan struct{}{}, sent: map[string]int64{},
	}
}

// Sent returns the number of bytes that each host has written.
func (n *Network) Sent() map[string]int64 {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.sent)
}

func (n *Network) countSent(host string, bytes int) {
	n.Bytes.Add(int64(bytes))
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sent[host] += int64(bytes)
}

// Host returns the network as seen by one host; addresses are "host:port".
func (n *Network) Host(name string) fireflypath.Network { return &host{n: n, name: name} }

// Cut drops everything sent from one host to another. A connection that lost data
// stays unusable in that direction, also after Heal, because nothing is sent again.
func (n *Network) Cut(from, to string) { n.setCut(from, to, true) }

// CutBoth cuts the link in both directions.
func (n *Network) CutBoth(a, b string) { n.Cut(a, b); n.Cut(b, a) }

// Heal reverts Cut. Connections that lost data meanwhile stay unusable.
func (n *Network) Heal(from, to string) { n.setCut(from, to, false) }

// HealBoth reverts CutBoth.
func (n *Network) HealBoth(a, b string) { n.Heal(a, b); n.Heal(b, a) }

func (n *Network) setCut(from, to string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{from, to}] = cut
}

// Silence permanently drops what the open connections carry from one host to
// another. Connections opened later are not affected.
func (n *Network) Silence(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from == from && c.to == to {
			c.discardWrites.Store(true)
		}
	}
}

// Kill simulates the end of a host's process: its connections are closed and dials
// to it are refused.
func (n *Network) Kill(name string) {
	n.mu.Lock()
	var broken []*conn
	for c := range n.conns {
		if c.from == name || c.to == name {
			broken = append(broken, c)
		}
	}
	for a, l := range n.listeners {
		if l.host == name {
			delete(n.listeners, a)
			l.stop()
		}
	}
	n.mu.Unlock()
	for _, c := range broken {
		_ = c.Close()
	}
}

// Pause stops a host from reading and accepting, like a process stopped by SIGSTOP
// whose kernel still acknowledges data. After Resume the host reads what arrived
// meanwhile. The caller has to stop the host's clock as well.
func (n *Network) Pause(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.paused[name] = make(chan struct{})
}

// Resume reverts Pause.
func (n *Network) Resume(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.paused[name])
	delete(n.paused, name)
}

// waitWhilePaused blocks while a host is paused.
func (n *Network) waitWhilePaused(name string) {
	n.mu.Lock()
	ch := n.paused[name]
	n.mu.Unlock()
	if ch != nil {
		<-ch
	}
}

func (n *Network) isCut(from, to string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[link{from, to}]
}

type host struct {
	n    *Network
	name string
}

type listener struct {
	n        *Network
	host     string
	addr     addr
	accepted chan net.Conn
	done     chan struct{}
	once     sync.Once
}

type addr string

func (a addr) Network() string { return "mem" }
func (a addr) String() string  { return string(a) }

// Listen accepts an address of any form; connections to it belong to this host.
func (h *host) Listen(a string) (net.Listener, error) {
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.n.listeners[a] != nil {
		return nil, errors.Newf("address %s in use", a)
	}
	l := &listener{n: h.n, host: h.name, addr: addr(a), accepted: make(chan net.Conn), done: make(chan struct{})}
	h.n.listeners[a] = l
	return l, nil
}

func (l *listener) stop()          { l.once.Do(func() { close(l.done) }) }
func (l *listener) Addr() net.Addr { return l.addr }

func (l *listener) Close() error {
	l.n.mu.Lock()
	defer l.n.mu.Unlock()
	if l.n.listeners[string(l.addr)] == l {
		delete(l.n.listeners, string(l.addr))
	}
	l.stop()
	return nil
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accepted:
		l.n.waitWhilePaused(l.host)
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Dial connects to an address. It fails if nothing listens there, and blocks until
// ctx is done if the link is cut.
func (h *host) Dial(ctx context.Context, a string) (net.Conn, error) {
	h.n.mu.Lock()
	l := h.n.listeners[a]
	h.n.mu.Unlock()
	if l == nil {
		return nil, errRefused
	}
	if h.n.isCut(h.name, l.host) || h.n.isCut(l.host, h.name) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	toListener, toDialer := newPipe(), newPipe()
	dialed := &conn{n: h.n, from: h.name, to: l.host, r: toDialer, w: toListener, remote: addr(a)}
	accepted := &conn{n: h.n, from: l.host, to: h.name, r: toListener, w: toDialer, remote: addr(h.name)}
	h.n.mu.Lock()
	h.n.conns[dialed], h.n.conns[accepted] = true, true
	h.n.mu.Unlock()
	select {
	case l.accepted <- accepted:
		return dialed, nil
	case <-l.done:
		return nil, errRefused
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// pipe is one direction of a connection with an unbounded buffer, so that writes
// return at once, as with a kernel's socket buffer.
type pipe struct {
	mu      sync.Mutex
	buf     []byte
	closed  bool
	changed chan struct{}
}

func newPipe() *pipe { return &pipe{changed: make(chan struct{})} }

func (p *pipe) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

type conn struct {
	n             *Network
	from, to      string
	r, w          *pipe
	remote        addr
	discardWrites atomic.Bool
	mu            sync.Mutex
	deadline      time.Time
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		c.n.waitWhilePaused(c.from)
		c.r.mu.Lock()
		if len(c.r.buf) > 0 {
			n := copy(b, c.r.buf)
			c.r.buf = c.r.buf[n:]
			c.r.mu.Unlock()
			return n, nil
		}
		closed, changed := c.r.closed, c.r.changed
		c.r.mu.Unlock()
		if closed {
			return 0, io.EOF
		}
		c.mu.Lock()
		d := c.deadline
		c.mu.Unlock()
		if d.IsZero() {
			<-changed
			continue
		}
		t := time.NewTimer(time.Until(d))
		select {
		case <-changed:
			t.Stop()
		case <-t.C:
			return 0, os.ErrDeadlineExceeded
		}
	}
}

func (c *conn) Write(b []byte) (int, error) {
	if c.n.isCut(c.from, c.to) {
		c.discardWrites.Store(true)
	}
	c.w.mu.Lock()
	defer c.w.mu.Unlock()
	if c.w.closed {
		return 0, io.ErrClosedPipe
	}
	c.n.countSent(c.from, len(b))
	if !c.discardWrites.Load() {
		c.w.buf = append(c.w.buf, b...)
		c.w.notify()
	}
	return len(b), nil
}

// Close closes this end. The other end sees it unless the direction to it is cut or silenced.
func (c *conn) Close() error {
	c.n.mu.Lock()
	delete(c.n.conns, c)
	delivered := !c.discardWrites.Load() && !c.n.cut[link{c.from, c.to}]
	c.n.mu.Unlock()
	c.r.mu.Lock()
	c.r.closed = true
	c.r.notify()
	c.r.mu.Unlock()
	if delivered {
		c.w.mu.Lock()
		c.w.closed = true
		c.w.notify()
		c.w.mu.Unlock()
	}
	return nil
}

func (c *conn) LocalAddr() net.Addr              { return addr(c.from) }
func (c *conn) RemoteAddr() net.Addr             { return c.remote }
func (c *conn) SetDeadline(t time.Time) error    { return c.SetReadDeadline(t) }
func (c *conn) SetWriteDeadline(time.Time) error { return nil }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	c.deadline = t
	c.mu.Unlock()
	c.r.mu.Lock()
	c.r.notify()
	c.r.mu.Unlock()
	return nil
}
