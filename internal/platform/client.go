// Package platform speaks to the platform's key-value service and host list.
package platform

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
)

const (
	// defaultTimeout bounds a call. The service answers in milliseconds (brief,
	// "Where it will run"), so a second is far outside its usual times.
	defaultTimeout = time.Second
	// idle is how long a connection is kept unused. It is below what servers
	// usually allow, so that few writes meet a connection that was just closed.
	idle = 5 * time.Second
	// maxConns bounds open connections: a daemon has a handful of watches and
	// group-committed writes under way at once.
	maxConns = 64
)

// errDial marks a connection that could not be made, so no byte left.
var errDial = errors.New("dial failed")

// Client implements fireflypath.Store and fireflypath.Hosts over HTTP.
//
// It never sends a request twice. fasthttp would repeat GETs and PUTs on a
// broken connection: a compare-and-swap whose answer was lost would then come
// back as a conflict with itself. A repeated write shows up in the service's
// count; with one attempt the caller reads ErrUnknown and settles it.
type Client struct {
	base    string
	timeout time.Duration
	host    *fasthttp.HostClient

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// New makes a client for the service at an IP number and port; a timeout of 0
// takes the default.
func New(addr string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c := &Client{base: "http://" + addr, timeout: timeout, conns: make(map[*conn]struct{})}
	c.host = &fasthttp.HostClient{
		Addr:                      addr,
		Dial:                      c.dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idle,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                never,
		MaxResponseBodySize:       0,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	return c
}

func never(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// Close cuts all connections; calls under way fail.
func (c *Client) Close() error {
	c.host.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := range c.conns {
		k.Conn.Close()
	}
	return nil
}

func (c *Client) dial(addr string) (net.Conn, error) {
	nc, err := net.DialTimeout("tcp", addr, c.timeout)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	k := &conn{Conn: nc, owner: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[k] = struct{}{}
	return k, nil
}

// conn is an open connection that Client.Close can cut.
type conn struct {
	net.Conn
	owner *Client
}

func (k *conn) Close() error {
	k.owner.mu.Lock()
	delete(k.owner.conns, k)
	k.owner.mu.Unlock()
	return k.Conn.Close()
}

// answer is what the service said.
type answer struct {
	status   int
	revision string
	body     []byte
}

type result struct {
	answer answer
	err    error
}

// do sends one call, waits for its answer, and turns what went wrong into the
// given error. The call is bounded by the client's timeout, added to wait, and
// by the context's deadline.
func (c *Client) do(ctx context.Context, k call) (answer, error) {
	timeout := c.timeout + k.wait
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(end))
	}
	if timeout <= 0 || ctx.Err() != nil {
		return answer{}, errors.Wrapf(fireflypath.ErrUnavailable, "%s %s: no time left", k.method, k.path)
	}
	done := make(chan result, 1)
	go func() {
		a, err := c.send(k, timeout)
		done <- result{a, err}
	}()
	select {
	case r := <-done:
		return r.answer, c.translate(k, r.err)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.host.CloseIdleConnections()
		}
		return answer{}, errors.Wrapf(k.lost(), "%s %s: %s", k.method, k.path, ctx.Err())
	}
}

func (c *Client) send(k call, timeout time.Duration) (answer, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(k.method)
	req.SetRequestURI(c.base + k.path)
	req.SetBody(k.body)
	if err := c.host.DoTimeout(req, resp, timeout); err != nil {
		return answer{}, err
	}
	return answer{
		status:   resp.StatusCode(),
		revision: string(resp.Header.Peek("Revision")),
		body:     append([]byte(nil), resp.Body()...),
	}, nil
}

// translate says what a failed exchange means for the call.
func (c *Client) translate(k call, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return errors.Wrapf(fireflypath.ErrUnavailable, "%s %s: %s", k.method, k.path, err)
	}
	// A connection can go silent for good while new ones work; one notices by
	// calls that time out. The idle ones may have gone the same way, so the
	// next call dials.
	c.host.CloseIdleConnections()
	return errors.Wrapf(k.lost(), "%s %s: %s", k.method, k.path, err)
}
