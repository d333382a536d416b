package caller

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/caller/bodies"
)

const (
	// defaultBodyMemory is half of what may wait by default: a body is read in
	// milliseconds and waits for seconds.
	defaultBodyMemory = 64 << 20
	// initialBodyBuffer is the memory for a body before any of it came. It holds most
	// requests whole; a larger one doubles it as bytes come, so that a length
	// that is only declared holds nothing.
	initialBodyBuffer = 32 << 10
	// prefetchedBody is what the library reads before it calls the handler, in bytes:
	// next to nothing, so that nobody without a key has a body read. It cannot
	// be 0: a caller that sends a length and no byte has its answer at the read
	// timeout.
	prefetchedBody = 1
	// bodyRetryAfter is when memory for a body is likely free: bodies are read at once
	// by most callers.
	bodyRetryAfter = time.Second
)

// lingerConn is a connection that reads what still comes before it closes.
type lingerConn interface{ Linger() }

// readBody reads a request's body, or says why not.
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
	reservation := s.bodies.Reserve(rank, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	defer reservation.Close()
	body, refusal := s.readInto(stream, length, reservation)
	if reservation.Evicted() {
		return nil, fullRefusal("memory for the body went to a higher tier")
	}
	return body, refusal
}

// readInto reads n bytes, or to the end if n is below 0.
func (s *Server) readInto(stream io.Reader, length int, reservation *bodies.Reservation) ([]byte, *fireflypath.Refusal) {
	maxLen := length
	if length < 0 {
		maxLen = s.maxBody + 1 // one more shows that it is too large
	}
	var buf []byte
	for {
		if len(buf) == cap(buf) && len(buf) < maxLen {
			size := min(maxLen, max(initialBodyBuffer, 2*cap(buf)))
			if !reservation.Grow(size - cap(buf)) {
				return nil, fullRefusal("no memory for the body")
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		read, err := stream.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+read]
		switch {
		case len(buf) > s.maxBody:
			return nil, newRefusal(fireflypath.ReasonTooLarge, "the body is above the limit")
		case length >= 0 && len(buf) == length, err == io.EOF && length < 0:
			return buf, nil
		case err != nil:
			return nil, newRefusal(fireflypath.ReasonMalformed, "the body did not arrive whole")
		}
	}
}

func newRefusal(code fireflypath.Reason, detail string) *fireflypath.Refusal {
	return &fireflypath.Refusal{Code: code, Detail: detail, Run: fireflypath.RunNo}
}

func fullRefusal(detail string) *fireflypath.Refusal {
	ref := newRefusal(fireflypath.ReasonFull, detail)
	ref.RetryAfter = bodyRetryAfter
	return ref
}

// closeUnread ends the connection of a request whose body may not have been read.
// The answer goes out first. A plain close would reset the connection while the
// caller still sends, and it would lose the answer that says "not run".
func closeUnread(c *fasthttp.RequestCtx) {
	if c.Request.BodyStream() == nil {
		return
	}
	c.SetConnectionClose()
	if l, ok := c.Conn().(lingerConn); ok {
		l.Linger()
	}
}
