// Package engine speaks the completions API with model engines.
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
	headerID     = "X-Request-Id"
	headerCached = "X-Cached-Tokens"
	headerLast   = "Last-Event-ID"
	pathStreams  = "/v1/streams/"
	// noticeSilence bounds a cancel: an engine answers it from memory.
	noticeSilence = time.Second
	// maxNotice bounds an error answer.
	maxNotice = 1 << 20
)

// Engine is the fireflypath.Backend and Watcher of engine pools.
type Engine struct {
	sender *send.Sender
	// notices sends what is not work: it is allowed less time.
	notices *send.Sender
	reports *report.Reader
	// event bounds the bytes of one event.
	event int

	mu sync.Mutex
	// seen is by the target's name.
	seen map[string]watched
}

// New returns an Engine. An answer that brings nothing for silence is an
// error, and so is an event of more than event bytes.
func New(clock clockwork.Clock, silence time.Duration, event int) *Engine {
	return &Engine{
		sender:  send.New(silence),
		notices: send.New(noticeSilence),
		reports: report.New(clock),
		event:   event,
		seen:    map[string]watched{},
	}
}

// Close drops the idle connections.
func (e *Engine) Close() {
	e.sender.Close()
	e.notices.Close()
	e.reports.Close()
}

// Dispatch sends the call once.
func (e *Engine) Dispatch(ctx context.Context, t fireflypath.Target, c *fireflypath.Call) (fireflypath.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	prepare(req, c.Method, t.Addr, c.Path)
	req.Header.Set(headerID, c.ID)
	req.Header.SetContentType("application/json")
	for k, v := range c.Header {
		req.Header.Set(k, v)
	}
	req.SetBodyRaw(c.Body)
	x, err := e.sender.Send(ctx, t.Addr, req, false)
	if err != nil {
		return nil, err
	}
	return e.open(x, c.ID, 0)
}

// Resume reads the answer from behind the offset on a new connection.
func (e *Engine) Resume(ctx context.Context, t fireflypath.Target, c *fireflypath.Call, offset int) (fireflypath.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	prepare(req, fasthttp.MethodGet, t.Addr, pathStreams+url.PathEscape(c.ID))
	req.Header.Set(headerLast, strconv.Itoa(offset))
	x, err := e.sender.Send(ctx, t.Addr, req, true)
	if err != nil {
		return nil, err
	}
	if x.Header.StatusCode() == fasthttp.StatusNotFound {
		x.Close()
		return nil, fireflypath.ErrGone
	}
	if x.Header.StatusCode() != fasthttp.StatusOK {
		x.Close()
		return nil, errors.Newf("resume at %s: status %d", t.Name, x.Header.StatusCode())
	}
	return e.open(x, c.ID, offset)
}

// Cancel stops the work.
func (e *Engine) Cancel(ctx context.Context, t fireflypath.Target, id string) error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	prepare(req, fasthttp.MethodDelete, t.Addr, pathStreams+url.PathEscape(id))
	x, err := e.notices.Send(ctx, t.Addr, req, true)
	if err != nil {
		return errors.Wrapf(err, "cancel at %s", t.Name)
	}
	x.Close()
	return nil
}

func prepare(req *fasthttp.Request, method, addr, path string) {
	req.Header.SetMethod(method)
	req.Header.SetHost(addr)
	req.SetRequestURI(path)
}

// open judges the head of an answer.
func (e *Engine) open(x *send.Exchange, id string, offset int) (fireflypath.Answer, error) {
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
		return newStream(x, id, offset, e.event, head), nil
	}
	body, err := io.ReadAll(io.LimitReader(x, maxNotice))
	x.Close()
	if err != nil {
		return nil, errors.Wrap(err, "read error answer")
	}
	if head.Status == fasthttp.StatusServiceUnavailable {
		if err := notRun(body); err != nil {
			return nil, err
		}
	}
	return &notice{head: head, body: body}, nil
}

// notRun is the target's own statement that it did not run the work, or nil.
func notRun(body []byte) error {
	var m struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if err := json.Unmarshal(body, &m); err != nil {
		return nil //nolint:nilerr // an unreadable body states nothing
	}
	switch m.Error.Code {
	case "draining":
		return fireflypath.ErrDraining
	case "not_run":
		return fireflypath.ErrNotRun
	default:
		return nil
	}
}

// notice is a small answer that was read whole.
type notice struct {
	head fireflypath.Head
	body []byte
	read bool
}

// Head is the status and header.
func (n *notice) Head() fireflypath.Head {
	return n.head
}

// Next returns the whole body once.
func (n *notice) Next(context.Context) (fireflypath.Chunk, error) {
	if n.read || len(n.body) == 0 {
		return fireflypath.Chunk{}, io.EOF
	}
	n.read = true
	return fireflypath.Chunk{Data: n.body}, nil
}

// Length is the length of the body.
func (n *notice) Length() int {
	return len(n.body)
}

// Close does nothing: the connection was given up.
func (n *notice) Close() error {
	return nil
}
