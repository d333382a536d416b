package gate

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/bodies"
)

const (
	// defaultBody is the body size limit of configurations that set none.
	defaultBody = 4 << 20
	// bodyRetryAfter is the retry delay for callers whose body finds no memory: most requests end within
	// that time.
	bodyRetryAfter = time.Second
	// writeGrace is for how long after its deadline a request's answer may still be written to a caller
	// that reads slowly.
	writeGrace = time.Second
	// discardBodyTimeout bounds the time for the rest of a body that is refused.
	discardBodyTimeout = time.Second
)

// readBody reads the request body within the size limit and the memory for bodies.
func (g *Gate) readBody(c *call) *refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := c.cfg.Bounds.Body
	if limit == 0 {
		limit = defaultBody
	}
	if c.r.ContentLength > int64(limit) {
		return bodyTooLarge()
	}
	// All have the same rank: a body is needed until its request ends, so that none is evicted.
	c.reservation = g.deps.Bodies.Reserve(0, func() {})
	var err error
	c.body, err = bodies.Read(http.MaxBytesReader(c.w, c.r.Body, int64(limit)), int(c.r.ContentLength), limit, c.reservation)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large), errors.Is(err, bodies.ErrTooLarge):
		return bodyTooLarge()
	case errors.Is(err, bodies.ErrNoMemory):
		g.metrics.bodiesRefused.Inc(1)
		g.discardRequestBody(c, int64(limit))
		return notRun(fireflypath.ReasonFull, err.Error(), bodyRetryAfter)
	}
	return &refusal{status: http.StatusBadRequest, reason: fireflypath.ReasonMalformed, detail: "the body ended early"}
}

func bodyTooLarge() *refusal {
	return &refusal{status: http.StatusRequestEntityTooLarge, reason: fireflypath.ReasonTooLarge, detail: "the body is above the limit"}
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

// releaseBody returns the memory of a request's body.
func (g *Gate) releaseBody(c *call) {
	if c.reservation == nil {
		return
	}
	c.body = nil
	c.reservation.Close()
	g.metrics.bodyBytes.Update(float64(g.deps.Bodies.Used()))
}

// limitWriting bounds the time for writing the answer. A caller that stops reading would otherwise hold
// its body, its answer and a target's slot for as long as it keeps its connection; enough of them leave
// no memory for the bodies of others.
func (c *call) limitWriting(deadline time.Time) {
	// An error means that the connection is closed, or that the writer has none.
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline.Add(writeGrace))
}
