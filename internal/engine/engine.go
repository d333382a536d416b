// Package engine is a client of model engines that serve the completions API.
package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/send"
	"github.com/fireflypath/fireflypath/internal/send/report"
)

const (
	headerID        = "X-Request-Id"
	headerCached    = "X-Cached-Tokens"
	headerLastEvent = "Last-Event-ID"
	pathStreams     = "/v1/streams/"
	// controlTimeout bounds each read of the response to a cancellation or an order. An
	// engine responds to these from memory.
	controlTimeout = time.Second
	// maxErrorBody bounds the body of an error response in bytes.
	maxErrorBody = 1 << 20
)

// Engine is the client of the targets of engine pools. It implements
// fireflypath.Backend and fireflypath.Watcher.
type Engine struct {
	sender *send.Sender
	// control sends cancellations and orders, with a shorter timeout than requests.
	control *send.Sender
	reports *report.Reader
	// maxEvent bounds the size of one event in bytes.
	maxEvent int

	mu sync.Mutex
	// pollStates is keyed by the target's name.
	pollStates map[string]pollState
}

// New returns an Engine. Reading a response fails if no bytes arrive for readTimeout (0
// means no timeout), and if an event has more than maxEvent bytes.
func New(clock clockwork.Clock, readTimeout time.Duration, maxEvent int) *Engine {
	return &Engine{
		sender:     send.New(readTimeout),
		control:    send.New(controlTimeout),
		reports:    report.New(clock),
		maxEvent:   maxEvent,
		pollStates: map[string]pollState{},
	}
}

// Close closes the idle connections.
func (e *Engine) Close() {
	e.sender.Close()
	e.control.Close()
	e.reports.Close()
}

// Dispatch sends the call once and returns when the response begins.
func (e *Engine) Dispatch(ctx context.Context, target fireflypath.Target, c *fireflypath.Call) (fireflypath.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	initRequest(req, c.Method, target.Addr, c.Path)
	req.Header.Set(headerID, c.ID)
	req.Header.SetContentType("application/json")
	for k, v := range c.Header {
		req.Header.Set(k, v)
	}
	req.SetBodyRaw(c.Body)
	x, err := e.sender.Send(ctx, target.Addr, req, false)
	if err != nil {
		return nil, err
	}
	return e.newAnswer(x, c.ID, 0)
}

// Resume requests the rest of a response, after the event with the number offset, on a new
// connection.
func (e *Engine) Resume(ctx context.Context, target fireflypath.Target, c *fireflypath.Call, offset int) (fireflypath.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	initRequest(req, fasthttp.MethodGet, target.Addr, pathStreams+url.PathEscape(c.ID))
	req.Header.Set(headerLastEvent, strconv.Itoa(offset))
	x, err := e.sender.Send(ctx, target.Addr, req, true)
	if err != nil {
		return nil, err
	}
	if x.Header.StatusCode() == fasthttp.StatusNotFound {
		x.Close()
		return nil, fireflypath.ErrGone
	}
	if x.Header.StatusCode() != fasthttp.StatusOK {
		x.Close()
		return nil, errors.Newf("resume at %s: status %d", target.Name, x.Header.StatusCode())
	}
	return e.newAnswer(x, c.ID, offset)
}

// Cancel asks the target to stop working on a request.
func (e *Engine) Cancel(ctx context.Context, target fireflypath.Target, id string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	initRequest(req, fasthttp.MethodDelete, target.Addr, pathStreams+url.PathEscape(id))
	x, err := e.control.Send(ctx, target.Addr, req, true)
	if err != nil {
		return errors.Wrapf(err, "cancel at %s", target.Name)
	}
	x.Close()
	return nil
}

func initRequest(req *fasthttp.Request, method, addr, path string) {
	req.Header.SetMethod(method)
	req.Header.SetHost(addr)
	req.SetRequestURI(path)
}

// newAnswer checks the id and the status of a response and returns a reader of its body.
func (e *Engine) newAnswer(x *send.Exchange, id string, offset int) (fireflypath.Answer, error) {
	if string(x.Header.Peek(headerID)) != id {
		x.Close()
		return nil, fireflypath.ErrRequestMismatch
	}
	head := fireflypath.Head{Status: x.Header.StatusCode(), Cached: -1, Header: map[string]string{
		fasthttp.HeaderContentType: string(x.Header.ContentType()),
	}}
	if n, err := strconv.Atoi(string(x.Header.Peek(headerCached))); err == nil {
		head.Cached = n
	}
	if head.Status == fasthttp.StatusOK {
		return newStream(x, id, offset, e.maxEvent, head), nil
	}
	body, err := io.ReadAll(io.LimitReader(x, maxErrorBody))
	x.Close()
	if err != nil {
		return nil, errors.Wrap(err, "read error answer")
	}
	if head.Status == fasthttp.StatusServiceUnavailable {
		if err := notRunError(body); err != nil {
			return nil, err
		}
	}
	return &errorAnswer{head: head, body: body}, nil
}

// notRunError returns an error if the body states that the target did not run the
// request, and otherwise nil.
func notRunError(body []byte) error {
	var message struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &message); err != nil {
		return nil //nolint:nilerr // a body that cannot be parsed makes no statement
	}
	switch message.Error.Code {
	case "draining":
		return fireflypath.ErrDraining
	case "not_run":
		return fireflypath.ErrNotRun
	default:
		return nil
	}
}

// errorAnswer is an error response whose body was read completely.
type errorAnswer struct {
	head     fireflypath.Head
	body     []byte
	returned bool
}

// Head returns the status and the header.
func (a *errorAnswer) Head() fireflypath.Head {
	return a.head
}

// Next returns the complete body once, and io.EOF after that.
func (a *errorAnswer) Next(context.Context) (fireflypath.Chunk, error) {
	if a.returned || len(a.body) == 0 {
		return fireflypath.Chunk{}, io.EOF
	}
	a.returned = true
	return fireflypath.Chunk{Data: a.body}, nil
}

// Length returns the length of the body.
func (a *errorAnswer) Length() int {
	return len(a.body)
}

// Close does nothing: the connection was released when the body had been read.
func (a *errorAnswer) Close() error {
	return nil
}
