package gate

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/fireflypath/fireflypath"
)

// The gate's own reasons, besides those of the root package.
const (
	// reasonStaleView is a view of the configuration that may be too old.
	reasonStaleView fireflypath.Reason = "old-view"
	// reasonQuota is a team that used up its quota.
	reasonQuota fireflypath.Reason = "quota"
	// reasonHeld is a request that ended targets.
	reasonHeld fireflypath.Reason = "held"
	// reasonTimeout is a request whose time ended while its target worked on it.
	reasonTimeout fireflypath.Reason = "timeout"
)

// refusal is an answer that this daemon makes.
type refusal struct {
	status int
	reason fireflypath.Reason
	detail string
	// retryAfter is when the caller may come back; 0 if that is of no use.
	retryAfter time.Duration
	// step is where the way ended.
	step string
	// callerGone is true if the caller has left: nobody reads the answer.
	callerGone bool
}

// refuse writes the refusal, or breaks an answer off that has begun.
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
	c.headerWritten = true
	c.w.WriteHeader(ref.status)
	// A caller that is gone is noticed by the connection's end.
	_, _ = c.w.Write(body)
}

// unknownOutcome is the refusal of a request whose outcome is unknown.
func unknownOutcome(detail string) *refusal {
	return &refusal{status: http.StatusBadGateway, reason: fireflypath.ReasonTarget, detail: detail}
}

// notRun is the refusal of a request that no target has run.
func notRun(reason fireflypath.Reason, detail string, retry time.Duration) *refusal {
	return &refusal{status: http.StatusServiceUnavailable, reason: reason, detail: detail, retryAfter: retry}
}
