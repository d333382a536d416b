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

// Errors of a Client. After any error other than ErrUnsent, the request may have run.
var (
	// ErrUnsent means that no byte of the request was sent, so it did not run.
	ErrUnsent = errors.New("request was not sent")
	// ErrTruncated means that the connection ended before the complete answer was
	// received.
	ErrTruncated = errors.New("answer was cut short")
)

const (
	// defaultTimeout limits a request without a deadline.
	defaultTimeout = 5 * time.Minute
	// lateAnswerGrace is how long after its deadline to wait for the answer to a request:
	// the daemon delivers late answers as well.
	lateAnswerGrace = 30 * time.Second
	// maxConns is far above the number of connections that a caller opens in practice. The
	// daemon enforces the actual limit.
	maxConns = 1 << 16
	// dialTimeout is many round trips within a region, which take about 1 ms each.
	dialTimeout = 2 * time.Second
)

// Request is a request to a daemon.
type Request struct {
	// Method defaults to POST.
	Method string
	// Path is /v1/completions, /v1/chat/completions or /services/POOL/...
	Path string
	// Token is a key of the team.
	Token string
	// Tier is one of the team's tiers. If it is empty, the first one is used.
	Tier string
	// Deadline is how long the answer is useful. 0 selects the deadline of the tier.
	Deadline time.Duration
	// NotIdempotent marks a request that must not run twice. If it is false, the daemon
	// decides by path and method.
	NotIdempotent bool
	// IdempotencyKey is sent as the Idempotency-Key header. A request that is not
	// idempotent but has a key can be sent again, to any daemon, and still runs at most
	// once.
	IdempotencyKey string
	Body           []byte
	// OnFirstByte is called when the first byte of the answer's body has been received.
	OnFirstByte func()
}

// Answer is a complete answer or a refusal.
type Answer struct {
	Status int
	// ID is the id of the request.
	ID string
	// Refusal is set if the request was refused, possibly after the start of a stream.
	Refusal *fireflypath.Refusal
	// Body is the answer of a service, or of a model if the request was not streamed.
	Body []byte
	// Text is the concatenated text of a stream, and Tokens is the number of its events.
	Text   string
	Tokens int
	// WrongID is true if an event of the stream carried the id of another request.
	WrongID bool
}

// Client sends requests to one daemon. It never sends a request twice, not even on a
// reused connection that turns out to be closed, where fasthttp would by default.
type Client struct {
	base string
	host *fasthttp.HostClient
}

// New returns a client of the daemon at an IP address and port.
func New(addr string) *Client {
	return &Client{
		base: "http://" + addr,
		host: &fasthttp.HostClient{
			Addr:                      addr,
			Dial:                      dial,
			MaxConns:                  maxConns,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                noRetry,
			StreamResponseBody:        true,
			NoDefaultUserAgentHeader:  true,
		},
	}
}

func noRetry(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
	return false, false
}

func dial(addr string) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		return nil, errors.Wrapf(ErrUnsent, "dial %s: %s", addr, err)
	}
	return c, nil
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.host.CloseIdleConnections()
}

// Do sends a request once and reads its answer. The deadline of the context limits the
// call, but canceling the context does not abort it.
func (c *Client) Do(ctx context.Context, r *Request) (*Answer, error) {
	timeout := defaultTimeout
	if r.Deadline > 0 {
		timeout = r.Deadline + lateAnswerGrace
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
	c.fillRequest(req, r)
	if err := c.host.DoTimeout(req, resp, timeout); err != nil {
		if errors.Is(err, ErrUnsent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
			return nil, err
		}
		return nil, errors.Wrap(ErrTruncated, err.Error())
	}
	// The connection is reused only if the body was read to its end.
	defer func() { _ = resp.CloseBodyStream() }()
	return readAnswer(resp, r.OnFirstByte)
}

func (c *Client) fillRequest(req *fasthttp.Request, r *Request) {
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

func readAnswer(resp *fasthttp.Response, onFirstByte func()) (*Answer, error) {
	a := &Answer{Status: resp.StatusCode(), ID: string(resp.Header.Peek("Fireflypath-Request"))}
	body := &firstByteReader{r: resp.BodyStream(), onFirstByte: onFirstByte}
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

// parseRefusal returns nil if body is not a refusal but the error response of a service.
func parseRefusal(body []byte) *fireflypath.Refusal {
	var f fireflypath.Refusal
	if err := json.Unmarshal(body, &f); err != nil || f.Code == "" || f.Run == "" {
		return nil //nolint:nilerr // A service may send an error response with any body.
	}
	f.RetryAfter = time.Duration(f.RetryMS) * time.Millisecond
	return &f
}

// firstByteReader calls onFirstByte when the first byte is read.
type firstByteReader struct {
	r           io.Reader
	onFirstByte func()
}

func (f *firstByteReader) Read(p []byte) (int, error) {
	if f.r == nil {
		return 0, io.EOF
	}
	n, err := f.r.Read(p)
	if n > 0 && f.onFirstByte != nil {
		f.onFirstByte()
		f.onFirstByte = nil
	}
	return n, err
}
