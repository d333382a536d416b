package gate

import (
	"io"
	"mime"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/gate/events"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/memory"
)

const (
	// maxBufferedAnswer is the size in bytes up to which a response is read completely
	// before it is forwarded. If it breaks off, the caller gets a clear error or another
	// target's response instead of a truncated one.
	maxBufferedAnswer = 256 << 10
	// chunkSize is the read size for larger responses.
	chunkSize = 32 << 10
	// discardTimeout bounds the time for a body that nobody reads, which is sent with its header.
	discardTimeout = 200 * time.Millisecond
)

// relayAnswer forwards a target's response, unless its status or headers rule that out.
func (g *Gate) relayAnswer(c *call, att *attempt, a *http1.Response) (outcome, *refusal) {
	if a.Header.Get(g.headers.NotRun) != "" || a.Status == http.StatusMisdirectedRequest {
		att.result = "not run, status " + strconv.Itoa(a.Status)
		g.discardBody(a)
		g.markNotRun(att)
		return outcomeNotRun, nil
	}
	if a.Header.Get(g.headers.Signature) == "" {
		att.result = "answer without a signature, status " + strconv.Itoa(a.Status)
		g.markFailed(c, att)
		return outcomeUnknown, nil
	}
	if notRunStatuses[a.Status] {
		// Callers would read the status as "not run", which the target did not say.
		att.result = "status " + strconv.Itoa(a.Status) + " of a target that may have run it"
		g.discardBody(a)
		g.markFailed(c, att)
		return outcomeUnknown, nil
	}
	if c.route.Form == fireflypath.FormEvents && a.Status/100 == 2 && !isDocument(a.Header) {
		return g.relayStream(c, att, a)
	}
	if c.headerWritten {
		// The stream has begun at another target. Written into it, this answer would look like its end.
		att.result = "no stream in answer to a resumed one, status " + strconv.Itoa(a.Status)
		g.discardBody(a)
		g.markFailed(c, att)
		return outcomeUnknown, nil
	}
	return g.relayBuffered(c, att, a)
}

// isDocument reports whether a target answers with a JSON document instead of events. Read as events,
// it would be a partial one.
func isDocument(h http.Header) bool {
	mediaType, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && (mediaType == "application/json" || strings.HasSuffix(mediaType, "+json"))
}

// notRunStatuses are the statuses from which callers conclude that a request did not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// discardBody reads a short response body to its end, so that the connection can be reused. One that
// does not end soon is left to be closed: the request waits meanwhile to be sent to another target.
func (g *Gate) discardBody(a *http1.Response) {
	if a.SetReadDeadline(g.deps.Clock.Now().Add(discardTimeout)) != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, a, chunkSize); errors.Is(err, io.EOF) {
		_ = a.SetReadDeadline(time.Time{}) // an error means that the connection is closed
	}
}

// relayBuffered reads a response up to maxBufferedAnswer before forwarding it.
func (g *Gate) relayBuffered(c *call, att *attempt, a *http1.Response) (outcome, *refusal) {
	held := g.reserve(c, memory.KindAnswers)
	body, complete, err := readAnswer(a, a.ContentLength, held)
	g.recordFirstByte(c, att)
	g.recordEnd(att, a, 0)
	if err != nil {
		held.Close()
		att.result = "answer broke off: " + err.Error()
		g.reportCrash(c, att, err)
		g.markFailed(c, att)
		return outcomeUnknown, nil
	}
	if a.Status >= http.StatusInternalServerError && c.route.Repeat == fireflypath.RepeatSafe && complete {
		// Another target may succeed.
		att.result = "status " + strconv.Itoa(a.Status)
		c.saveFailure(&savedAnswer{answer: a, body: body, memory: held})
		g.markFailed(c, att)
		return outcomeUnknown, nil
	}
	if a.BodyWritten() {
		c.releaseBody()
	}
	if complete {
		g.markAnswered(att)
		g.reportServed(c, att, a.Status)
		att.result = "status " + strconv.Itoa(a.Status)
		g.writeHeader(c, a, c.bodyLength(a, body))
		if _, err := c.w.Write(body); err != nil {
			c.mayHaveRun = true
			return outcomeDone, callerGone(unreadAnswer)
		}
		return outcomeDone, nil
	}
	return g.relayLong(c, att, a, body, held)
}

