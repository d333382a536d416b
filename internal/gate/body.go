package gate

import (
	"io"
	"net/http"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/gate/callerconn"
	"github.com/fireflypath/fireflypath/internal/memory"
)

const (
	// defaultBody is the body size limit of configurations that set none.
	defaultBody = 4 << 20
	// discardBodyTimeout bounds the time for each discardStep bytes of a body that is refused. The whole body
	// may take longer, as it arrives through a small receive buffer.
	discardBodyTimeout = time.Second
	// discardStep is how many bytes are discarded at a time.
	discardStep = 64 << 10
	// discardRate bounds the bytes a second that are read of refused bodies, discardBurst how many of them
	// are read at once: a hundred bodies of the default limit.
	discardRate  = 32 << 20
	discardBurst = 100 * defaultBody
)

// readBody reads the request body within the size limit and the memory for bodies. The request's time bounds
// its pauses: a body that arrives slowly, or that this daemon reads slowly, is read to its end. Once it is read, the connection is not closed for others any more.
func (g *Gate) readBody(c *call) *refusal {
	if c.r.ContentLength != 0 {
		if ref := g.readWithinLimits(c); ref != nil {
			return ref
		}
	}
	if !c.conn.SetBusy() {
		return callerGone("the connection was closed for others")
	}
	return nil
}

// readWithinLimits reads the body of a request that has one.
func (g *Gate) readWithinLimits(c *call) *refusal {
	limit := c.maxBody()
	if c.r.ContentLength > int64(limit) {
		return bodyTooLarge()
	}
	progress := func() {
		c.conn.Touch()
		c.limitReading(g.deps.Clock.Now().Add(c.timeLimit))
	}
	progress()
	src := &bodyReader{Reader: http.MaxBytesReader(c.w, c.r.Body, int64(limit)), conn: c.conn, budget: g.deps.Memory, header: c.w.Header(), onProgress: progress}
	c.bodyMemory = g.deps.Memory.ReserveEvictable(0, c.stopReading)
	c.bodyMemory.KeepWhile(c.conn.Readable)
	c.held = append(c.held, c.bodyMemory)
	var err error
	c.body, err = memory.ReadBody(src, int(c.r.ContentLength), limit, c.bodyMemory)
	if err == nil {
		c.bodyRead = true
		c.limitReading(time.Time{})
		return nil
	}
	c.bodyMemory.Close()
	var large *http.MaxBytesError
	switch {
	case c.bodyMemory.Evicted():
		return g.refuseForMemory(c, "the body stalled, and others needed its memory")
	case errors.As(err, &large), errors.Is(err, memory.ErrTooLarge):
		return bodyTooLarge()
	case errors.Is(err, memory.ErrNoMemory):
		return g.refuseForMemory(c, err.Error())
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.w.Header().Set("Connection", "close")
		return &refusal{status: http.StatusRequestTimeout, reason: fireflypath.ReasonDeadline, detail: "nothing more of the body arrived within the request's time"}
	}
	return &refusal{status: http.StatusBadRequest, reason: fireflypath.ReasonMalformed, detail: "the body ended early"}
}

// limitReading bounds the time for reading the body; a zero time removes the bound. A body that never ends
// would otherwise hold its memory and its connection for good.
func (c *call) limitReading(deadline time.Time) {
	// An error means that the connection is closed, or that the server of a test has no deadlines.
	_ = http.NewResponseController(c.w).SetReadDeadline(deadline)
}

// limitUnread bounds the time for which the server waits for the rest of a body before it writes a refusal.
func (g *Gate) limitUnread(c *call) {
	if c.r.ContentLength != 0 && !c.bodyRead && c.w.Header().Get("Connection") == "" {
		c.limitReading(g.deps.Clock.Now().Add(discardBodyTimeout))
	}
}

// stopReading makes the read of the body fail.
func (c *call) stopReading() {
	c.limitReading(time.Unix(1, 0))
}

const (
	// progressStep is after how many bytes a body has made progress.
	progressStep = 64 << 10
	// largeBody is the size in bytes from which a body arrives through a larger receive buffer. Few bodies
	// have that much memory at a time.
	largeBody = 256 << 10
)

// bodyReader reads a body and reports its progress. The rest of a large body arrives
// through a larger receive buffer, at full speed, while there is ample memory. Many large bodies at once get
// none: what they would hold in the kernel when they are refused adds up.
type bodyReader struct {
	io.Reader
	conn   *callerconn.Conn
	budget *memory.Budget
	// header is that of the answer.
	header http.Header
	// onProgress is called for each progressStep bytes.
	onProgress func()
	// n is the number of bytes read, recorded what it was when progress was last recorded.
	n, recorded int
	enlarged    bool
}

// Read implements io.Reader.
func (r *bodyReader) Read(b []byte) (int, error) {
	if r.n-r.recorded >= progressStep {
		r.recorded = r.n
		r.onProgress()
		r.enlargeBuffer()
	}
	n, err := r.Reader.Read(b)
	r.n += n
	return n, err
}

// enlargeBuffer enlarges the receive buffer once, for a large body. The connection ends with the answer: kept, it
// could hold that much unread, and a buffer that shrinks again stalls senders of large packets.
func (r *bodyReader) enlargeBuffer() {
	if r.enlarged || r.n < largeBody || !r.budget.Ample() {
		return
	}
	r.enlarged = true
	if r.conn.EnlargeReceiveBuffer() {
		r.header.Set("Connection", "close")
	}
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
// caller that asks whether to send its body has not sent it. What all callers together have discarded is
// bounded: reading for those that are refused again and again takes the processor from those that are served.
func (g *Gate) discardRequestBody(c *call, limit int64) {
	if c.r.Header.Get("Expect") != "" {
		return
	}
	began := g.deps.Clock.Now()
	for discarded := int64(0); discarded < limit && g.discards.AllowN(began, discardStep); began = g.deps.Clock.Now() {
		c.limitReading(began.Add(discardBodyTimeout))
		n, err := io.CopyN(io.Discard, c.r.Body, discardStep)
		discarded += n
		if errors.Is(err, io.EOF) {
			c.bodyRead = true
			c.limitReading(time.Time{})
			break
		}
		if err != nil {
			break
		}
	}
	// The server may have met the deadline while it looked for the caller to leave, and then takes the
	// callers of all further requests of the connection for gone.
	if !c.bodyRead || g.deps.Clock.Since(began) > discardBodyTimeout/2 {
		c.w.Header().Set("Connection", "close")
	}
}
