// Package http1 is an HTTP/1.1 client that sends requests to targets and never retries
// one by itself. It is the client of package gate; packages engine and service use package send.
package http1

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"golang.org/x/sys/unix"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/duplex"
)

const (
	// maxIdleTime is how long an idle connection is kept. Targets commonly close idle
	// connections after 5 s at the earliest.
	maxIdleTime = 4 * time.Second
	// maxIdlePerTarget is how many idle connections are kept per target. A target's
	// batch is about five, and other daemons also keep connections to it.
	maxIdlePerTarget = 6
	// readBufferSize is enough for the header of a response and some events.
	readBufferSize = 4 << 10
	// maxInlineBody is the size up to which a request body is written before the
	// response is read. The kernel buffers this much at once, so client and target
	// cannot block on writing to each other.
	maxInlineBody = 16 << 10
	// requestHeadSize is the initial buffer size for the request line and the header; it
	// is enough for most requests.
	requestHeadSize = 1 << 10
	// maxMismatched is how many responses are read in search of the one with the
	// request's id.
	maxMismatched = 3
	// maxMismatchedBody bounds the bodies of those that are read to their end, in bytes each. It is
	// enough for a late answer; more is cheaper to drop with its connection.
	maxMismatchedBody = 1 << 20
	// mismatchTimeout bounds the time for one of them. A late answer has usually arrived whole.
	mismatchTimeout = time.Second
)

// Client sends requests to targets and pools idle connections.
type Client struct {
	clock  clockwork.Clock
	dialer Dialer
	// idHeader is the name of the header that carries a request's id.
	idHeader string

	mu   sync.Mutex
	idle map[endpoint][]*conn
}

// endpoint identifies one incarnation of a target at an address. A connection to an
// earlier incarnation, or to another target that used the address before, is dead: a
// request written to it would be lost with an unknown outcome.
type endpoint struct {
	addr, identity string
}

func endpointOf(target fireflypath.Target) endpoint {
	return endpoint{addr: target.Addr, identity: target.Identity()}
}

// New returns a client without connections. idHeader is the name of the header that
// carries a request's id.
func New(clock clockwork.Clock, idHeader string, dialer Dialer) *Client {
	return &Client{clock: clock, dialer: dialer, idHeader: idHeader, idle: map[endpoint][]*conn{}}
}

// ErrPathLost marks the loss of a connection that says nothing about its target, because the path to
// it was lost or led through another daemon.
var ErrPathLost = errors.New("path to the target was lost")

// errEnded marks the loss of a connection whose other end closed or reset it. It marks nothing that
// went through another daemon.
var errEnded = errors.New("connection was ended by the other end")

// ConnectionLost reports whether err says that the target closed or reset the connection
// while it ran a request, or that its host stopped responding. The end of a connection proves that the
// path to the target worked, also if this daemon otherwise seems to have lost its paths: a request
// that crashes targets ends several in a row.
func ConnectionLost(err error) bool {
	return isLoss(err) && (errors.Is(err, errEnded) || !errors.Is(err, ErrPathLost))
}

// isLoss reports whether err says that a connection was closed or reset while it carried a request.
func isLoss(err error) bool {
	if errors.Is(err, fireflypath.ErrUnsent) || errors.Is(err, fireflypath.ErrRequestMismatch) {
		return false
	}
	for _, lost := range []error{io.EOF, io.ErrUnexpectedEOF, unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT} {
		if errors.Is(err, lost) {
			return true
		}
	}
	return false
}

// Request is a request to a target.
type Request struct {
	ID     string
	Method string
	// URI is the path and query exactly as the caller sent them.
	URI  string
	Host string
	// Header holds the header fields to send, without Host and Content-Length.
	Header http.Header
	Body   []byte
	// HasBody is true if the caller sent a body, even an empty one.
	HasBody bool
}

