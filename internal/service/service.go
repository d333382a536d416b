// Package service is a client of plain HTTP services.
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
	// maxErrorBody bounds the body of a 503 response in bytes.
	maxErrorBody = 64 << 10
	// chunkSize is the largest size of a chunk in which a response is passed on.
	chunkSize = 16 << 10
)

// Service is the client of the targets of service pools. It implements
// fireflypath.Backend and fireflypath.Watcher.
type Service struct {
	sender  *send.Sender
	reports *report.Reader
}

// New returns a Service. Reading a response fails if no bytes arrive for readTimeout. The
// outcome of the request is then unknown, because plain services cannot resume a response.
func New(clock clockwork.Clock, readTimeout time.Duration) *Service {
	return &Service{sender: send.New(readTimeout), reports: report.New(clock)}
}

// Close closes the idle connections.
func (s *Service) Close() {
	s.sender.Close()
	s.reports.Close()
}

// Dispatch sends the call once and returns when the response begins.
func (s *Service) Dispatch(ctx context.Context, target fireflypath.Target, call *fireflypath.Call) (fireflypath.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.URI().DisablePathNormalizing = true
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.Path)
	req.Header.SetHost(target.Addr)
	for k, v := range call.Header {
		req.Header.Set(k, v)
	}
	req.Header.Set(headerID, call.ID)
	if call.IdempotencyKey != "" {
		req.Header.Set(headerKey, call.IdempotencyKey)
	}
	req.SetBodyRaw(call.Body)
	x, err := s.sender.Send(ctx, target.Addr, req, false)
	if err != nil {
		return nil, err
	}
	if string(x.Header.Peek(headerID)) != call.ID {
		x.Close()
		return nil, fireflypath.ErrRequestMismatch
	}
	if x.Header.StatusCode() == fasthttp.StatusServiceUnavailable {
		return newUnavailable(x)
	}
	return &answer{exchange: x, head: responseHead(x)}, nil
}

// Resume returns fireflypath.ErrGone: plain services cannot resume a response.
func (s *Service) Resume(context.Context, fireflypath.Target, *fireflypath.Call, int) (fireflypath.Answer, error) {
	return nil, fireflypath.ErrGone
}

// Cancel does nothing: plain services have no way to cancel a request.
func (s *Service) Cancel(context.Context, fireflypath.Target, string) error {
	return nil
}

// Poll reads the load report of a target.
func (s *Service) Poll(ctx context.Context, target fireflypath.Target) ([]fireflypath.Event, error) {
	return s.reports.Load(ctx, target, nil)
}

// omittedHeaders lists the headers that are not passed on to the caller: those that apply to
// one connection only (RFC 9110, section 7.6.1) and those that are set anew.
var omittedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Date": true, "Server": true, headerID: true,
}

func responseHead(x *send.Exchange) fireflypath.Head {
	h := fireflypath.Head{Status: x.Header.StatusCode(), Cached: -1, Header: map[string]string{}}
	for k, v := range x.Header.All() {
		if !omittedHeaders[string(k)] {
			h.Header[string(k)] = string(v)
		}
	}
	return h
}

// newUnavailable reads a response with status 503. It returns an error if the body states
// that the target did not run the request, and otherwise the response.
func newUnavailable(x *send.Exchange) (fireflypath.Answer, error) {
	h := responseHead(x)
	body, err := io.ReadAll(io.LimitReader(x, maxErrorBody))
	x.Close()
	if err != nil {
		return nil, errors.Wrap(err, "read error answer")
	}
	var message struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &message) == nil {
		switch message.Error.Code {
		case "draining":
			return nil, fireflypath.ErrDraining
		case "not_run":
			return nil, fireflypath.ErrNotRun
		}
	}
	return &answer{exchange: nil, head: h, buffered: body}, nil
}

// answer is the response of a service, which is passed on in chunks.
type answer struct {
	// exchange is nil if the body was read completely into buffered.
	exchange *send.Exchange
	head     fireflypath.Head
	buffered []byte
	readBuf  []byte
	offset   int
}

// Head returns the status and the header.
func (a *answer) Head() fireflypath.Head {
	return a.head
}

// Length returns the length of the body, or -1 if it is not known in advance.
func (a *answer) Length() int {
	if a.exchange == nil {
		return len(a.buffered)
	}
	return a.exchange.Length()
}

// Next returns the next chunk.
func (a *answer) Next(context.Context) (fireflypath.Chunk, error) {
	if a.exchange == nil {
		return a.nextBuffered()
	}
	if a.readBuf == nil {
		a.readBuf = make([]byte, a.readSize())
	}
	n, err := a.exchange.Read(a.readBuf)
	if n > 0 {
		a.offset += n
		return fireflypath.Chunk{Data: a.readBuf[:n], Offset: a.offset}, nil
	}
	return fireflypath.Chunk{}, err
}

func (a *answer) readSize() int {
	if n := a.exchange.Length(); n > 0 && n < chunkSize {
		return n
	}
	return chunkSize
}

func (a *answer) nextBuffered() (fireflypath.Chunk, error) {
	if len(a.buffered) == 0 {
		return fireflypath.Chunk{}, io.EOF
	}
	c := fireflypath.Chunk{Data: a.buffered, Offset: len(a.buffered)}
	a.buffered = nil
	return c, nil
}

// Close releases the connection.
func (a *answer) Close() error {
	if a.exchange != nil {
		a.exchange.Close()
	}
	return nil
}
