// Package http1 gives requests to targets over HTTP/1.1, each at most once per call.
package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/fireflypath/fireflypath"
)

const (
	// dialTimeout bounds a new connection. Targets are a few milliseconds away;
	// a target whose host is gone takes none, and the request goes elsewhere.
	dialTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose bytes nobody acknowledges: a target
	// without power answers nothing, not even a reset.
	userTimeout = 2 * time.Second
	// probeIdle, probeEvery and probeCount find a connection that went silent
	// while a target works on a long answer.
	probeIdle  = time.Second
	probeEvery = time.Second
	probeCount = 2
	// maxIdle is how long an unused connection is kept; targets commonly close
	// theirs after 5 s at the earliest.
	maxIdle = 4 * time.Second
	// keepIdle is how many unused connections are kept to one target: its batch
	// is about five, and other daemons hold some too.
	keepIdle = 6
	// readBuffer holds an answer's header and some events.
	readBuffer = 4 << 10
	// whole is the size of a body that is written before the answer is read;
	// the kernel takes it at once, so that no target can be stuck on both.
	whole = 16 << 10
	// headSize holds most requests' headers.
	headSize = 1 << 10
	// maxCrossed bounds the answers of other requests that are read past.
	maxCrossed = 3
)

// Client keeps connections to targets.
type Client struct {
	clock clockwork.Clock
	// id is the name of the header that holds a request's id.
	id string

	mu   sync.Mutex
	idle map[peer][]*conn
}

// peer is one life of a target at an address. A connection to an earlier life, or
// to another target that had the address before, is dead: a request written to it
// would be lost with an unknown outcome.
type peer struct {
	addr, identity string
}

func peerOf(t fireflypath.Target) peer {
	return peer{addr: t.Addr, identity: t.Identity()}
}

// New returns a client without connections; id names the header of request ids.
func New(clock clockwork.Clock, id string) *Client {
	return &Client{clock: clock, id: id, idle: map[peer][]*conn{}}
}

// ConnectionLost is true for an error of a connection that the target ended while it ran a
// request, or whose host fell silent.
func ConnectionLost(err error) bool {
	if errors.Is(err, fireflypath.ErrUnsent) || errors.Is(err, fireflypath.ErrRequestMismatch) {
		return false
	}
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}

// Request is what is written to a target.
type Request struct {
	ID     string
	Method string
	// URI is the path and query as the caller wrote them.
	URI  string
	Host string
	// Header holds the lines to send; no Host, no framing.
	Header http.Header
	Body   []byte
	// HasBody is true if the caller sent a body, even an empty one.
	HasBody bool
}

// Send writes the request once and reads the answer's header. The error is
// fireflypath.ErrUnsent if no byte left, and fireflypath.ErrUnreached besides if
// the target took no connection; any other error leaves the outcome unknown.
func (c *Client) Send(ctx context.Context, t fireflypath.Target, r *Request) (*Response, error) {
	to := peerOf(t)
	k, err := c.acquire(ctx, to)
	if err != nil {
		return nil, err
	}
	a := &Response{client: c, peer: to, conn: k}
	a.stop = context.AfterFunc(ctx, func() { k.Close() })
	before := k.written.Load()
	if err := a.write(r); err != nil {
		sent := k.written.Load() != before
		a.Close()
		if !sent {
			return nil, errors.Mark(err, fireflypath.ErrUnsent)
		}
		return nil, errors.Wrap(err, "write request")
	}
	if err := a.readHeader(r); err != nil {
		a.Close()
		return nil, errors.Wrap(err, "read answer header")
	}
	return a, nil
}

// acquire takes an idle connection that is not stale, or dials.
func (c *Client) acquire(ctx context.Context, to peer) (*conn, error) {
	now := c.clock.Now()
	for {
		k := c.pop(to)
		if k == nil {
			return dial(ctx, to.addr)
		}
		if now.Sub(k.since) < maxIdle && !k.stale(now) {
			return k, nil
		}
		k.Close()
	}
}

func (c *Client) pop(from peer) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[from]
	if len(list) == 0 {
		return nil
	}
	k := list[len(list)-1]
	c.idle[from] = list[:len(list)-1]
	return k
}

func (c *Client) push(to peer, k *conn) {
	k.since = c.clock.Now()
	c.mu.Lock()
	list := c.idle[to]
	if len(list) < keepIdle {
		c.idle[to] = append(list, k)
		k = nil
	}
	c.mu.Unlock()
	if k != nil {
		k.Close()
	}
}

// Sweep closes the connections that were idle for long, and those to others than
// the targets.
func (c *Client) Sweep(targets []fireflypath.Target) {
	keep := make(map[peer]bool, len(targets))
	for _, t := range targets {
		keep[peerOf(t)] = true
	}
	now := c.clock.Now()
	var old []*conn
	c.mu.Lock()
	for to, list := range c.idle {
		rest := list[:0]
		for _, k := range list {
			if !keep[to] || now.Sub(k.since) >= maxIdle {
				old = append(old, k)
				continue
			}
			rest = append(rest, k)
		}
		c.idle[to] = rest
		if len(rest) == 0 {
			delete(c.idle, to)
		}
	}
	c.mu.Unlock()
	for _, k := range old {
		k.Close()
	}
}

func dial(ctx context.Context, addr string) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: probeIdle, Interval: probeEvery, Count: probeCount,
	}}
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		err = errors.Mark(err, fireflypath.ErrUnsent)
		if ctx.Err() == nil && unreached(err) {
			err = errors.Mark(err, fireflypath.ErrUnreachable)
		}
		return nil, err
	}
	raw, err := nc.(*net.TCPConn).SyscallConn()
	if err != nil {
		nc.Close()
		return nil, errors.Mark(err, fireflypath.ErrUnsent)
	}
	// Without it the connection works as well, only its end is found later.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return &conn{Conn: nc, raw: raw, reader: bufio.NewReaderSize(nc, readBuffer)}, nil
}

// unreached is true for errors of a dial that tell of the target or the way to
// it, not of want of descriptors here.
func unreached(err error) bool {
	var late net.Error
	return errors.As(err, &late) && late.Timeout() ||
		errors.IsAny(err, unix.ECONNREFUSED, unix.ECONNRESET, unix.EHOSTUNREACH, unix.ENETUNREACH)
}

// keepAlive is when a target that named a time in its answer closes the idle
// connection; a tenth of it and a little more is left for the way.
func keepAlive(h http.Header, now time.Time) time.Time {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !ok {
			continue
		}
		sec, err := strconv.Atoi(text)
		if err != nil || sec < 0 {
			continue
		}
		d := time.Duration(sec) * time.Second
		return now.Add(d - d/10 - 50*time.Millisecond)
	}
	return time.Time{}
}
