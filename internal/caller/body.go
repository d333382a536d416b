package caller

import (
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/memory"
)

const (
	// defaultBodyMemory bounds the memory in bytes for bodies that are being read. It is
	// half of the default limit for waiting requests, because a body is read in
	// milliseconds and a request waits for seconds.
	defaultBodyMemory = 64 << 20
	// prefetchedBody is how many bytes of a body the library reads before it calls the
	// handler. It is as small as possible, so that no body is read for a caller without a
	// key. It cannot be 0, so a caller that declares a length and sends no byte gets its
	// response only at the read timeout.
	prefetchedBody = 1
	// bodyRetryAfter is the time after which memory for a body is likely available, because
	// most callers send their body at once.
	bodyRetryAfter = time.Second
)

// lingerConn is a connection that can read the remaining input before it closes.
type lingerConn interface{ Linger() }

// readBody reads the body of a request, or returns the reason why it is refused.
func (s *Server) readBody(ctx *fasthttp.RequestCtx, rank int) ([]byte, *fireflypath.Refusal) {
	stream := ctx.Request.BodyStream()
	if stream == nil {
		return nil, nil
	}
	length := ctx.Request.Header.ContentLength()
	if length > s.maxBody {
		return nil, newRefusal(fireflypath.ReasonTooLarge, "the body is above the limit")
	}
	conn := ctx.Conn()
	reservation := s.bodies.ReserveEvictable(rank, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	defer reservation.Close()
	body, err := memory.ReadBody(stream, length, s.maxBody, reservation)
	switch {
	case reservation.Evicted():
		return nil, fullRefusal("memory for the body went to a higher tier")
	case errors.Is(err, memory.ErrNoMemory):
		return nil, fullRefusal(err.Error())
	case errors.Is(err, memory.ErrTooLarge):
		return nil, newRefusal(fireflypath.ReasonTooLarge, err.Error())
	case err != nil:
		return nil, newRefusal(fireflypath.ReasonMalformed, "the body did not arrive whole")
	}
	return body, nil
}

func newRefusal(code fireflypath.Reason, detail string) *fireflypath.Refusal {
	return &fireflypath.Refusal{Code: code, Detail: detail, Run: fireflypath.RunNo}
}

func fullRefusal(detail string) *fireflypath.Refusal {
	ref := newRefusal(fireflypath.ReasonFull, detail)
	ref.RetryAfter = bodyRetryAfter
	return ref
}

// closeUnread closes the connection of a request whose body may not have been read, after the
// response was sent. An immediate close would reset the connection while the caller is still
// sending, and the caller would lose the response that says "not run".
func closeUnread(c *fasthttp.RequestCtx) {
	if c.Request.BodyStream() == nil {
		return
	}
	c.SetConnectionClose()
	if l, ok := c.Conn().(lingerConn); ok {
		l.Linger()
	}
}
