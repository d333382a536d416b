// Package meter counts the outcomes of requests.
package meter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// buckets double from 1 ms, the latency of the network itself, to about four
// minutes, which is above the longest deadline in use.
var buckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 18)

// Meter holds the metrics of each tier, so that a request needs one map lookup.
type Meter struct {
	scope tally.Scope
	tiers sync.Map // map[string]*tierMetrics
}

// tierMetrics holds the metrics of one tier.
type tierMetrics struct {
	scope    tally.Scope
	requests tally.Counter
	// goodput counts complete answers before the deadline, late those after it.
	goodput tally.Counter
	late    tally.Counter
	tokens  tally.Counter
	// wait is the time from arrival to dispatch, latency from arrival to the end of
	// a complete answer.
	wait    tally.Histogram
	latency tally.Histogram
	refused sync.Map // map[fireflypath.Reason]tally.Counter
}

// New returns a Meter that reports to the scope.
func New(scope tally.Scope) *Meter {
	return &Meter{scope: scope}
}

// RecordEnd counts the end of a request; refusal is nil for a complete answer.
func (m *Meter) RecordEnd(now time.Time, r *request.Request, refusal *fireflypath.Refusal) {
	t := m.forTier(r.Work.Tier)
	t.requests.Inc(1)
	if !r.Sent.IsZero() {
		t.wait.RecordDuration(r.Sent.Sub(r.Work.Arrived))
	}
	if r.Tokens > 0 {
		t.tokens.Inc(int64(r.Tokens))
	}
	if refusal != nil {
		t.refusedCounter(refusal.Code).Inc(1)
		return
	}
	t.latency.RecordDuration(now.Sub(r.Work.Arrived))
	if now.After(r.Work.Deadline) {
		t.late.Inc(1)
		return
	}
	t.goodput.Inc(1)
}

func (m *Meter) forTier(name string) *tierMetrics {
	if t, ok := m.tiers.Load(name); ok {
		return t.(*tierMetrics)
	}
	tag := name
	if tag == "" {
		tag = "none"
	}
	s := m.scope.Tagged(map[string]string{"tier": tag})
	t, _ := m.tiers.LoadOrStore(name, &tierMetrics{
		scope:    s,
		requests: s.Counter("requests"),
		goodput:  s.Counter("goodput"),
		late:     s.Counter("late"),
		tokens:   s.Counter("output_tokens"),
		wait:     s.Histogram("wait_seconds", buckets),
		latency:  s.Histogram("latency_seconds", buckets),
	})
	return t.(*tierMetrics)
}

func (t *tierMetrics) refusedCounter(code fireflypath.Reason) tally.Counter {
	if c, ok := t.refused.Load(code); ok {
		return c.(tally.Counter)
	}
	c, _ := t.refused.LoadOrStore(code, t.scope.Tagged(map[string]string{"code": string(code)}).Counter("refused"))
	return c.(tally.Counter)
}
