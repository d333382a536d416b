package gate

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/memory"
)

// durationBuckets double from 1 ms to about 33 s, to exceed the deadlines in use.
var durationBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 16)

// metrics counts requests and their outcomes.
type metrics struct {
	scope   tally.Scope
	retries tally.Counter
	// unconfirmedUnits counts quota units granted without a decision of the quota's
	// coordinator.
	unconfirmedUnits tally.Counter
	// limitsNamed counts answers in which the target named a rate limit, leavingNamed those in
	// which it announced that it is leaving.
	limitsNamed, leavingNamed tally.Counter
	// brittleNamed counts answers in which the target said that it is brittle.
	brittleNamed tally.Counter
	// backoffsAsked counts requests that a target turned away asking for a time without more.
	backoffsAsked tally.Counter
	// endedByClose counts responses that ended with their connection, partialEvents streams that
	// ended in the middle of an event.
	endedByClose, partialEvents tally.Counter
	// lastEventUnresumable counts requests with the id of a last event on routes that cannot be resumed,
	// splices streams that went on at another target within one response, splicesRefused those that were
	// broken off because the other target did not go on where they broke, or could not be told to.
	lastEventUnresumable, splices, splicesRefused tally.Counter
	// heldAtStart counts requests that waited for the first configuration.
	heldAtStart tally.Counter
	// heldBytes is the memory in use by kind, refusedForMemory counts requests that found none.
	heldBytes        [memory.KindCount]tally.Gauge
	refusedForMemory tally.Counter
	returns          returnMetrics
	byRank           [16]*rankMetrics
}

type rankMetrics struct {
	requests, served, late, truncated, refused tally.Counter
	wait, firstByte                            tally.Histogram
}

func newMetrics(scope tally.Scope) *metrics {
	scope = scope.SubScope("gate")
	m := &metrics{
		scope: scope, retries: scope.Counter("repeats"), unconfirmedUnits: scope.Counter("quota_unjudged"), limitsNamed: scope.Counter("target_limits"), leavingNamed: scope.Counter("target_leaving"), backoffsAsked: scope.Counter("target_backoffs"), brittleNamed: scope.Counter("target_brittle"),
		returns:      newReturnMetrics(scope),
		endedByClose: scope.Counter("ended_by_close"), partialEvents: scope.Counter("partial_events"),
		lastEventUnresumable: scope.Counter("last_event_unresumable"), splices: scope.Counter("splices"), splicesRefused: scope.Counter("splices_refused"),
		heldAtStart:      scope.Counter("held_at_start"),
		refusedForMemory: scope.Counter("refused_for_memory"),
	}
	for k := range m.heldBytes {
		m.heldBytes[k] = scope.Tagged(map[string]string{"kind": memory.Kind(k).String()}).Gauge("held_bytes")
	}
	for i := range m.byRank {
		s := scope.Tagged(map[string]string{"rank": strconv.Itoa(i)})
		m.byRank[i] = &rankMetrics{
			requests: s.Counter("requests"), served: s.Counter("whole"), late: s.Counter("late"),
			truncated: s.Counter("broken"), refused: s.Counter("refused"),
			wait: s.Histogram("wait_seconds", durationBuckets), firstByte: s.Histogram("first_seconds", durationBuckets),
		}
	}
	return m
}

// recordMemory records the memory in use.
func (m *metrics) recordMemory(usage memory.Usage) {
	for k, n := range usage {
		m.heldBytes[k].Update(float64(n))
	}
}

// finish records and logs the end of a request.
func (g *Gate) finish(c *call) {
	now := g.deps.Clock.Now()
	if c.quotaUnits > 0 && !c.mayHaveUsedQuota() {
		g.deps.Limits.Refund(now, c.team, c.quotaUnits)
	}
	m := g.metrics.byRank[min(max(c.rank, 0), len(g.metrics.byRank)-1)]
	m.requests.Inc(1)
	switch {
	case c.truncated:
		m.truncated.Inc(1)
	case c.refusal != nil:
		m.refused.Inc(1)
	case c.isLate():
		m.late.Inc(1)
	default:
		m.served.Inc(1)
	}
	if !c.firstByte.IsZero() {
		m.firstByte.RecordDuration(c.firstByte.Sub(c.arrived))
	}
	g.countReturn(c)
	g.logEnd(c, now)
	for _, att := range c.attempts {
		att.Draft.End(now, att.Work.Lifecycle.State(), att.Tokens, nil)
	}
}

