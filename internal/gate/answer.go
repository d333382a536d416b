package gate

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/gate/events"
	"github.com/fireflypath/fireflypath/internal/http1"
)

const (
	// maxBufferedAnswer is the size of an answer that is read whole before it is passed
	// on: if it breaks off, the caller gets a clear failure, or another target's
	// answer, instead of half of one.
	maxBufferedAnswer = 256 << 10
	// chunkSize is how much of a longer answer is read at once.
	chunkSize = 32 << 10
)

// relayAnswer passes a target's answer on.
func (g *Gate) relayAnswer(c *call, t *attempt, a *http1.Answer) (outcome, *refusal) {
	if a.Header.Get(g.headers.NotRun) != "" || a.Status == http.StatusMisdirectedRequest {
		t.result = "not run, status " + strconv.Itoa(a.Status)
		g.discardBody(a)
		g.markNotRun(t)
		return outcomeNotRun, nil
	}
	if a.Header.Get(g.headers.Signature) == "" {
		t.result = "answer without a signature, status " + strconv.Itoa(a.Status)
		g.markFailed(c, t)
		return outcomeUnknown, nil
	}
	if notRunStatuses[a.Status] {
		// Passed on, it would say that the request did not run. The target has not
		// said so.
		t.result = "status " + strconv.Itoa(a.Status) + " of a target that may have run it"
		g.discardBody(a)
		g.markFailed(c, t)
		return outcomeUnknown, nil
	}
	if c.route.Form == fireflypath.FormEvents && a.Status/100 == 2 {
		return g.relayStream(c, t, a)
	}
	return g.relayBuffered(c, t, a)
}

// notRunStatuses are the statuses by which callers read that a request did not run.
var notRunStatuses = map[int]bool{
	http.StatusRequestTimeout: true, http.StatusTooManyRequests: true, http.StatusServiceUnavailable: true,
}

// discardBody reads a short answer to its end, so that its connection can be kept.
func (g *Gate) discardBody(a *http1.Answer) {
	_, _ = io.CopyN(io.Discard, a, chunkSize)
}

// relayBuffered passes on an answer that counts only when it is complete.
func (g *Gate) relayBuffered(c *call, t *attempt, a *http1.Answer) (outcome, *refusal) {
	body, err := io.ReadAll(io.LimitReader(a, maxBufferedAnswer))
	g.recordFirstByte(c, t)
	if err != nil {
		t.result = "answer broke off: " + err.Error()
		g.reportCrash(c, t, err)
		g.markFailed(c, t)
		return outcomeUnknown, nil
	}
	if a.Status >= http.StatusInternalServerError && c.route.Repeat == fireflypath.RepeatSafe && len(body) < maxBufferedAnswer {
		// The target failed by itself; another one may not.
		t.result = "status " + strconv.Itoa(a.Status)
		c.savedFailure = &savedAnswer{answer: a, body: body}
		g.markFailed(c, t)
		return outcomeUnknown, nil
	}
	if len(body) < maxBufferedAnswer {
		g.markAnswered(t)
		g.reportServed(c, t, a.Status)
		t.result = "status " + strconv.Itoa(a.Status)
		g.writeHeader(c, a, int64(len(body)))
		_, _ = c.w.Write(body)
		return outcomeDone, nil
	}
	return g.relayLong(c, t, a, body)
}

// relayLong passes on an answer that is too long to hold.
func (g *Gate) relayLong(c *call, t *attempt, a *http1.Answer, begin []byte) (outcome, *refusal) {
	g.writeHeader(c, a, a.Length)
	if _, err := c.w.Write(begin); err != nil {
		return g.callerLeft(c, t)
	}
	buf := make([]byte, chunkSize)
	for {
		n, err := a.Read(buf)
		if _, werr := c.w.Write(buf[:n]); werr != nil {
			return g.callerLeft(c, t)
		}
		if errors.Is(err, io.EOF) {
			g.markAnswered(t)
			g.reportServed(c, t, a.Status)
			return outcomeDone, nil
		}
		if err != nil {
			t.result = "answer broke off: " + err.Error()
			g.reportCrash(c, t, err)
			g.markFailed(c, t)
			return outcomeDone, unknownOutcome(t.result)
		}
	}
}

// callerLeft ends an attempt whose caller left.
func (g *Gate) callerLeft(c *call, t *attempt) (outcome, *refusal) {
	t.result = "the caller left"
	g.markFailed(c, t)
	return outcomeDone, &refusal{reason: fireflypath.ReasonWithdrawn, detail: t.result, callerGone: true}
}

// relayStream passes events on as they come, whole ones only.
func (g *Gate) relayStream(c *call, t *attempt, a *http1.Answer) (outcome, *refusal) {
	src := events.NewReader(a, c.lastEvent)
	for {
		chunk, err := src.Next()
		if len(chunk) > 0 {
			g.recordFirstByte(c, t)
			if !c.headerWritten {
				g.writeHeader(c, a, -1)
			}
			if _, werr := c.w.Write(chunk); werr != nil {
				return g.callerLeft(c, t)
			}
			c.flush()
			c.recordGap(g.deps.Clock.Now())
			c.chunks++
			c.lastEvent = src.LastID()
		}
		if err == nil {
			continue
		}
		if errors.Is(err, io.EOF) {
			if !c.headerWritten {
				g.writeHeader(c, a, -1)
			}
			t.Tokens = c.chunks
			t.result = "status " + strconv.Itoa(a.Status)
			g.markAnswered(t)
			g.reportServed(c, t, a.Status)
			return outcomeDone, nil
		}
		t.result = "stream broke off: " + err.Error()
		g.reportCrash(c, t, err)
		g.markFailed(c, t)
		return outcomeUnknown, nil
	}
}

// recordFirstByte tells that the answer began.
func (g *Gate) recordFirstByte(c *call, t *attempt) {
	if t.started {
		return
	}
	t.started = true
	if c.firstByte.IsZero() {
		c.firstByte = g.deps.Clock.Now()
	}
	t.Draft.First(c.firstByte)
	t.Owner.Tell(&t.Request, fireflypath.EventFirst, -1)
}

// writeHeader writes the answer's status and headers.
func (g *Gate) writeHeader(c *call, a *http1.Answer, length int64) {
	h := c.w.Header()
	drop := connectionNamed(a.Header)
	for name, values := range a.Header {
		if !connectionHeaders[name] && !drop[name] {
			h[name] = values
		}
	}
	if _, ok := h["Content-Type"]; !ok {
		h["Content-Type"] = nil // else the library guesses one
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	c.headerWritten = true
	c.status = a.Status
	c.w.WriteHeader(a.Status)
}

// connectionHeaders are the headers of an answer that concern one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Transfer-Encoding": true,
	"Trailer": true, "Upgrade": true, "Content-Length": true,
}

// recordGap measures the time since the last piece.
func (c *call) recordGap(now time.Time) {
	if !c.lastSent.IsZero() {
		c.maxGap = max(c.maxGap, now.Sub(c.lastSent))
	}
	c.lastSent = now
}

// flush sends what was written.
func (c *call) flush() {
	if f, ok := c.w.(http.Flusher); ok {
		f.Flush()
	}
}
