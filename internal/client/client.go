// Package client is the client of the daemons' operator endpoints.
package client

import (
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/quarantine"
	"github.com/fireflypath/fireflypath/internal/query/eval"
)

const (
	// maxAttempts is how often a command is sent. All attempts have the same id, so that the
	// command is executed once even if several arrive.
	maxAttempts = 3
	// callTimeout is longer than a daemon takes to report an unknown outcome, so that its response
	// reaches the operator.
	callTimeout      = 12 * time.Second
	dialTimeout      = 2 * time.Second
	maxResponseBytes = 64 << 20
)

// Errors of a Client besides *syntax.Error.
var (
	// ErrUnreachable means that no daemon accepted the request.
	ErrUnreachable = errors.New("no daemon can be reached")
	// ErrRefused means that the daemon refused the request.
	ErrRefused = errors.New("refused")
)

// Options are the options of a Client.
type Options struct {
	// Addrs are the daemons' addresses, which are tried in turn. The prefix https:// enables TLS.
	Addrs []string
	// Key is the operator's key, empty if none is configured.
	Key string
	// Roots are the CAs that may sign the daemon's certificate; nil means the system's.
	Roots *x509.CertPool
}

// Client sends requests to one daemon after another until one responds.
type Client struct {
	opts Options
	http fasthttp.Client
}

// New returns a Client with the given options.
func New(opts Options) *Client {
	c := &Client{opts: opts}
	c.connect()
	return c
}

func (c *Client) connect() {
	c.http.TLSConfig = &tls.Config{RootCAs: c.opts.Roots, MinVersion: tls.VersionTLS12}
	c.http.MaxResponseBodySize = maxResponseBytes
	c.http.Dial = func(addr string) (net.Conn, error) {
		conn, err := fasthttp.DialTimeout(addr, dialTimeout)
		if err != nil {
			return nil, errors.Mark(err, ErrUnreachable)
		}
		return conn, nil
	}
}

// response is a daemon's HTTP response.
type response struct {
	status int
	body   []byte
}

// Execute sends a command until a daemon reports its outcome. Otherwise the outcome is
// OutcomeUnavailable if no attempt reached a daemon, and OutcomeUnknown if one may have.
func (c *Client) Execute(req wire.CommandRequest) wire.CommandResult {
	res := wire.CommandResult{ID: req.ID, Outcome: wire.OutcomeUnavailable, Detail: "no address is given"}
	for i := range maxAttempts {
		addr := c.opts.Addrs[i%len(c.opts.Addrs)]
		attempt := c.executeOnce(addr, req)
		switch attempt.Outcome {
		case wire.OutcomeUnknown:
			res = attempt
		case wire.OutcomeUnavailable:
			// This attempt had no effect, but an earlier one may have had.
			if res.Outcome != wire.OutcomeUnknown {
				res = attempt
			}
		default:
			return attempt
		}
	}
	return res
}

func (c *Client) executeOnce(addr string, req wire.CommandRequest) wire.CommandResult {
	res := wire.CommandResult{ID: req.ID}
	r, err := c.post(addr, wire.PathDo, req)
	if errors.Is(err, ErrUnreachable) {
		res.Outcome, res.Detail = wire.OutcomeUnavailable, "nothing was changed: "+err.Error()
		return res
	}
	if err != nil {
		res.Outcome, res.Detail = wire.OutcomeUnknown, "the answer was lost: "+err.Error()
		return res
	}
	if json.Unmarshal(r.body, &res) == nil && res.Outcome != "" {
		return res
	}
	res.Outcome, res.Detail = wire.OutcomeUnknown, "the answer cannot be read"
	var f wire.ErrorResponse
	if json.Unmarshal(r.body, &f) == nil && f.Detail != "" {
		res.Outcome, res.Detail = wire.OutcomeRefused, f.Detail
	}
	return res
}

// Query runs a query on one daemon. Its errors are *syntax.Error, ErrUnreachable and ErrRefused.
func (c *Client) Query(text string) (*eval.Result, error) {
	var last error
	for _, addr := range c.opts.Addrs {
		r, err := c.post(addr, wire.PathAsk, wire.QueryRequest{Text: text})
		if err != nil {
			last = errors.Mark(err, ErrUnreachable)
			continue
		}
		return decodeResult(r)
	}
	return nil, last
}

// HeldRequests lists the requests that are held or suspected because targets crashed on them.
func (c *Client) HeldRequests() ([]quarantine.Row, error) {
	var h wire.HeldResponse
	return h.Rows, c.call(wire.PathHeld, struct{}{}, &h)
}

// Release releases a held request at all daemons.
func (c *Client) Release(digest string) error {
	return c.call(wire.PathRelease, wire.ReleaseRequest{Digest: digest}, &wire.ReleaseRequest{})
}

// call tries the daemons in turn. It is only for idempotent operations, since an operation may be
// executed more than once.
func (c *Client) call(path string, message, result any) error {
	var last error
	for _, addr := range c.opts.Addrs {
		r, err := c.post(addr, path, message)
		if err != nil {
			last = errors.Mark(err, ErrUnreachable)
			continue
		}
		if r.status != fasthttp.StatusOK {
			return responseError(r)
		}
		return errors.Wrap(json.Unmarshal(r.body, result), "read the answer")
	}
	return last
}

func decodeResult(r *response) (*eval.Result, error) {
	if r.status == fasthttp.StatusOK {
		var res eval.Result
		return &res, errors.Wrap(json.Unmarshal(r.body, &res), "read the answer")
	}
	return nil, responseError(r)
}

// responseError returns the error for an unsuccessful response.
func responseError(r *response) error {
	var f wire.ErrorResponse
	if err := json.Unmarshal(r.body, &f); err != nil || f.Detail == "" {
		return errors.Wrapf(ErrRefused, "with status %d", r.status)
	}
	if f.Syntax != nil {
		return f.Syntax
	}
	return errors.Mark(errors.New(f.Detail), ErrRefused)
}

func (c *Client) post(addr, path string, message any) (*response, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	if !strings.Contains(addr, "://") {
		addr = "http://" + addr
	}
	req.SetRequestURI(addr + path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	if c.opts.Key != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+c.opts.Key)
	}
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, res, callTimeout); err != nil {
		return nil, errors.Wrapf(err, "call %s", addr)
	}
	return &response{status: res.StatusCode(), body: append([]byte(nil), res.Body()...)}, nil
}