// Send writes the request once and reads the header of the response. The error is marked
// with fireflypath.ErrUnsent if no byte was sent, and also with
// fireflypath.ErrUnreachable if the target accepted no connection. After any other error
// it is not known whether the request ran.
func (c *Client) Send(ctx context.Context, target fireflypath.Target, req *Request) (*Response, error) {
	ep := endpointOf(target)
	cn, err := c.acquire(ctx, ep, target, req.ID)
	if err != nil {
		return nil, err
	}
	resp := &Response{client: c, endpoint: ep, target: target, conn: cn}
	resp.stopWatch = context.AfterFunc(ctx, func() { cn.Close() })
	cn.recordID(req.ID)
	writtenBefore := cn.written.Load()
	if err := resp.write(req); err != nil {
		sent := cn.written.Load() != writtenBefore
		resp.Close()
		if !sent {
			return nil, errors.Mark(err, fireflypath.ErrUnsent)
		}
		return nil, errors.Wrap(resp.reportLoss(err), "write request")
	}
	if err := resp.readHeader(req); err != nil {
		resp.Close()
		return nil, errors.Wrap(resp.reportLoss(err), "read answer header")
	}
	c.dialer.ReportAnswer(cn.Conn)
	return resp, nil
}

// acquire returns an idle connection that is not stale and has not carried a request with the id, or a
// new one.
func (c *Client) acquire(ctx context.Context, ep endpoint, target fireflypath.Target, id string) (*conn, error) {
	now := c.clock.Now()
	for {
		cn := c.pop(ep, id)
		if cn == nil {
			return c.dial(ctx, target)
		}
		if now.Sub(cn.idleSince) < maxIdleTime && c.dialer.Trusted(cn.Conn, target, cn.idleSince) && !cn.stale(now) {
			return cn, nil
		}
		cn.Close()
	}
}

func (c *Client) dial(ctx context.Context, target fireflypath.Target) (*conn, error) {
	nc, err := c.dialer.Dial(ctx, target)
	if err != nil {
		return nil, err
	}
	raw, err := nc.SyscallConn()
	if err != nil {
		nc.Close()
		return nil, errors.Mark(err, fireflypath.ErrUnsent)
	}
	both := duplex.New(nc)
	head := &headReader{conn: both, clock: c.clock}
	return &conn{Conn: nc, duplex: both, raw: raw, head: head, reader: bufio.NewReaderSize(head, readBufferSize)}, nil
}

// pop removes and returns the connection that became idle last, of those that have not carried a request
// with the id.
func (c *Client) pop(ep endpoint, id string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[ep]
	for i := len(conns) - 1; i >= 0; i-- {
		if cn := conns[i]; !cn.hasCarried(id) {
			c.idle[ep] = slices.Delete(conns, i, i+1)
			return cn
		}
	}
	return nil
}

func (c *Client) push(ep endpoint, cn *conn) {
	cn.idleSince = c.clock.Now()
	c.mu.Lock()
	conns := c.idle[ep]
	if len(conns) < maxIdlePerTarget {
		c.idle[ep] = append(conns, cn)
		cn = nil
	}
	c.mu.Unlock()
	if cn != nil {
		cn.Close()
	}
}

// Sweep closes the connections that have been idle for maxIdleTime, and those to
// endpoints that are not among the targets.
func (c *Client) Sweep(targets []fireflypath.Target) {
	current := make(map[endpoint]bool, len(targets))
	for _, t := range targets {
		current[endpointOf(t)] = true
	}
	now := c.clock.Now()
	var unused []*conn
	c.mu.Lock()
	for ep, conns := range c.idle {
		kept := conns[:0]
		for _, cn := range conns {
			if !current[ep] || now.Sub(cn.idleSince) >= maxIdleTime {
				unused = append(unused, cn)
				continue
			}
			kept = append(kept, cn)
		}
		c.idle[ep] = kept
		if len(kept) == 0 {
			delete(c.idle, ep)
		}
	}
	c.mu.Unlock()
	for _, cn := range unused {
		cn.Close()
	}
}

// keepAliveDeadline returns until when an idle connection may be used if the response
// announced a Keep-Alive timeout, or zero. A tenth of the timeout and another 50 ms are
// left for the transmission.
func keepAliveDeadline(h http.Header, now time.Time) time.Time {
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
