package gate

import (
	"context"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/record/draft"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

const (
	// defaultRetryAfter is the retry delay for callers whose request did not run, unless
	// the refusal has its own: new requests are routed elsewhere by then.
	defaultRetryAfter = 300 * time.Millisecond
	// maxUnsentAttempts is the number of targets tried without sending a byte.
	maxUnsentAttempts = 4
)

// outcome is the result of an attempt.
type outcome int

const (
	// outcomeDone means that a response was forwarded, or that a refusal ends the request.
	outcomeDone outcome = iota
	// outcomeNotRun means that the target said that it did not run the request.
	outcomeNotRun
	// outcomeUnknown means that the request may have run but has no usable response.
	outcomeUnknown
)

// forward sends the request to a target and retries at other targets where that is allowed
// and can still help.
func (g *Gate) forward(c *call) *refusal {
	unsent := 0
	for {
		att, ref := g.nextAttempt(c)
		if ref != nil {
			return g.finishFailed(c, ref)
		}
		if ref := g.refuseIfHeld(c); ref != nil {
			g.releaseUnsent(att)
			return g.finishFailed(c, ref)
		}
		out, ref := g.sendAttempt(c, att)
		g.endTracked(c, att, out, ref)
		if out == outcomeDone {
			return ref
		}
		if att.unsent && c.ctx.Err() == nil {
			if unsent++; unsent < maxUnsentAttempts {
				continue // the request has not been sent anywhere
			}
			return g.finishFailed(c, notRun(fireflypath.ReasonTargetRefused, "no target takes connections", defaultRetryAfter))
		}
		c.mayHaveRun = c.mayHaveRun || out == outcomeUnknown
		if c.ctx.Err() != nil {
			return g.finishFailed(c, g.deadlineRefusal(c))
		}
		if reason := g.retryDenied(c, out); reason != "" {
			g.deps.Log.Info("request not retried", zap.String("request", c.id), zap.String("route", c.route.Name),
				zap.String("target", att.target.Name), zap.String("result", att.result), zap.String("why", reason), zap.Stringer("digest", c.digest), c.partsField())
			return g.finishFailed(c, notRun(fireflypath.ReasonTargetRefused, "no target gave an answer: "+att.result, defaultRetryAfter))
		}
		g.metrics.retries.Inc(1)
		g.deps.Log.Info("request retried at another target", zap.String("request", c.id), zap.String("route", c.route.Name),
			zap.String("target", att.target.Name), zap.String("target_version", att.target.Version), zap.String("result", att.result), zap.Int("attempts", len(c.attempts)), zap.Stringer("digest", c.digest), c.partsField())
	}
}

// finishFailed ends a request without a successful response. A failure response of a target
// is forwarded if there is one; a request that may have run is never reported as not run.
func (g *Gate) finishFailed(c *call, ref *refusal) *refusal {
	switch {
	case ref.callerGone:
		return ref
	case c.savedFailure != nil && !c.headerWritten:
		g.writeHeader(c, c.savedFailure.answer, c.bodyLength(c.savedFailure.answer, c.savedFailure.body))
		if _, err := c.w.Write(c.savedFailure.body); err != nil {
			return callerGone(unreadAnswer)
		}
		return nil
	case c.mayHaveRun && ref.status == http.StatusServiceUnavailable:
		return unknownOutcome(ref.detail)
	}
	return ref
}

// deadlineRefusal returns the refusal of a request whose caller disconnected or whose
// deadline passed.
func (g *Gate) deadlineRefusal(c *call) *refusal {
	if c.r.Context().Err() != nil {
		return &refusal{reason: fireflypath.ReasonWithdrawn, detail: "the caller left", callerGone: true}
	}
	if !c.mayHaveRun {
		return notRun(fireflypath.ReasonDeadline, "the request's time is over", defaultRetryAfter)
	}
	return &refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout, detail: "the request's time is over"}
}

// retryDenied returns why the request must not be retried, or "" if it may.
func (g *Gate) retryDenied(c *call, out outcome) string {
	now := g.deps.Clock.Now()
	switch {
	case out == outcomeUnknown && c.route.Repeat != fireflypath.RepeatSafe:
		return "it may have run and is not idempotent"
	case c.headerWritten && !c.route.Resumable:
		return "its answer has begun and cannot be resumed"
	case out == outcomeUnknown && g.countPossibleRuns(c) >= max(c.route.Attempts, 1):
		return "maximum number of attempts reached"
	case c.remaining(now) < minAttemptTime:
		return "not enough time before the deadline"
	case !c.position.Empty() && !c.position.Known():
		g.metrics.splicesRefused.Inc(1)
		return "its events do not tell where the stream goes on"
	case c.lastAttempt().timedOut.Load():
		return "" // watchForSilence took it from the retry budget
	case !g.deps.Limits.TakeRetry(now, c.pool):
		return "retry budget exhausted"
	}
	return ""
}

