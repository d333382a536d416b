package caller

import (
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/caller/bodies"
)

const (
	// defaultBodies is half of what may wait by default: a body is read in
	// milliseconds and waits for seconds.
	defaultBodies = 64 << 20
	// firstPart is the memory for a body before any of it came. It holds most
	// requests whole; a larger one doubles it as bytes come, so that a length
	// that is only declared holds nothing.
	firstPart = 32 << 10
	// prefetch is what the library reads before it calls the handler, in bytes:
	// next to nothing, so that nobody without a key has a body read. It cannot
	// be 0: a caller that sends a length and no byte has its answer at the read
	// timeout.
	prefetch = 1
	// again is when memory for a body is likely free: bodies are read at once
	// by most callers.
	again = time.Second
)

// lingerer is a connection that reads what still comes before it closes.
type lingerer interface{ Linger() }

// body reads a request's body, or says why not.
func (s *Server) body(c *fasthttp.RequestCtx, rank int) ([]byte, *fireflypath.Refusal) {
	in := c.Request.BodyStream()
	if in == nil {
		return nil, nil
	}
	n := c.Request.Header.ContentLength()
	if n > s.largest {
		return nil, refusal(fireflypath.ReasonTooLarge, "the body is above the limit")
	}
	conn := c.Conn()
	held := s.bodies.Open(rank, func() { _ = conn.SetReadDeadline(time.Unix(1, 0)) })
	defer held.Close()
	buf, ref := s.fill(in, n, held)
	if held.Gave() {
		return nil, crowded("memory for the body went to a higher tier")
	}
	return buf, ref
}

// fill reads n bytes, or to the end if n is below 0.
func (s *Server) fill(in io.Reader, n int, held *bodies.Body) ([]byte, *fireflypath.Refusal) {
	most := n
	if n < 0 {
		most = s.largest + 1 // one more shows that it is too large
	}
	var buf []byte
	for {
		if len(buf) == cap(buf) && len(buf) < most {
			size := min(most, max(firstPart, 2*cap(buf)))
			if !held.Grow(size - cap(buf)) {
				return nil, crowded("no memory for the body")
			}
			buf = append(make([]byte, 0, size), buf...)
		}
		got, err := in.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+got]
		switch {
		case len(buf) > s.largest:
			return nil, refusal(fireflypath.ReasonTooLarge, "the body is above the limit")
		case n >= 0 && len(buf) == n, err == io.EOF && n < 0:
			return buf, nil
		case err != nil:
			return nil, refusal(fireflypath.ReasonMalformed, "the body did not arrive whole")
		}
	}
}

func refusal(code fireflypath.Reason, detail string) *fireflypath.Refusal {
	return &fireflypath.Refusal{Code: code, Detail: detail, Run: fireflypath.RunNo}
}

func crowded(detail string) *fireflypath.Refusal {
	ref := refusal(fireflypath.ReasonFull, detail)
	ref.RetryAfter = again
	return ref
}

// unread ends the connection of a request whose body may not have been read.
// The answer goes out first. A plain close would reset the connection while the
// caller still sends, and it would lose the answer that says "not run".
func unread(c *fasthttp.RequestCtx) {
	if c.Request.BodyStream() == nil {
		return
	}
	c.SetConnectionClose()
	if l, ok := c.Conn().(lingerer); ok {
		l.Linger()
	}
}
