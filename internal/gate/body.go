package gate

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/memory"
)

const (
	// defaultBody is the body size limit of configurations that set none.
	defaultBody = 4 << 20
	// discardBodyTimeout bounds the time for the rest of a body that is refused.
	discardBodyTimeout = time.Second
)

// readBody reads the request body within the size limit and the memory for bodies.
func (g *Gate) readBody(c *call) *refusal {
	if c.r.ContentLength == 0 {
		return nil
	}
	limit := c.maxBody()
	if c.r.ContentLength > int64(limit) {
		return bodyTooLarge()
	}
	c.bodyMemory = g.reserve(c, memory.KindBodies)
	var err error
	c.body, err = memory.ReadBody(http.MaxBytesReader(c.w, c.r.Body, int64(limit)), int(c.r.ContentLength), limit, c.bodyMemory)
	var large *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &large), errors.Is(err, memory.ErrTooLarge):
		return bodyTooLarge()
	case errors.Is(err, memory.ErrNoMemory):
		return g.refuseForMemory(c, err.Error())
	}
	return &refusal{status: http.StatusBadRequest, reason: fireflypath.ReasonMalformed, detail: "the body ended early"}
}

// maxBody returns the body size limit in bytes.
func (c *call) maxBody() int {
	if c.cfg.Bounds.Body == 0 {
		return defaultBody
	}
	return c.cfg.Bounds.Body
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
