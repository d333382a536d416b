package gate

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// defaultBody is the body size limit of configurations that set none.
	defaultBody = 4 << 20
	// initialBody is the first size of the buffer for a body of unknown length, in bytes.
	initialBody = 4 << 10
	// bodyRetryAfter is the retry delay for callers whose body finds no memory: most requests end within
	// that time.
	bodyRetryAfter = time.Second
	// discardBodyTimeout bounds the time for the rest of a body that is refused.
	discardBodyTimeout = time.Second
)

// errNoBodyMemory means that the bodies of other requests take up all memory for them.
var errNoBodyMemory = errors.New("no memory for the body")

// readBody reads the request body within the size limit and the memory for bodies.
func (g *Gate) readBody(c *call) *refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := int64(c.cfg.Bounds.Body)
	if limit == 0 {
		limit = defaultBody
	}
	if c.r.ContentLength > limit {
		return tooLarge()
	}
	var err error
	if n := c.r.ContentLength; n > 0 {
		c.body, err = g.readSized(c, n)
	} else {
		c.body, err = g.readChunked(c, limit)
	}
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large):
		return tooLarge()
	case errors.Is(err, errNoBodyMemory):
		g.metrics.bodiesRefused.Inc(1)
		g.discardRequestBody(c, limit)
		return notRun(fireflypath.ReasonFull, err.Error(), bodyRetryAfter)
	}
	return &refusal{status: http.StatusBadRequest, reason: fireflypath.ReasonMalformed, detail: "the body ended early"}
}

func tooLarge() *refusal {
	return &refusal{status: http.StatusRequestEntityTooLarge, reason: fireflypath.ReasonTooLarge, detail: "the body is above the limit"}
}

// readSized reads a body of n bytes.
func (g *Gate) readSized(c *call, n int64) ([]byte, error) {
	if !g.takeBodyMemory(c, n) {
		return nil, errNoBodyMemory
	}
	body := make([]byte, n)
	_, err := io.ReadFull(c.r.Body, body)
	return body, err
}

// readChunked reads a body of unknown length up to a limit.
func (g *Gate) readChunked(c *call, limit int64) ([]byte, error) {
	src := http.MaxBytesReader(c.w, c.r.Body, limit)
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(initialBody, 2*int64(cap(body))), limit+1) // one more byte shows that it is too large
			if !g.takeBodyMemory(c, size-int64(cap(body))) {
				return nil, errNoBodyMemory
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := src.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// discardRequestBody reads the rest of a body that is refused and keeps none of it. The connection would
// otherwise be reset while the caller still sends, and with it the response that says "not run". A
// caller that asks whether to send its body has not sent it.
func (g *Gate) discardRequestBody(c *call, limit int64) {
	if c.r.Header.Get("Expect") != "" {
		return
	}
	rc := http.NewResponseController(c.w)
	if rc.SetReadDeadline(g.deps.Clock.Now().Add(discardBodyTimeout)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, c.r.Body, limit); errors.Is(err, io.EOF) {
		_ = rc.SetReadDeadline(time.Time{}) // an error means that the connection is closed
	}
}

// takeBodyMemory takes n more bytes for the body of a request, until the request ends.
func (g *Gate) takeBodyMemory(c *call, n int64) bool {
	if !g.deps.Bodies.Take(n, c.bodyMemory) {
		return false
	}
	c.bodyMemory += n
	return true
}

// releaseBodyMemory returns what the body of a request has taken.
func (g *Gate) releaseBodyMemory(c *call) {
	if c.bodyMemory == 0 {
		return
	}
	c.body = nil
	g.deps.Bodies.Release(c.bodyMemory)
	c.bodyMemory = 0
	g.metrics.bodyBytes.Update(float64(g.deps.Bodies.Used()))
}
