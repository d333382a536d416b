// Package service speaks HTTP with plain services.
package service

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/send"
	"github.com/fireflypath/fireflypath/internal/send/report"
)

const (
	headerID  = "X-Request-Id"
	headerKey = "Idempotency-Key"
	// maxNotice bounds a report and the answer of a target that did not run the work.
	maxNotice = 64 << 10
	// piece is the size of the pieces in which answers are passed on.
	piece = 16 << 10
)

// Service is the fireflypath.Backend and Watcher of service pools.
type Service struct {
	sender  *send.Sender
	reports *report.Reader
}

// New returns a Service. An answer that brings nothing for silence is an
// error: its outcome is unknown, because plain services cannot resume.
func New(clock clockwork.Clock, silence time.Duration) *Service {
	return &Service{sender: send.New(silence), reports: report.New(clock)}
}

// Close drops the idle connections.
func (s *Service) Close() {
	s.sender.Close()
	s.reports.Close()
}

// Dispatch sends the call once.
func (s *Service) Dispatch(ctx context.Context, t fireflypath.Target, c *fireflypath.Call) (fireflypath.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(c.Method)
	req.SetRequestURI(c.Path)
	req.Header.SetHost(t.Addr)
	for k, v := range c.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set(headerID, c.ID)
	if c.IdempotencyKey != "" {
		req.Header.Set(headerKey, c.IdempotencyKey)
	}
	req.SetBodyRaw(c.Body)
	x, err := s.sender.Send(ctx, t.Addr, req, false)
	if err != nil {
		return nil, err
	}
	if string(x.Header.Peek(headerID)) != c.ID {
		x.Close()
		return nil, fireflypath.ErrRequestMismatch
	}
	if x.Header.StatusCode() == fasthttp.StatusServiceUnavailable {
		return refused(x)
	}
	return &answer{x: x, head: head(x)}, nil
}

// Resume is not known to plain services.
func (s *Service) Resume(context.Context, fireflypath.Target, *fireflypath.Call, int) (fireflypath.Answer, error) {
	return nil, fireflypath.ErrGone
}

// Cancel does nothing: plain services have no call for it.
func (s *Service) Cancel(context.Context, fireflypath.Target, string) error {
	return nil
}

// Poll reads the load report.
func (s *Service) Poll(ctx context.Context, t fireflypath.Target) ([]fireflypath.Event, error) {
	return s.reports.Load(ctx, t, nil)
}

// hop lists the headers that belong to one connection (RFC 9110, 7.6.1) or are
// written anew.
var hop = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Date": true, "Server": true, headerID: true,
}

func head(x *send.Exchange) fireflypath.Head {
	h := fireflypath.Head{Status: x.Header.StatusCode(), Cached: -1, Header: map[string]string{}}
	for k, v := range x.Header.All() {
		if !hop[string(k)] {
			h.Header[string(k)] = string(v)
		}
	}
	return h
}

// refused reads a 503, which may state that the work was not run.
func refused(x *send.Exchange) (fireflypath.Answer, error) {
	h := head(x)
	body, err := io.ReadAll(io.LimitReader(x, maxNotice))
	x.Close()
	if err != nil {
		return nil, errors.Wrap(err, "read error answer")
	}
	var m struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &m) == nil {
		switch m.Error.Code {
		case "draining":
			return nil, fireflypath.ErrDraining
		case "not_run":
			return nil, fireflypath.ErrNotRun
		}
	}
	return &answer{x: nil, head: h, rest: body}, nil
}

// answer is a service's answer, passed on in pieces.
type answer struct {
	x    *send.Exchange
	head fireflypath.Head
	rest []byte
	buf  []byte
	sent int
}

// Head is the status and header.
func (a *answer) Head() fireflypath.Head {
	return a.head
}

// Length is the length of the body, or -1.
func (a *answer) Length() int {
	if a.x == nil {
		return len(a.rest)
	}
	return a.x.Length()
}

// Next returns the next piece.
func (a *answer) Next(context.Context) (fireflypath.Chunk, error) {
	if a.x == nil {
		return a.last()
	}
	if a.buf == nil {
		a.buf = make([]byte, a.size())
	}
	n, err := a.x.Read(a.buf)
	if n > 0 {
		a.sent += n
		return fireflypath.Chunk{Data: a.buf[:n], Offset: a.sent}, nil
	}
	return fireflypath.Chunk{}, err
}

func (a *answer) size() int {
	if n := a.x.Length(); n > 0 && n < piece {
		return n
	}
	return piece
}

func (a *answer) last() (fireflypath.Chunk, error) {
	if len(a.rest) == 0 {
		return fireflypath.Chunk{}, io.EOF
	}
	c := fireflypath.Chunk{Data: a.rest, Offset: len(a.rest)}
	a.rest = nil
	return c, nil
}

// Close gives the connection up.
func (a *answer) Close() error {
	if a.x != nil {
		a.x.Close()
	}
	return nil
}
