// Package send sends a request to a target at most once and reports in its errors whether
// the request may have run.
package send

import (
	"bufio"
	"context"
	"maps"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"github.com/fireflypath/fireflypath"
)

const (
	// dialTimeout allows for one lost SYN, which Linux retransmits after a second.
	// Targets are about a millisecond away.
	dialTimeout = 1500 * time.Millisecond
	// maxIdleTime is how long an idle connection is kept. Middleboxes drop idle
	// connections after minutes at the earliest, and targets commonly close them after
	// 5 s at the earliest.
	maxIdleTime = 4 * time.Second
	// maxConns bounds the connections to one target. The scheduler's window is far below.
	maxConns = 1 << 14
	// maxClients is the number of addresses above which those without connections are
	// removed. It is above the 2,700 targets that must be supported, of which 160
	// change their address per day.
	maxClients = 4096
	// writeTimeout bounds a write that makes no progress.
	writeTimeout = 30 * time.Second
	// maxHeader bounds the header of a response in bytes.
	maxHeader = 16 << 10
)

// Sender sends requests to targets and pools idle connections. It uses the connection pool
// of fasthttp's HostClient and none of its Do methods: those retry a request if a pooled
// connection turns out to be closed, although the target may have run the request.
type Sender struct {
	readTimeout time.Duration
	mu          sync.RWMutex
	clients     map[string]*fasthttp.HostClient
}

// New returns a Sender whose reads fail if no bytes arrive for readTimeout; 0 means no
// timeout.
func New(readTimeout time.Duration) *Sender {
	return &Sender{readTimeout: readTimeout, clients: map[string]*fasthttp.HostClient{}}
}

// Send writes the request once and reads the header of the response. The error is marked
// with fireflypath.ErrUnsent if no byte was sent. After any other error it is not known
// whether the request ran. If newConn is true, the request is sent on a new connection.
func (s *Sender) Send(ctx context.Context, addr string, req *fasthttp.Request, newConn bool) (*Exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, markUnsent(err)
	}
	x := &Exchange{client: s.client(addr), noBody: req.Header.IsHead()}
	if err := x.connect(addr, s.readTimeout, newConn); err != nil {
		return nil, markUnsent(err)
	}
	x.stopWatch = context.AfterFunc(ctx, func() { x.conn.Close() })
	if err := x.write(req); err != nil {
		sent := x.conn.written.Load() != x.writtenBefore
		x.Close()
		if !sent {
			return nil, markUnsent(err)
		}
		return nil, errors.Wrap(err, "write request")
	}
	if err := x.readHeader(); err != nil {
		x.Close()
		return nil, errors.Wrap(asTruncated(err), "read answer header")
	}
	return x, nil
}

// Close closes the idle connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.clients {
		h.CloseIdleConnections()
	}
}

func markUnsent(err error) error {
	return errors.Mark(err, fireflypath.ErrUnsent)
}

// markUnreachable marks an error of dialing with fireflypath.ErrUnreachable if the target or
// the network caused it.
func markUnreachable(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() ||
		errors.IsAny(err, unix.ECONNREFUSED, unix.ECONNRESET, unix.EHOSTUNREACH, unix.ENETUNREACH) {
		return errors.Mark(err, fireflypath.ErrUnreachable)
	}
	return err
}

func (s *Sender) client(addr string) *fasthttp.HostClient {
	s.mu.RLock()
	h := s.clients[addr]
	s.mu.RUnlock()
	if h != nil {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.clients) >= maxClients {
		maps.DeleteFunc(s.clients, func(_ string, h *fasthttp.HostClient) bool { return h.ConnsCount() == 0 })
	}
	if h = s.clients[addr]; h == nil {
		h = newClient(addr, s.readTimeout)
		s.clients[addr] = h
	}
	return h
}

func newClient(addr string, readTimeout time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                addr,
		MaxConns:            maxConns,
		MaxIdleConnDuration: maxIdleTime,
		ConnPoolStrategy:    fasthttp.LIFO,
		ReadBufferSize:      maxHeader,
		Dial:                func(string) (net.Conn, error) { return dial(addr, readTimeout) },
		// No method that uses these settings is called. They ensure that even a
		// method called by mistake sends no request twice.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

func dial(addr string, readTimeout time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: maxIdleTime, Interval: maxIdleTime, Count: 3,
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, markUnreachable(err)
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		c.Close()
		return nil, err
	}
	return &conn{Conn: c, raw: raw, readTimeout: readTimeout}, nil
}

// acquire returns an idle connection that is not stale, or a new one.
func acquire(h *fasthttp.HostClient) (release func(keep bool), c *conn, err error) {
	for {
		cc, err := h.AcquireConn(0, false)
		if err != nil {
			return nil, nil, err
		}
		c := cc.Conn().(*conn)
		if c.used && c.stale() {
			h.CloseConn(cc)
			continue
		}
		c.used = true
		return func(keep bool) {
			if keep {
				h.ReleaseConn(cc)
				return
			}
			h.CloseConn(cc)
		}, c, nil
	}
}

func writeRequest(w *bufio.Writer, req *fasthttp.Request) error {
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}
