package gate

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/memory"
)

// Refusal reasons in addition to those of the root package.
const (
	// reasonStaleView means that the view of the configuration may be outdated.
	reasonStaleView fireflypath.Reason = "old-view"
	// reasonQuota means that the team's quota is exhausted.
	reasonQuota fireflypath.Reason = "quota"
	// reasonHeld means that the request is quarantined because it crashed targets.
	reasonHeld fireflypath.Reason = "held"
	// reasonUnknownOrigin means that nobody knows at which version a stream began that the caller
	// resumes, or that its pool does not serve the route any longer.
	reasonUnknownOrigin fireflypath.Reason = "unknown-origin"
	// reasonTimeout means that the deadline passed while a target ran the request.
	reasonTimeout fireflypath.Reason = "timeout"
)

// refusal is an error response made by this daemon.
type refusal struct {
	status int
	reason fireflypath.Reason
	detail string
	// retryAfter is when the caller may retry; 0 if a retry cannot help.
	retryAfter time.Duration
	// step is the processing step that refused the request.
	step string
	// usage is the memory in use when the request found none.
	usage memory.Usage
	// callerGone is true if the caller disconnected, so that no response is written.
	callerGone bool
}

// refuse writes the refusal, or truncates the response if its header was already written.
func (g *Gate) refuse(c *call, ref *refusal) {
	c.refusal = ref
	c.status = ref.status
	if c.headerWritten || ref.callerGone {
		c.truncated = true
		return
	}
	h := c.w.Header()
	h.Set("Content-Type", "application/json")
	if c.id != "" {
		h.Set(g.headers.ID, c.id)
	}
	if ref.retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(ref.retryAfter.Seconds(), 'f', 3, 64))
	}
	run := fireflypath.RunNo
	if c.mayHaveRun {
		run = fireflypath.RunUnknown
	}
	body, err := json.Marshal(struct {
		Code   fireflypath.Reason `json:"code"`
		Detail string             `json:"detail"`
		Run    fireflypath.Run    `json:"run"`
	}{ref.reason, ref.detail, run})
	if err != nil {
		body = nil
	}
	g.limitUnread(c)
	c.headerWritten = true
	c.w.WriteHeader(ref.status)
	// An error means that the caller disconnected, which net/http detects by itself.
	_, _ = c.w.Write(body)
}

// unknownOutcome returns the refusal of a request that may have run.
func unknownOutcome(detail string) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: fireflypath.ReasonTarget, detail: detail}
}

// unreadAnswer is the detail of a request whose answer could not be written.
const unreadAnswer = "the caller left or did not read its answer"

// callerGone returns the refusal of a request whose caller cannot get an answer any more.
func callerGone(detail string) *refusal {
	return &refusal{reason: fireflypath.ReasonWithdrawn, detail: detail, callerGone: true}
}

// refuseExcess refuses the request of a connection above the limit. All connections below it carry requests.
func (g *Gate) refuseExcess(c *call) *refusal {
	if !c.conn.Excess() {
		return nil
	}
	c.w.Header().Set("Connection", "close")
	return notRun(fireflypath.ReasonFull, "too many connections", memoryRetryAfter)
}

// notRun returns the refusal of a request that no target has run.
func notRun(reason fireflypath.Reason, detail string, retry time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, detail: detail, retryAfter: retry}
}
