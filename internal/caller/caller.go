// Package caller serves requests over HTTP.
package caller

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/caller/bodies"
	"github.com/fireflypath/fireflypath/internal/caller/disconnect"
	"github.com/fireflypath/fireflypath/internal/route/refuse"
	"github.com/fireflypath/fireflypath/internal/route/request"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

const (
	headerID         = "Fireflypath-Request"
	headerTier       = "Fireflypath-Tier"
	headerDeadline   = "Fireflypath-Deadline"
	headerIdempotent = "Fireflypath-Idempotent"
	headerKey        = "Idempotency-Key"
	bearerPrefix     = "Bearer "
)

const (
	// defaultMaxBody holds a prompt of a million tokens at 4 bytes each.
	defaultMaxBody = 4 << 20
	// defaultMaxHeader is the bound that most servers have.
	defaultMaxHeader = 16 << 10
	// readTimeout ends a request that trickles in: one held open for each
	// connection would keep others out.
	readTimeout = 30 * time.Second
	// idleTimeout is above the keep-alive time of common balancers (60 s), so
	// that the balancer closes first and never sends into a closed connection.
	idleTimeout = 75 * time.Second
)

// Route runs a request and sets its reply.
type Route interface {
	Serve(ctx context.Context, r *request.Request)
	// NewID makes the id of a refusal that never becomes a request.
	NewID() string
	// Rank is the rank of the request's tier, by its header. It reports false
	// if the header alone refuses the request; the reply is set then.
	Rank(r *request.Request) (int, bool)
	// Refuse sets the reply to a refusal before the body was read.
	Refuse(r *request.Request, ref *fireflypath.Refusal)
}

// Server is the callers' front door.
type Server struct {
	route       Route
	disconnects *disconnect.Watcher
	server      *fasthttp.Server
	bodies      *bodies.Budget
	// maxBody bounds one body.
	maxBody int
}

// New returns a server that does not listen yet.
func New(route Route, disconnects *disconnect.Watcher, limits settings.Limits) *Server {
	maxBody := orDefault(limits.Body, defaultMaxBody)
	s := &Server{
		route: route, disconnects: disconnects, maxBody: maxBody,
		bodies: bodies.New(max(maxBody+1, orDefault(limits.PendingBodies, defaultBodyMemory))),
	}
	app := fiber.New(fiber.Config{CaseSensitive: true, StrictRouting: true, DisableHeadAutoRegister: true})
	app.Post("/v1/completions", s.handleCompletion)
	app.Post("/v1/chat/completions", s.handleCompletion)
	app.All("/services/:pool", s.handleService)
	app.All("/services/:pool/*", s.handleService)
	app.Use(s.handleUnknown)
	s.server = &fasthttp.Server{
		Handler:                       app.Handler(),
		ErrorHandler:                  s.handleParseError,
		Name:                          "fireflypath",
		ReadBufferSize:                orDefault(limits.Header, defaultMaxHeader),
		MaxRequestBodySize:            prefetchedBody,
		StreamRequestBody:             true,
		ReadTimeout:                   readTimeout,
		IdleTimeout:                   idleTimeout,
		NoDefaultContentType:          true,
		DisablePreParseMultipartForm:  true,
		CloseOnShutdown:               true,
		SecureErrorLogMessage:         true,
		DisableHeaderNamesNormalizing: false,
		Logger:                        discardLogger{},
	}
	return s
}

func orDefault(n, d int) int {
	if n == 0 {
		return d
	}
	return n
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) error {
	return s.server.Serve(ln)
}

// Shutdown takes no more requests and waits for those held.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.ShutdownWithContext(ctx)
}

func (s *Server) handleCompletion(c fiber.Ctx) error {
	r := newRequest(c.RequestCtx())
	r.Inbound.Path = string(c.RequestCtx().Path())
	s.serve(c.RequestCtx(), r)
	return nil
}

func (s *Server) handleService(c fiber.Ctx) error {
	r := newRequest(c.RequestCtx())
	rest := strings.TrimPrefix(r.Inbound.Path, "/services/")
	pool, path, _ := strings.Cut(rest, "/")
	pool, query, hasQuery := strings.Cut(pool, "?")
	r.Inbound.Service = pool
	r.Inbound.ServicePath = "/" + path
	if hasQuery {
		r.Inbound.ServicePath = "/?" + query
	}
	r.Inbound.Header = forwardedHeaders(&c.RequestCtx().Request.Header)
	s.serve(c.RequestCtx(), r)
	return nil
}

func (s *Server) handleUnknown(c fiber.Ctx) error {
	id := s.route.NewID()
	c.RequestCtx().Response.Header.Set(headerID, id)
	writeReply(c.RequestCtx(), refuse.Reply(&fireflypath.Refusal{
		Code: fireflypath.ReasonNoPool, Detail: "no call has this path and method", Run: fireflypath.RunNo, ID: id,
	}))
	closeUnread(c.RequestCtx())
	return nil
}