// minAttemptTime is the minimum time before the deadline for starting another attempt.
const minAttemptTime = 50 * time.Millisecond

// countPossibleRuns returns the number of attempts that may have been run.
func (g *Gate) countPossibleRuns(c *call) int {
	n := 0
	for _, att := range c.attempts {
		if att.Work.Lifecycle.State() == fireflypath.StateFailed {
			n++
		}
	}
	return n
}

// waitForTarget queues the request in its pool until it is assigned a target.
func (g *Gate) waitForTarget(c *call) (*attempt, *refusal) {
	att := &attempt{}
	att.Request = request.Request{
		Work: fireflypath.Work{
			ID: c.id, Rank: c.rank, Pool: c.pool, Arrived: c.arrived, Deadline: c.deadline,
			Goal: c.firstByteDeadline(), Cost: c.cost, Bytes: len(c.body), Weight: 1,
			Gap: c.route.Gap.Std(), ExpectedOutput: c.expectedOutput,
			Idempotent: c.route.Repeat == fireflypath.RepeatSafe, Version: c.version,
		},
		Config: c.cfg, WaitResult: make(chan request.WaitResult, 1),
	}
	if c.team != nil {
		att.Work.Team = c.team.Name
	}
	if g.deps.Fair {
		att.Work.Weight = c.table.Weight(c.team)
	}
	g.identifyReturn(c, &att.Work)
	if p := c.route.Patience.Std(); p > 0 && c.chunks == 0 {
		att.Work.PatienceEnds = c.arrived.Add(p)
	}
	for _, o := range c.attempts {
		att.Work.Avoid = append(att.Work.Avoid, o.target.Name)
	}
	att.Draft = draft.New(g.deps.Recorder, &att.Work, c.cfg.Generation)
	pool := g.deps.Pools.Pool(c.cfg, c.pool)
	if pool == nil {
		return nil, notRun(fireflypath.ReasonNoPool, "the pool was removed", defaultRetryAfter)
	}
	if !g.deps.Pools.ReserveBytes(&att.Work) {
		return nil, notRun(fireflypath.ReasonFull, "the waiting requests take up all memory allowed", time.Second)
	}
	c.attempts = append(c.attempts, att)
	att.pool, att.Owner = pool, pool
	if err := pool.Wait(c.ctx, &att.Request); err != nil {
		return nil, g.waitRefusal(c, att, err)
	}
	att.target = att.Target
	return att, nil
}

// firstByteGoal returns the goal for the time to the first byte of the response.
func (c *call) firstByteGoal() time.Duration {
	if d := c.route.Goal.Std(); d > 0 {
		return d
	}
	return defaultGoal
}

// firstByteDeadline returns when the response should begin, counted from the caller's first
// attempt.
func (c *call) firstByteDeadline() time.Time {
	return c.arrived.Add(c.firstByteGoal() - c.callerElapsed)
}

// waitRefusal converts the error of a wait to a refusal.
func (g *Gate) waitRefusal(c *call, att *attempt, err error) *refusal {
	var ref *fireflypath.Refusal
	if !errors.As(err, &ref) {
		return notRun(fireflypath.ReasonFull, err.Error(), defaultRetryAfter)
	}
	att.result = string(ref.Code)
	if ref.Code == fireflypath.ReasonWithdrawn {
		return g.deadlineRefusal(c)
	}
	return notRun(ref.Code, ref.Detail, ref.RetryAfter)
}

// sendAttempt sends the request to its target and forwards the response.
func (g *Gate) sendAttempt(c *call, att *attempt) (outcome, *refusal) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	var a *http1.Response
	for unsent := 0; ; unsent++ {
		var err error
		g.recordOrigin(c, att)
		stop := g.watchForSilence(c, att, cancel)
		a, err = g.deps.Client.Send(ctx, att.target, g.targetRequest(c, att))
		stop()
		if err == nil {
			break
		}
		if !errors.Is(err, fireflypath.ErrUnsent) {
			att.result = err.Error()
			g.reportCrash(c, att, err)
			g.markFailed(c, att)
			return outcomeUnknown, nil
		}
		g.deps.Log.Info("request not sent to target", zap.String("request", c.id), zap.String("target", att.target.Name), logs.Err(err))
		att.PathLost = errors.Is(err, http1.ErrPathLost)
		att.rollout.Unsent()
		if att.direct {
			att.unsent, att.result = true, err.Error()
			g.markNotRun(att)
			return outcomeNotRun, nil
		}
		if ref := g.requeueUnsent(c, att, unsent); ref != nil {
			return outcomeDone, g.finishFailed(c, ref)
		}
		if ref := g.refuseIfHeld(c); ref != nil {
			g.releaseUnsent(att)
			return outcomeDone, g.finishFailed(c, ref)
		}
		var redirected bool
		if _, att.rollout, redirected = g.deps.Rollouts.Begin(c.route.Name, att.target, false); redirected {
			g.releaseUnsent(att)
			att.unsent = true
			return outcomeNotRun, nil
		}
	}
	defer a.Close()
	att.status = a.Status
	g.observeTarget(att, a)
	return g.relayAnswer(c, att, a)
}

