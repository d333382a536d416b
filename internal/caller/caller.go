// Package caller is the HTTP server for callers.
package caller

import (
	"context"
	"net"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/caller/disconnect"
	"github.com/fireflypath/fireflypath/internal/memory"
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
	// defaultMaxBody is enough for a prompt of a million tokens of 4 bytes.
	defaultMaxBody = 4 << 20
	// defaultMaxHeader is the limit of most servers.
	defaultMaxHeader = 16 << 10
	// readTimeout bounds the time to read a request. Requests that are sent slowly could
	// otherwise occupy all connections.
	readTimeout = 30 * time.Second
	// idleTimeout is above the keep-alive time of common load balancers (60 s), so that the
	// balancer closes a connection first and never sends on a closed one.
	idleTimeout = 75 * time.Second
)

// Route runs a request and sets its reply.
type Route interface {
	Serve(ctx context.Context, r *request.Request)
	// NewID returns an id for a refusal that no request belongs to.
	NewID() string
	// Rank returns the rank of the request's tier, which its header names. It returns
	// false and sets the reply if the request is refused because of its header.
	Rank(r *request.Request) (int, bool)
	// Refuse sets the reply to a refusal of a request whose body was not read.
	Refuse(r *request.Request, ref *fireflypath.Refusal)
}

// Server accepts the requests of callers and hands them to a Route.
type Server struct {
	route       Route
	disconnects *disconnect.Watcher
	server      *fasthttp.Server
	bodies      *memory.Budget
	// maxBody bounds the body of a request in bytes.
	maxBody int
}

// New returns a server that does not listen yet.
func New(route Route, disconnects *disconnect.Watcher, limits settings.Limits) *Server {
	maxBody := orDefault(limits.Body, defaultMaxBody)
	bodyMemory := max(maxBody+1, orDefault(limits.PendingBodies, defaultBodyMemory))
	s := &Server{
		route: route, disconnects: disconnects, maxBody: maxBody,
		bodies: memory.New(clockwork.NewRealClock(), bodyMemory, bodyMemory),
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

// Shutdown stops accepting requests and waits for those in progress.
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

// newRequest copies the header fields that are needed after the buffers of the connection are
// reused.
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

// droppedHeaders lists the headers that are not forwarded to targets: those that apply to
// one connection only and those that are addressed to the daemon.
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

// admit reads the body of a request whose header is accepted. It returns false if the
// request was refused and the reply is written.
func (s *Server) admit(c *fasthttp.RequestCtx, r *request.Request) bool {
	rank, accepted := s.route.Rank(r)
	if accepted {
		body, ref := s.readBody(c, rank)
		if ref == nil {
			r.Inbound.Body = body
			return true
		}
		s.route.Refuse(r, ref)
	}
	if n := c.Request.Header.ContentLength(); accepted || n < 0 || n > memory.InitialBuffer {
		closeUnread(c) // the library reads and discards a small body itself
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

// handleParseError responds to a request that the library could not parse.
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

// discardLogger discards the log lines of the library: what they report is counted in
// metrics instead.
type discardLogger struct{}

// Printf does nothing.
func (discardLogger) Printf(string, ...any) {}

// RefuseConnection sends a refusal on a connection above the limit and closes it.
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