// saveFailure keeps a failure response in place of an earlier one.
func (c *call) saveFailure(s *savedAnswer) {
	if c.savedFailure != nil {
		c.savedFailure.memory.Close()
	}
	c.savedFailure = s
}

// bodyLength returns the length to declare for a response that was read completely.
func (c *call) bodyLength(a *http1.Response, body []byte) int64 {
	if c.r.Method == http.MethodHead {
		return a.ContentLength // that of the body which GET would return
	}
	return int64(len(body))
}

// relayLong forwards a response that is too long to buffer: first what was buffered of it,
// then the rest as it arrives. held is the memory of the buffer, which is used for the rest if it is small.
func (g *Gate) relayLong(c *call, att *attempt, a *http1.Response, buffered []byte, held *memory.Reservation) (outcome, *refusal) {
	g.writeHeader(c, a, a.ContentLength)
	if _, err := c.w.Write(buffered); err != nil {
		return g.callerLeft(c, att)
	}
	buf := buffered[:cap(buffered)]
	if len(buf) > chunkSize {
		held.Close()
		g.reserve(c, memory.KindAnswers).Add(chunkSize)
		buf = make([]byte, chunkSize)
	}
	for {
		n, err := a.Read(buf)
		if _, werr := c.w.Write(buf[:n]); werr != nil {
			return g.callerLeft(c, att)
		}
		if errors.Is(err, io.EOF) {
			g.markAnswered(att)
			g.reportServed(c, att, a.Status)
			return outcomeDone, nil
		}
		if err != nil {
			att.result = "answer broke off: " + err.Error()
			g.reportCrash(c, att, err)
			g.markFailed(c, att)
			return outcomeDone, unknownOutcome(att.result)
		}
	}
}

// callerLeft ends an attempt whose caller disconnected.
func (g *Gate) callerLeft(c *call, att *attempt) (outcome, *refusal) {
	att.result = "the caller left"
	g.markFailed(c, att)
	return outcomeDone, callerGone(att.result)
}

// relayStream forwards complete events as they arrive.
func (g *Gate) relayStream(c *call, att *attempt, a *http1.Response) (outcome, *refusal) {
	held := g.reserve(c, memory.KindEvents)
	defer held.Close()
	src := c.eventReader(a, held)
	for {
		chunk, err := src.Next()
		g.recordSplice(c, att, src)
		if err != nil {
			g.recordEnd(att, a, src.Partial())
		}
		if errors.Is(err, events.ErrPartialEvent) {
			err = a.BrokenOff(err)
		}
		c.position = src.Position()
		if len(chunk) > 0 {
			g.recordFirstByte(c, att)
			c.version = att.target.Version
			if !c.headerWritten {
				g.writeHeader(c, a, -1)
			}
			if _, werr := c.w.Write(chunk); werr != nil {
				return g.callerLeft(c, att)
			}
			c.flush()
			now := g.deps.Clock.Now()
			c.recordGap(now)
			att.rollout.Progress(now)
			c.chunks++
			c.lastEvent, c.source = src.LastID(), att
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			return g.endStream(c, att, a)
		}
		att.result = "stream broke off: " + err.Error()
		if errors.Is(err, events.ErrNotContinued) {
			g.metrics.splicesRefused.Inc(1)
			g.markFailed(c, att)
			return outcomeDone, unknownOutcome(att.result)
		}
		g.reportCrash(c, att, err)
		g.markFailed(c, att)
		return outcomeUnknown, nil
	}
}

// eventReader returns the reader for a target's events, which go on after those that were passed on.
func (c *call) eventReader(a *http1.Response, held *memory.Reservation) *events.Reader {
	if c.position.Empty() {
		return events.NewReader(a, c.lastEvent, held)
	}
	return events.Continue(a, c.position, held)
}