// isLate reports whether the response began after its goal or paused for longer than the
// route allows.
func (c *call) isLate() bool {
	if c.route == nil {
		return false
	}
	gap := c.route.Gap.Std()
	return c.firstByte.After(c.firstByteDeadline()) || gap > 0 && c.maxGap > gap
}

// mayHaveUsedQuota reports whether the request was served or may have run, so that the units
// taken for it are not refunded.
func (c *call) mayHaveUsedQuota() bool {
	return c.mayHaveRun || c.refusal == nil
}

// logEnd logs the outcome of a request and what determined it.
func (g *Gate) logEnd(c *call, now time.Time) {
	fields := make([]zap.Field, 0, 29)
	fields = append(fields, zap.String("request", c.id), zap.Int("status", c.status),
		zap.Duration("took", now.Sub(c.arrived)), zap.Uint64("version", c.cfg.Version),
		zap.Duration("age", c.viewAge))
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.Int("rank", c.rank), zap.String("pool", c.pool))
	}
	if c.team != nil {
		fields = append(fields, zap.String("team", c.team.Name))
	}
	if !c.firstByte.IsZero() {
		fields = append(fields, zap.Duration("first", c.firstByte.Sub(c.arrived)))
	}
	if c.unconfirmed {
		fields = append(fields, zap.Float64("unjudged", c.quotaUnits))
	}
	fields = append(fields, g.lastEventFields(c)...)
	if c.resumes != "" {
		fields = append(fields, zap.String("resumes", c.resumes), zap.String("after", c.r.Header.Get(g.headers.Event)))
	}
	fields = append(fields, g.returnFields(c)...)
	if c.digest != 0 {
		fields = append(fields, zap.Stringer("digest", c.digest), c.partsField())
	}
	if att := c.lastAttempt(); att != nil && !att.Sent.IsZero() {
		fields = append(fields, zap.String("target", att.target.Name), zap.String("target_version", att.target.Version), zap.Int("attempts", len(c.attempts)),
			zap.Duration("waited", att.Sent.Sub(c.arrived)), zap.Int("events", c.chunks),
			zap.Duration("gap", c.maxGap), zap.Stringer("framing", att.framing), zap.Int("partial_event", att.partialEvent), zap.Int("prompt", c.cost.Prompt), zap.Int("output", c.expectedOutput))
	}
	if ref := c.refusal; ref != nil {
		fields = append(fields, zap.String("step", ref.step), zap.String("reason", string(ref.reason)),
			zap.String("detail", ref.detail), zap.Duration("retry", ref.retryAfter), zap.Bool("ran", c.mayHaveRun))
		if ref.usage != (memory.Usage{}) {
			fields = append(fields, zap.Stringer("held", ref.usage))
		}
		g.deps.Log.Info("request refused", fields...)
		return
	}
	g.deps.Log.Info("request served", fields...)
}

// lastEventFields returns what the caller said of the last event that it has, if it did.
func (g *Gate) lastEventFields(c *call) []zap.Field {
	id := c.r.Header.Get(g.headers.Event)
	if id == "" {
		return nil
	}
	return []zap.Field{zap.String("last_event", shortID(id)), zap.Bool("resumable", c.route != nil && c.route.Resumable)}
}

// maxLoggedID is the length in bytes up to which the id of an event is logged: callers and targets choose it.
const maxLoggedID = 64

// shortID returns the part of an event's id that is logged.
func shortID(id string) string {
	return id[:min(len(id), maxLoggedID)]
}
