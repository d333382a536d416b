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
	// memoryRetryAfter is the retry delay for callers whose request finds no memory: most requests end
	// within that time.
	memoryRetryAfter = time.Second
	// writeGrace is for how long after its deadline a request's answer may still be written to a caller
	// that reads slowly.
	writeGrace = time.Second
	// initialAnswer is the memory in bytes for an answer of which nothing has arrived.
	initialAnswer = 4 << 10
)

// reserve returns a reservation that is released when the request ends.
func (g *Gate) reserve(c *call, kind memory.Kind) *memory.Reservation {
	r := g.deps.Memory.Reserve(kind)
	c.held = append(c.held, r)
	return r
}

// releaseMemory releases all that is held for a request.
func (g *Gate) releaseMemory(c *call) {
	for _, r := range c.held {
		r.Close()
	}
	c.body, c.savedFailure = nil, nil
	g.metrics.recordMemory(g.deps.Memory.Usage())
}

// releaseBody releases a body that no further attempt needs.
func (c *call) releaseBody() {
	if c.bodyMemory != nil {
		c.body = nil
		c.bodyMemory.Close()
	}
}

// refuseIfMemoryFull refuses new work before its body is read while what runs uses all memory. Answers
// to it would come on top.
func (g *Gate) refuseIfMemoryFull(c *call) *refusal {
	if g.deps.Memory.Full() {
		return g.refuseForMemory(c, "no memory for a request")
	}
	return nil
}

// refuseForMemory refuses a request that finds no memory, once its body has been read.
func (g *Gate) refuseForMemory(c *call, detail string) *refusal {
	g.discardRequestBody(c, int64(c.maxBody()))
	g.metrics.refusedForMemory.Inc(1)
	ref := notRun(fireflypath.ReasonFull, detail, memoryRetryAfter)
	ref.usage = g.deps.Memory.Usage()
	return ref
}

// readAnswer reads a response up to maxBufferedAnswer, or as far as there is memory for it. complete is
// true if that is all of it.
func readAnswer(a io.Reader, length int64, r *memory.Reservation) (body []byte, complete bool, err error) {
	size := initialAnswer
	if length >= 0 && length < initialAnswer {
		size = int(length) + 1 // one more byte lets the end be read
	}
	r.Add(size)
	body = make([]byte, 0, size)
	for {
		if len(body) == cap(body) {
			size := min(2*cap(body), maxBufferedAnswer)
			if len(body) >= maxBufferedAnswer || !r.Grow(size-cap(body)) {
				return body, false, nil
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := a.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, true, nil
		}
		if err != nil {
			return body, false, err
		}
	}
}

// limitWriting bounds the time for writing the answer. A caller that stops reading would otherwise hold
// its body, its answer and a target's slot for as long as it keeps its connection; enough of them leave
// no memory for the bodies of others.
func (c *call) limitWriting(deadline time.Time) {
	// An error means that the connection is closed, or that the writer has none.
	_ = http.NewResponseController(c.w).SetWriteDeadline(deadline.Add(writeGrace))
}