// endStream ends a stream that its target has completed.
func (g *Gate) endStream(c *call, att *attempt, a *http1.Response) (outcome, *refusal) {
	if !c.headerWritten {
		g.writeHeader(c, a, -1)
	}
	att.Tokens = c.chunks
	att.result = "status " + strconv.Itoa(a.Status)
	g.markAnswered(att)
	g.reportServed(c, att, a.Status)
	if att.framing == http1.FramingClose && !c.endsWithConn {
		// The header announced an end that can be told from a break, and this one cannot.
		return outcomeDone, unknownOutcome("the stream was resumed and ended with its connection")
	}
	return outcomeDone, nil
}

// recordSplice records once that the stream of a response goes on with the events of another target.
func (g *Gate) recordSplice(c *call, att *attempt, src *events.Reader) {
	from := c.source
	if from == nil || from == att || att.spliced {
		return
	}
	att.spliced = true
	g.metrics.splices.Inc(1)
	g.deps.Log.Info("stream goes on at another target", zap.String("request", c.id), zap.String("route", c.route.Name),
		zap.String("pool", c.pool), zap.Int("events", c.chunks), zap.String("after", shortID(c.lastEvent)),
		zap.String("first", shortID(src.FirstID())), zap.Int("repeats", src.Repeats()),
		zap.String("from", from.target.Name), zap.String("from_version", from.target.Version),
		zap.String("target", att.target.Name), zap.String("target_version", att.target.Version))
}

// recordEnd records how the response of an attempt ended. partialEvent is the number of bytes that
// followed the last event of a stream.
func (g *Gate) recordEnd(att *attempt, a *http1.Response, partialEvent int) {
	att.framing, att.partialEvent = a.Framing(), partialEvent
	if att.framing == http1.FramingClose {
		g.metrics.endedByClose.Inc(1)
	}
	if partialEvent > 0 {
		g.metrics.partialEvents.Inc(1)
	}
}

// recordFirstByte records that the response of an attempt began.
func (g *Gate) recordFirstByte(c *call, att *attempt) {
	if att.started {
		return
	}
	att.started = true
	att.rollout.First()
	if c.firstByte.IsZero() {
		c.firstByte = g.deps.Clock.Now()
	}
	att.Draft.First(c.firstByte)
	att.Owner.Notify(&att.Request, fireflypath.EventFirstOutput, -1)
}

// writeHeader writes the response's status and headers.
func (g *Gate) writeHeader(c *call, a *http1.Response, length int64) {
	h := c.w.Header()
	drop := connectionNamed(a.Header)
	for name, values := range a.Header {
		if !hopByHopResponseHeaders[name] && !drop[name] {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // otherwise net/http sniffs one
	}
	unframed := a.Framing() == http1.FramingClose
	switch {
	case unframed: // the caller gets no other proof of its end than this daemon has
		h["Transfer-Encoding"] = []string{"identity"} // makes net/http send neither chunks nor a length
	case length >= 0:
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.endsWithConn = unframed || length < 0 && !c.r.ProtoAtLeast(1, 1)
	if c.endsWithConn {
		g.logLinger(c, c.conn.Guard())
	}
	c.headerWritten = true
	c.status = a.Status
	c.w.WriteHeader(a.Status)
}

// endInOrder lets a complete response end with its connection.
func (g *Gate) endInOrder(c *call) {
	if !c.endsWithConn {
		return
	}
	// Until all is written, the end of this daemon cuts the response off.
	if err := http.NewResponseController(c.w).Flush(); err != nil {
		c.conn.Break()
		return
	}
	g.logLinger(c, c.conn.Release())
}

// logLinger logs that a caller may not be able to tell the end of a response from a break.
func (g *Gate) logLinger(c *call, err error) {
	if err != nil {
		g.deps.Log.Info("end of connection could not be set", zap.String("request", c.id), logs.Err(err))
	}
}

// hopByHopResponseHeaders are the response headers that apply to a single connection.
var hopByHopResponseHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true,
}

// recordGap records the time since the last chunk.
func (c *call) recordGap(now time.Time) {
	if !c.lastSent.IsZero() {
		c.maxGap = max(c.maxGap, now.Sub(c.lastSent))
	}
	c.lastSent = now
}

// flush sends buffered data to the caller.
func (c *call) flush() {
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}
