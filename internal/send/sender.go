// Package send gives a request to a target at most once and says what is known when that fails.
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
	// dialTimeout covers one lost SYN, which Linux sends again after a second;
	// targets are about a millisecond away.
	dialTimeout = 1500 * time.Millisecond
	// idle bounds the age of an unused connection. Middleboxes forget
	// connections after minutes at the earliest; targets commonly close them
	// after 5 s at the earliest.
	idle = 4 * time.Second
	// conns bounds the connections to one target; the scheduler's window is far below.
	conns = 1 << 14
	// maxHosts is when addresses without connections are forgotten; it is above
	// the 2,700 targets of the letter, of which 160 change their address a day.
	maxHosts = 4096
	// writeTimeout bounds a write that makes no progress.
	writeTimeout = 30 * time.Second
	// header bounds an answer's header.
	header = 16 << 10
)

// Sender keeps connections to targets. It takes the connection pool of
// fasthttp's HostClient and none of its Do methods: those send a request again
// when a kept connection turns out dead, and the target may have run it.
type Sender struct {
	silence time.Duration
	mu      sync.RWMutex
	hosts   map[string]*fasthttp.HostClient
}

// New returns a Sender whose reads fail after a silence; 0 means never.
func New(silence time.Duration) *Sender {
	return &Sender{silence: silence, hosts: map[string]*fasthttp.HostClient{}}
}

// Send writes the request once and reads the answer's header. The error is
// fireflypath.ErrUnsent if no byte left; any other error leaves the outcome
// unknown. With fresh, a new connection is used.
func (s *Sender) Send(ctx context.Context, addr string, req *fasthttp.Request, fresh bool) (*Exchange, error) {
	if err := ctx.Err(); err != nil {
		return nil, unsent(err)
	}
	x := &Exchange{host: s.host(addr), bodyless: req.Header.IsHead()}
	if err := x.connect(addr, s.silence, fresh); err != nil {
		return nil, unsent(err)
	}
	x.stop = context.AfterFunc(ctx, func() { x.conn.Close() })
	if err := x.write(req); err != nil {
		sent := x.conn.written.Load() != x.before
		x.Close()
		if !sent {
			return nil, unsent(err)
		}
		return nil, errors.Wrap(err, "write request")
	}
	if err := x.readHeader(); err != nil {
		x.Close()
		return nil, errors.Wrap(cut(err), "read answer header")
	}
	return x, nil
}

// Close drops the idle connections.
func (s *Sender) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.hosts {
		h.CloseIdleConnections()
	}
}

func unsent(err error) error {
	return errors.Mark(err, fireflypath.ErrUnsent)
}

// unreached marks errors of a dial that tell of the target or the way to it.
func unreached(err error) error {
	var late net.Error
	if errors.As(err, &late) && late.Timeout() ||
		errors.IsAny(err, unix.ECONNREFUSED, unix.ECONNRESET, unix.EHOSTUNREACH, unix.ENETUNREACH) {
		return errors.Mark(err, fireflypath.ErrUnreachable)
	}
	return err
}

func (s *Sender) host(addr string) *fasthttp.HostClient {
	s.mu.RLock()
	h := s.hosts[addr]
	s.mu.RUnlock()
	if h != nil {
		return h
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.hosts) >= maxHosts {
		maps.DeleteFunc(s.hosts, func(_ string, h *fasthttp.HostClient) bool { return h.ConnsCount() == 0 })
	}
	if h = s.hosts[addr]; h == nil {
		h = newHost(addr, s.silence)
		s.hosts[addr] = h
	}
	return h
}

func newHost(addr string, silence time.Duration) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                addr,
		MaxConns:            conns,
		MaxIdleConnDuration: idle,
		ConnPoolStrategy:    fasthttp.LIFO,
		ReadBufferSize:      header,
		Dial:                func(string) (net.Conn, error) { return dial(addr, silence) },
		// No method that looks at these is called; they stand here so that one
		// that is called by mistake sends nothing twice either.
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
	}
}

func dial(addr string, silence time.Duration) (*conn, error) {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: idle, Interval: idle, Count: 3,
	}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, unreached(err)
	}
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		c.Close()
		return nil, err
	}
	return &conn{Conn: c, raw: raw, silence: silence}, nil
}

// acquire takes an idle connection that is not stale, or dials.
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

func write(w *bufio.Writer, req *fasthttp.Request) error {
	if err := req.Write(w); err != nil {
		return err
	}
	return w.Flush()
}