// newRequest copies what a request needs longer than its connection's buffers.
func newRequest(c *fasthttp.RequestCtx) *request.Request {
	h := &c.Request.Header
	r := &request.Request{}
	r.Inbound = request.Inbound{
		Method:         string(h.Method()),
		Path:           string(h.RequestURI()),
		Token:          bearerToken(h.Peek(fasthttp.HeaderAuthorization)),
		Tier:           string(h.Peek(headerTier)),
		Deadline:       string(h.Peek(headerDeadline)),
		Idempotent:     string(h.Peek(headerIdempotent)),
		IdempotencyKey: string(h.Peek(headerKey)),
	}
	return r
}

func bearerToken(h []byte) string {
	t, ok := strings.CutPrefix(string(h), bearerPrefix)
	if !ok {
		return ""
	}
	return t
}

// droppedHeaders lists the headers that end here: they belong to this connection or are
// meant for this daemon.
var droppedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Host": true, "Authorization": true, "X-Request-Id": true, "Expect": true,
	headerTier: true, headerDeadline: true, headerIdempotent: true, headerKey: true,
}

func forwardedHeaders(h *fasthttp.RequestHeader) map[string]string {
	out := map[string]string{}
	for k, v := range h.All() {
		if !droppedHeaders[string(k)] {
			out[string(k)] = string(v)
		}
	}
	return out
}

// admit reads the body of a request that has a team's key. It reports false if
// the reply is set already.
func (s *Server) admit(c *fasthttp.RequestCtx, r *request.Request) bool {
	rank, known := s.route.Rank(r)
	if known {
		body, ref := s.readBody(c, rank)
		if ref == nil {
			r.Inbound.Body = body
			return true
		}
		s.route.Refuse(r, ref)
	}
	if n := c.Request.Header.ContentLength(); known || n < 0 || n > initialBodyBuffer {
		closeUnread(c) // the library skips a small body itself
	}
	c.Response.Header.Set(headerID, r.Work.ID)
	writeReply(c, r.Reply)
	return false
}

func (s *Server) serve(c *fasthttp.RequestCtx, r *request.Request) {
	if !s.admit(c, r) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	watch := s.disconnects.Add(c.Conn(), cancel)
	s.route.Serve(ctx, r)
	c.Response.Header.Set(headerID, r.Work.ID)
	if r.Reply.Stream != nil {
		r.Reply.Stream = &watchedStream{ReadCloser: r.Reply.Stream, stopWatch: func() {
			s.disconnects.Remove(watch)
			cancel()
		}}
		writeReply(c, r.Reply)
		return
	}
	s.disconnects.Remove(watch)
	cancel()
	writeReply(c, r.Reply)
}

func writeReply(c *fasthttp.RequestCtx, r request.Reply) {
	c.SetStatusCode(r.Status)
	for k, v := range r.Header {
		c.Response.Header.Set(k, v)
	}
	if r.Stream != nil {
		c.SetBodyStream(r.Stream, r.Length)
		return
	}
	c.SetBody(r.Body)
}

// handleParseError answers what the library could not parse.
func (s *Server) handleParseError(c *fasthttp.RequestCtx, err error) {
	ref := &fireflypath.Refusal{Code: fireflypath.ReasonMalformed, Detail: "the request is not HTTP", Run: fireflypath.RunNo, ID: s.route.NewID()}
	reply := refuse.Reply(ref)
	var small *fasthttp.ErrSmallBuffer
	switch {
	case asSmallBuffer(err, &small):
		ref.Code, ref.Detail = fireflypath.ReasonTooLarge, "the header is above the limit"
		reply = refuse.Reply(ref)
		reply.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
	}
	c.Response.Header.Set(headerID, ref.ID)
	writeReply(c, reply)
	c.SetConnectionClose()
}

// discardLogger keeps the library's lines out of the log: they are counters here.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// RefuseConnection answers a connection above the limit and closes it.
func RefuseConnection(c net.Conn) {
	defer c.Close()
	reply := refuse.Reply(&fireflypath.Refusal{
		Code: fireflypath.ReasonFull, Detail: "too many connections", Run: fireflypath.RunNo, RetryAfter: time.Second,
	})
	var resp fasthttp.Response
	resp.SetStatusCode(reply.Status)
	for k, v := range reply.Header {
		resp.Header.Set(k, v)
	}
	resp.SetConnectionClose()
	resp.SetBody(reply.Body)
	if c.SetDeadline(time.Now().Add(time.Second)) == nil {
		_, _ = resp.WriteTo(c)
	}
}