// silentFactor times its first-byte goal is how long a retryable request waits for the
// response to begin before it is sent to another target. Plain services take up to 1.5
// times the goal in normal operation; a target that lost power sends nothing at all, and
// without the limit the caller's deadline would pass.
const silentFactor = 2

// watchForSilence cancels an attempt whose target stays silent, if the request may be
// retried. It takes from the retry budget first: cancelled without a possible retry, the
// request would be lost.
func (g *Gate) watchForSilence(c *call, att *attempt, cancel context.CancelFunc) (stop func()) {
	if c.route.Repeat != fireflypath.RepeatSafe || c.route.Form != fireflypath.FormWhole || len(c.attempts) >= c.route.Attempts {
		return func() {}
	}
	limit := silentFactor * c.firstByteGoal()
	if c.remaining(g.deps.Clock.Now()) < 2*limit {
		limit = c.remaining(g.deps.Clock.Now()) / 2
	}
	timer := g.deps.Clock.AfterFunc(limit, func() {
		if g.deps.Limits.TakeRetry(g.deps.Clock.Now(), c.pool) {
			att.timedOut.Store(true)
			cancel()
		}
	})
	return func() { timer.Stop() }
}

// requeueUnsent lets a request of which no byte was sent wait for a target again.
func (g *Gate) requeueUnsent(c *call, att *attempt, n int) *refusal {
	att.RequeueVersion = c.version
	if err := att.Owner.Requeue(c.ctx, &att.Request); err != nil {
		return g.waitRefusal(c, att, err)
	}
	att.target = att.Target
	if n < maxUnsentAttempts {
		return nil
	}
	g.markNotRun(att)
	return notRun(fireflypath.ReasonTargetRefused, "no target takes connections", defaultRetryAfter)
}

// markFailed ends an attempt that may have run.
func (g *Gate) markFailed(c *call, att *attempt) {
	c.mayHaveRun = true
	att.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateFailed)
	if att.direct {
		return
	}
	att.pool.Observe(fireflypath.Event{
		Kind: fireflypath.EventFailed, Target: att.target.Name, Work: &att.Work, Sent: att.Sent, Tokens: att.Tokens, Cached: -1,
		NotByTarget: att.pathLost || c.r.Context().Err() != nil,
	})
}

// markNotRun ends an attempt that its target did not run.
func (g *Gate) markNotRun(att *attempt) {
	att.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateWithdrawn)
	att.Owner.Notify(&att.Request, fireflypath.EventRefused, -1)
}

// markAnswered ends an attempt with a complete response.
func (g *Gate) markAnswered(att *attempt) {
	att.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateAnswered)
	att.Owner.Notify(&att.Request, fireflypath.EventDone, -1)
}

// hopByHopRequestHeaders are the request headers that apply to a single connection.
var hopByHopRequestHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// targetRequest returns the request to send to the target.
func (g *Gate) targetRequest(c *call, att *attempt) *http1.Request {
	h := make(http.Header, len(c.r.Header)+3)
	drop := connectionNamed(c.r.Header)
	for name, values := range c.r.Header {
		if !g.droppedHeaders[name] && !drop[name] {
			h[name] = values
		}
	}
	h[g.headers.Deadline] = []string{strconv.FormatInt(max(c.remaining(g.deps.Clock.Now()).Milliseconds(), 1), 10)}
	h[g.headers.Target] = []string{att.target.Name}
	if c.team != nil {
		h[g.headers.Team] = []string{c.team.Name}
	}
	if c.lastEvent != "" {
		h[http1.CanonicalHeader(g.headers.Event)] = []string{c.lastEvent}
	}
	return &http1.Request{
		ID: c.id, Method: c.r.Method, URI: c.requestURI(), Host: c.r.Host, Header: h, Body: c.body,
		HasBody: c.r.ContentLength != 0 || c.r.Header.Get("Content-Length") != "" || c.r.Method == http.MethodPost,
	}
}

// connectionNamed returns the headers listed in the Connection header.
func connectionNamed(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	out := map[string]bool{}
	for _, v := range values {
		for _, name := range strings.Split(v, ",") {
			out[textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return out
}
