// Package client speaks to a daemon's operators' endpoints.
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
	// tries bounds how often a command is sent, always under the same id, so
	// that it is done once however many of them arrive.
	tries = 3
	// callTimeout is above what a daemon takes to say that an outcome is
	// unknown to it, so that its own words reach the operator.
	callTimeout = 12 * time.Second
	dialTimeout = 2 * time.Second
	maxAnswer   = 64 << 20
)

// Errors of a Client, apart from *syntax.Error.
var (
	// ErrUnreachable means that no daemon took the call.
	ErrUnreachable = errors.New("no daemon can be reached")
	// ErrRefused means that the daemon refused to answer.
	ErrRefused = errors.New("refused")
)

// Options tell where the daemons are.
type Options struct {
	// Addrs are tried in turn; https:// in front asks for TLS.
	Addrs []string
	// Key is the operator's, empty where none is configured.
	Key string
	// Roots check the daemon's certificate; nil takes the system's.
	Roots *x509.CertPool
}

// Client asks one daemon after another.
type Client struct {
	opts Options
	http fasthttp.Client
}

// New returns a client.
func New(opts Options) *Client {
	c := &Client{opts: opts}
	c.connect()
	return c
}

func (c *Client) connect() {
	c.http.TLSConfig = &tls.Config{RootCAs: c.opts.Roots, MinVersion: tls.VersionTLS12}
	c.http.MaxResponseBodySize = maxAnswer
	c.http.Dial = func(addr string) (net.Conn, error) {
		conn, err := fasthttp.DialTimeout(addr, dialTimeout)
		if err != nil {
			return nil, errors.Mark(err, ErrUnreachable)
		}
		return conn, nil
	}
}

// reply is a daemon's answer.
type reply struct {
	status int
	body   []byte
}

// Execute has a command done. The answer's outcome is OutcomeUnknown unless a daemon
// said otherwise, and OutcomeUnavailable if none was reached at all.
func (c *Client) Execute(d wire.CommandRequest) wire.CommandResult {
	best := wire.CommandResult{ID: d.ID, Outcome: wire.OutcomeUnavailable, Detail: "no address is given"}
	for i := range tries {
		addr := c.opts.Addrs[i%len(c.opts.Addrs)]
		done := c.doOnce(addr, d)
		switch done.Outcome {
		case wire.OutcomeUnknown:
			best = done
		case wire.OutcomeUnavailable:
			// Nothing was changed by this attempt; an earlier one may have.
			if best.Outcome != wire.OutcomeUnknown {
				best = done
			}
		default:
			return done
		}
	}
	return best
}

func (c *Client) doOnce(addr string, d wire.CommandRequest) wire.CommandResult {
	done := wire.CommandResult{ID: d.ID}
	r, err := c.post(addr, wire.PathDo, d)
	if errors.Is(err, ErrUnreachable) {
		done.Outcome, done.Detail = wire.OutcomeUnavailable, "nothing was changed: "+err.Error()
		return done
	}
	if err != nil {
		done.Outcome, done.Detail = wire.OutcomeUnknown, "the answer was lost: "+err.Error()
		return done
	}
	if json.Unmarshal(r.body, &done) == nil && done.Outcome != "" {
		return done
	}
	done.Outcome, done.Detail = wire.OutcomeUnknown, "the answer cannot be read"
	var f wire.ErrorResponse
	if json.Unmarshal(r.body, &f) == nil && f.Detail != "" {
		done.Outcome, done.Detail = wire.OutcomeRefused, f.Detail
	}
	return done
}

// Query answers a query. Its errors are *syntax.Error, ErrUnreachable and ErrRefused.
func (c *Client) Query(words string) (*eval.Result, error) {
	var last error
	for _, addr := range c.opts.Addrs {
		r, err := c.post(addr, wire.PathAsk, wire.QueryRequest{Text: words})
		if err != nil {
			last = errors.Mark(err, ErrUnreachable)
			continue
		}
		return decode(r)
	}
	return nil, last
}

// HeldRequests lists the requests that are held or suspected since they end targets.
func (c *Client) HeldRequests() ([]quarantine.Row, error) {
	var h wire.HeldResponse
	return h.Rows, c.call(wire.PathHeld, struct{}{}, &h)
}

// Release lets a held request run again at all daemons.
func (c *Client) Release(digest string) error {
	return c.call(wire.PathRelease, wire.ReleaseRequest{Digest: digest}, &wire.ReleaseRequest{})
}

// call tries the daemons in turn. What it asks for may be asked twice.
func (c *Client) call(path string, message, result any) error {
	var last error
	for _, addr := range c.opts.Addrs {
		r, err := c.post(addr, path, message)
		if err != nil {
			last = errors.Mark(err, ErrUnreachable)
			continue
		}
		if r.status != fasthttp.StatusOK {
			return failure(r)
		}
		return errors.Wrap(json.Unmarshal(r.body, result), "read the answer")
	}
	return last
}

func decode(r *reply) (*eval.Result, error) {
	if r.status == fasthttp.StatusOK {
		var a eval.Result
		return &a, errors.Wrap(json.Unmarshal(r.body, &a), "read the answer")
	}
	return nil, failure(r)
}

// failure is the error of a refusal.
func failure(r *reply) error {
	var f wire.ErrorResponse
	if err := json.Unmarshal(r.body, &f); err != nil || f.Detail == "" {
		return errors.Wrapf(ErrRefused, "with status %d", r.status)
	}
	if f.Syntax != nil {
		return f.Syntax
	}
	return errors.Mark(errors.New(f.Detail), ErrRefused)
}

func (c *Client) post(addr, path string, message any) (*reply, error) {
	body, err := json.Marshal(message)
	if err != nil {
		return nil, errors.Wrap(err, "write the call")
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
	return &reply{status: res.StatusCode(), body: append([]byte(nil), res.Body()...)}, nil
}
