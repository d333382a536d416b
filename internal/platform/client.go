// Package platform is a client of the key-value service and host list that daemons without a
// gate use. Those with a gate use the package of the same name at the root of the module.
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
	// defaultTimeout limits a call. The service usually responds within milliseconds, so 1 s
	// is far above its response times.
	defaultTimeout = time.Second
	// idleTimeout is how long an unused connection is kept. It is shorter than the usual
	// idle timeout of servers, so that few writes are sent on a connection that the server
	// has just closed.
	idleTimeout = 5 * time.Second
	// maxConns limits the open connections: a daemon has a handful of watches and
	// group-committed writes in progress at once.
	maxConns = 64
	// maxResponse limits the size of a response, in bytes: the largest listing and what JSON adds.
	maxResponse = 32 << 20
)

// errDial marks a failure to connect, so that no byte of the request was sent.
var errDial = errors.New("dial failed")

// Client implements fireflypath.Store and fireflypath.Hosts over HTTP.
//
// It never sends a request twice. fasthttp would repeat GETs and PUTs on a broken
// connection: a compare-and-swap whose response was lost would then conflict with itself.
// A repeated write is also visible in the service's call counts. With a single attempt,
// the caller gets ErrUnknown and determines the outcome itself.
type Client struct {
	base    string
	timeout time.Duration
	host    *fasthttp.HostClient

	mu    sync.Mutex
	conns map[*trackedConn]struct{}
}

// New returns a client of the service at an IP address and port. A timeout of 0 selects
// the default.
func New(addr string, timeout time.Duration) *Client {
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	c := &Client{base: "http://" + addr, timeout: timeout, conns: make(map[*trackedConn]struct{})}
	c.host = &fasthttp.HostClient{
		Addr:                      addr,
		Dial:                      c.dial,
		MaxConns:                  maxConns,
		MaxIdleConnDuration:       idleTimeout,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                noRetry,
		MaxResponseBodySize:       maxResponse,
		DisablePathNormalizing:    true,
		NoDefaultUserAgentHeader:  true,
	}
	return c
}

func noRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

// Close closes all connections. Calls in progress fail.
func (c *Client) Close() error {
	c.host.CloseIdleConnections()
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.Conn.Close()
	}
	return nil
}

func (c *Client) dial(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, c.timeout)
	if err != nil {
		return nil, errors.Mark(err, errDial)
	}
	tracked := &trackedConn{Conn: conn, client: c}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conns[tracked] = struct{}{}
	return tracked, nil
}

// trackedConn is an open connection that Client.Close can close.
type trackedConn struct {
	net.Conn
	client *Client
}

func (c *trackedConn) Close() error {
	c.client.mu.Lock()
	delete(c.client.conns, c)
	c.client.mu.Unlock()
	return c.Conn.Close()
}

// response is the part of an HTTP response that callers use.
type response struct {
	status   int
	revision string
	body     []byte
}

type result struct {
	response response
	err      error
}

// roundTrip sends one request, waits for the response and maps transport failures to the
// errors of fireflypath.Store. The call is limited by the client's timeout plus op.wait,
// and by the deadline of the context.
func (c *Client) roundTrip(ctx context.Context, op operation) (response, error) {
	timeout := c.timeout + op.wait
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(end))
	}
	if timeout <= 0 || ctx.Err() != nil {
		return response{}, errors.Wrapf(fireflypath.ErrUnavailable, "%s %s: no time left", op.method, op.path)
	}
	done := make(chan result, 1)
	go func() {
		resp, err := c.send(op, timeout)
		done <- result{resp, err}
	}()
	select {
	case r := <-done:
		return r.response, c.transportError(op, r.err)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.host.CloseIdleConnections()
		}
		return response{}, errors.Wrapf(op.lostResponseError(), "%s %s: %s", op.method, op.path, ctx.Err())
	}
}

func (c *Client) send(op operation, timeout time.Duration) (response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(op.method)
	req.SetRequestURI(c.base + op.path)
	req.SetBody(op.body)
	if err := c.host.DoTimeout(req, resp, timeout); err != nil {
		return response{}, err
	}
	return response{
		status:   resp.StatusCode(),
		revision: string(resp.Header.Peek("Revision")),
		body:     append([]byte(nil), resp.Body()...),
	}, nil
}

// transportError maps the error of a failed round trip to the outcome of the operation.
func (c *Client) transportError(op operation, err error) error {
	switch {
	case err == nil:
		return nil
	case errors.Is(err, errDial), errors.Is(err, fasthttp.ErrNoFreeConns):
		return errors.Wrapf(fireflypath.ErrUnavailable, "%s %s: %s", op.method, op.path, err)
	}
	// A timeout may mean that the connection has silently stopped delivering data,
	// although new connections work. The idle connections may be affected as well,
	// so they are closed and the next call opens a new one.
	c.host.CloseIdleConnections()
	return errors.Wrapf(op.lostResponseError(), "%s %s: %s", op.method, op.path, err)
}
