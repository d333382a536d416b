// Package client sends requests to a fireflypath daemon.
package client

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
)

// Errors of a Client. After any other error, too, the request may have run.
var (
	// ErrUnsent means that no byte of the request left: it did not run.
	ErrUnsent = errors.New("request was not sent")
	// ErrTruncated means that the connection ended before the whole answer came.
	ErrTruncated = errors.New("answer was cut short")
)

const (
	// defaultTimeout bounds a request that names no deadline.
	defaultTimeout = 5 * time.Minute
	// grace is how long after its deadline an answer is still waited for: late
	// answers are delivered, too.
	grace = 30 * time.Second
	// maxConns is far above what a caller holds open in practice; the daemon
	// sets the bound.
	maxConns = 1 << 16
	// dialTimeout is many round trips within a region (brief: about 1 ms).
	dialTimeout = 2 * time.Second
)

// Request is one request to a daemon.
type Request struct {
	// Method is POST if empty.
	Method string
	// Path is /v1/completions, /v1/chat/completions or /services/POOL/...
	Path string
	// Token is the team's key.
	Token string
	// Tier is one of the team's tiers; empty takes the team's first.
	Tier string
	// Deadline is how long the answer is of use; 0 takes the tier's.
	Deadline time.Duration
	// NotIdempotent marks work whose second run does harm. Without it, the
	// daemon goes by the path and method.
	NotIdempotent bool
	// IdempotencyKey is the Idempotency-Key: with it, a request that is not idempotent may
	// be sent again, to any daemon, and still runs at most once.
	IdempotencyKey string
	Body           []byte
	// OnFirstByte is called when the first byte of the answer's body is there.
	OnFirstByte func()
}

// Answer is a whole answer or a refusal.
type Answer struct {
	Status int
	// ID is the request's id.
	ID string
	// Refusal is set if the request was refused, also in the middle of a stream.
	Refusal *fireflypath.Refusal
	// Body is the answer of a service, or of a model without a stream.
	Body []byte
	// Text is the answer of a stream, Tokens the number of its events.
	Text   string
	Tokens int
	// WrongID is true if an event of a stream carried another id.
	WrongID bool
}

// Client sends to one daemon. It never sends a request again on its own: not
// even on a kept connection that turns out dead, where fasthttp would.
type Client struct {
	base string
	host *fasthttp.HostClient
}

// New makes a client for an IP number and a port.
func New(addr string) *Client {
	return &Client{
		base: "http://" + addr,
		host: &fasthttp.HostClient{
			Addr:                      addr,
			Dial:                      dial,
			MaxConns:                  maxConns,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                never,
			StreamResponseBody:        true,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

func never(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

func dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.Wrapf(ErrUnsent, "dial %s: %s", addr, err)
	}
	return c, nil
}

// Close drops the idle connections.
func (c *Client) Close() {
	c.host.CloseIdleConnections()
}

// Do sends a request once and reads its answer. The context's deadline bounds
// it; cancelling the context does not cut it short.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	timeout := defaultTimeout
	if r.Deadline > 0 {
		timeout = r.Deadline + grace
	}
	if end, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(end))
	}
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	c.fill(req, r)
	if err := c.host.DoTimeout(req, resp, timeout); err != nil {
		if errors.Is(err, ErrUnsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
			return nil, err
		}
		return nil, errors.Wrap(ErrTruncated, err.Error())
	}
	// A body that was read to its end leaves the connection usable.
	defer func() { _ = resp.CloseBodyStream() }()
	return read(resp, r.OnFirstByte)
}

func (c *Client) fill(req *fasthttp.Request, r *Request) {
	req.Header.SetMethod(fasthttp.MethodPost)
	if r.Method != "" {
		req.Header.SetMethod(r.Method)
	}
	req.SetRequestURI(c.base + r.Path)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+r.Token)
	if r.Tier != "" {
		req.Header.Set("Fireflypath-Tier", r.Tier)
	}
	if r.Deadline > 0 {
		req.Header.Set("Fireflypath-Deadline", r.Deadline.String())
	}
	if r.NotIdempotent {
		req.Header.Set("Fireflypath-Idempotent", strconv.FormatBool(false))
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	req.SetBodyRaw(r.Body)
}

func read(resp *fasthttp.Response, first func()) (*Answer, error) {
	a := &Answer{Status: resp.StatusCode(), ID: string(resp.Header.Peek("Fireflypath-Request"))}
	body := &firstReader{r: resp.BodyStream(), first: first}
	if string(resp.Header.ContentType()) == "text/event-stream" {
		return a, a.readEvents(body)
	}
	var err error
	if a.Body, err = io.ReadAll(body); err != nil {
		return a, errors.Wrapf(ErrTruncated, "read answer: %s", err)
	}
	if a.Status >= fasthttp.StatusBadRequest {
		a.Refusal = parseRefusal(a.Body)
	}
	return a, nil
}

// parseRefusal returns nil for the error answer of a service, which is no refusal.
func parseRefusal(body []byte) *fireflypath.Refusal {
	var f fireflypath.Refusal
	if err := json.Unmarshal(body, &f); err != nil || f.Code == "" || f.Run == "" {
		return nil //nolint:nilerr // A service may answer an error with any body.
	}
	f.RetryAfter = time.Duration(f.RetryMS) * time.Millisecond
	return &f
}

// firstReader tells when the first byte was read.
type firstReader struct {
	r     io.Reader
	first func()
}

func (f *firstReader) Read(p []byte) (int, error) {
	if f.r == nil {
		return 0, io.EOF
	}
	n, err := f.r.Read(p)
	if n > 0 && f.first != nil {
		f.first()
		f.first = nil
	}
	return n, err
}
