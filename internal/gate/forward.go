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
	// retryAfterTargetRefusal is told to callers whose request a target refused: its refusal has
	// steered new work elsewhere by then.
	retryAfterTargetRefusal = 300 * time.Millisecond
	// maxUnsentAttempts bounds the targets that are tried without a byte leaving.
	maxUnsentAttempts = 4
)

// outcome is what an attempt came to.
type outcome int

const (
	// outcomeDone is an answer passed on, or a refusal that ends the request.
	outcomeDone outcome = iota
	// outcomeNotRun is a target's word that it did not run the request.
	outcomeNotRun
	// outcomeUnknown is an attempt that may have been run, without a usable answer.
	outcomeUnknown
)

// forward gives the request to a target, and to others as long as that is
// allowed and of use.
func (g *Gate) forward(c *call) *refusal {
	for {
		t, ref := g.waitForTarget(c)
		if ref != nil {
			return g.finishFailed(c, ref)
		}
		if ref := g.refuseIfHeld(c); ref != nil {
			g.releaseUnsent(t)
			return g.finishFailed(c, ref)
		}
		out, ref := g.sendAttempt(c, t)
		if out == outcomeDone {
			return ref
		}
		c.mayHaveRun = c.mayHaveRun || out == outcomeUnknown
		if c.ctx.Err() != nil {
			return g.finishFailed(c, g.deadlineRefusal(c))
		}
		if why := g.retryDenied(c, out); why != "" {
			g.deps.Log.Info("no further attempt", zap.String("request", c.id), zap.String("route", c.route.Name),
				zap.String("target", t.target.Name), zap.String("result", t.result), zap.String("why", why), zap.Stringer("digest", c.digest))
			return g.finishFailed(c, notRun(fireflypath.ReasonTargetRefused, "no target gave an answer: "+t.result, retryAfterTargetRefusal))
		}
		g.metrics.retries.Inc(1)
		g.deps.Log.Info("another attempt", zap.String("request", c.id), zap.String("route", c.route.Name),
			zap.String("target", t.target.Name), zap.String("result", t.result), zap.Int("attempts", len(c.attempts)), zap.Stringer("digest", c.digest))
	}
}

// finishFailed is the end of a request without a good answer. A failure that a target
// answered is passed on; what may have run is never called "not run".
func (g *Gate) finishFailed(c *call, ref *refusal) *refusal {
	switch {
	case ref.callerGone:
		return ref
	case c.savedFailure != nil && !c.headerWritten:
		g.writeHeader(c, c.savedFailure.answer, int64(len(c.savedFailure.body)))
		// A caller that is gone is noticed by the connection's end.
		_, _ = c.w.Write(c.savedFailure.body)
		return nil
	case c.mayHaveRun && ref.status == http.StatusServiceUnavailable:
		return unknownOutcome(ref.detail)
	}
	return ref
}

// deadlineRefusal is the end of a request whose caller left or whose time is over.
func (g *Gate) deadlineRefusal(c *call) *refusal {
	if c.r.Context().Err() != nil {
		return &refusal{reason: fireflypath.ReasonWithdrawn, detail: "the caller left", callerGone: true}
	}
	if !c.mayHaveRun {
		return notRun(fireflypath.ReasonDeadline, "the request's time is over", retryAfterTargetRefusal)
	}
	return &refusal{status: http.StatusGatewayTimeout, reason: reasonTimeout, detail: "the request's time is over"}
}

// retryDenied says why the request gets no further attempt, or nothing if it does.
func (g *Gate) retryDenied(c *call, out outcome) string {
	now := g.deps.Clock.Now()
	switch {
	case out == outcomeUnknown && c.route.Repeat != fireflypath.RepeatSafe:
		return "it may have run and may not be repeated"
	case out == outcomeUnknown && g.countPossibleRuns(c) >= max(c.route.Attempts, 1):
		return "its attempts are used up"
	case c.remaining(now) < minAttemptTime:
		return "its time is over"
	case c.lastAttempt().timedOut.Load():
		return "" // taken from the budget when it was given up
	case !g.deps.Limits.TakeRetry(now, c.pool):
		return "the retry budget is used up"
	}
	return ""
}

// minAttemptTime is the least time left in which another attempt can bring an answer.
const minAttemptTime = 50 * time.Millisecond

// countPossibleRuns counts the attempts that may have been run.
func (g *Gate) countPossibleRuns(c *call) int {
	n := 0
	for _, t := range c.attempts {
		if t.Work.Life.State() == fireflypath.StateFailed {
			n++
		}
	}
	return n
}

// waitForTarget lets the request wait for a target.
func (g *Gate) waitForTarget(c *call) (*attempt, *refusal) {
	t := &attempt{}
	t.Request = request.Request{
		Work: fireflypath.Work{
			ID: c.id, Rank: c.rank, Pool: c.pool, Arrived: c.arrived, Deadline: c.deadline,
			Goal: c.firstByteDeadline(), Cost: c.cost, Bytes: len(c.body), Weight: 1,
			Gap: c.route.Gap.Std(), Output: c.expectedOutput,
			Idempotent: c.route.Repeat == fireflypath.RepeatSafe,
		},
		Config: c.cfg, Turn: make(chan request.Turn, 1),
	}
	if c.team != nil {
		t.Work.Team = c.team.Name
	}
	if p := c.route.Patience.Std(); p > 0 && c.chunks == 0 {
		t.Work.Leaves = c.arrived.Add(p)
	}
	for _, o := range c.attempts {
		t.Work.Avoid = append(t.Work.Avoid, o.target.Name)
	}
	t.Draft = draft.New(g.deps.Recorder, &t.Work, c.cfg.Generation)
	pool := g.deps.Pools.Pool(c.cfg, c.pool)
	if pool == nil {
		return nil, notRun(fireflypath.ReasonNoPool, "the pool was removed", retryAfterTargetRefusal)
	}
	if !g.deps.Pools.Reserve(&t.Work) {
		return nil, notRun(fireflypath.ReasonFull, "the waiting requests take up all memory allowed", time.Second)
	}
	c.attempts = append(c.attempts, t)
	t.pool, t.Owner = pool, pool
	if err := pool.Wait(c.ctx, &t.Request); err != nil {
		return nil, g.waitRefusal(c, t, err)
	}
	t.target = t.Target
	return t, nil
}

// firstByteGoal is how soon an answer should begin.
func (c *call) firstByteGoal() time.Duration {
	if d := c.route.Goal.Std(); d > 0 {
		return d
	}
	return defaultGoal
}

// firstByteDeadline is when the answer should have begun, counted from the caller's first attempt.
func (c *call) firstByteDeadline() time.Time {
	return c.arrived.Add(c.firstByteGoal() - c.callerElapsed)
}

// waitRefusal turns the end of a wait into a refusal.
func (g *Gate) waitRefusal(c *call, t *attempt, err error) *refusal {
	var ref *fireflypath.Refusal
	if !errors.As(err, &ref) {
		return notRun(fireflypath.ReasonFull, err.Error(), retryAfterTargetRefusal)
	}
	t.result = string(ref.Code)
	if ref.Code == fireflypath.ReasonWithdrawn {
		return g.deadlineRefusal(c)
	}
	return notRun(ref.Code, ref.Detail, ref.RetryAfter)
}

// sendAttempt sends the request to its target and passes the answer on.
func (g *Gate) sendAttempt(c *call, t *attempt) (outcome, *refusal) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	var a *http1.Answer
	for unsent := 0; ; unsent++ {
		var err error
		stop := g.watchForSilence(c, t, cancel)
		a, err = g.deps.Client.Send(ctx, t.target, g.targetRequest(c, t))
		stop()
		if err == nil {
			break
		}
		if !errors.Is(err, fireflypath.ErrUnsent) {
			t.result = err.Error()
			g.reportCrash(c, t, err)
			g.markFailed(c, t)
			return outcomeUnknown, nil
		}
		g.deps.Log.Info("target took no connection", zap.String("request", c.id), zap.String("target", t.target.Name), logs.Cause(err))
		if ref := g.requeueUnsent(c, t, unsent); ref != nil {
			return outcomeDone, g.finishFailed(c, ref)
		}
	}
	defer a.Close()
	g.observeLoad(t, a)
	return g.relayAnswer(c, t, a)
}

// silentFactor is how many times its goal a request that may be repeated waits for
// the begin of an answer before it is given to another target. Work of plain
// services takes up to one and a half times the goal when all is well; a target
// that lost its power says nothing at all, and the caller's time would end with
// it.
const silentFactor = 2

// watchForSilence gives up on a target that stays silent, if the request may be repeated
// and the retry budget has room for that. The budget is taken before the
// connection is cut: cut without a second attempt, the request would be lost.
func (g *Gate) watchForSilence(c *call, t *attempt, cancel context.CancelFunc) (stop func()) {
	if c.route.Repeat != fireflypath.RepeatSafe || c.route.Form != fireflypath.FormWhole || len(c.attempts) >= c.route.Attempts {
		return func() {}
	}
	limit := silentFactor * c.firstByteGoal()
	if c.remaining(g.deps.Clock.Now()) < 2*limit {
		limit = c.remaining(g.deps.Clock.Now()) / 2
	}
	timer := g.deps.Clock.AfterFunc(limit, func() {
		if g.deps.Limits.TakeRetry(g.deps.Clock.Now(), c.pool) {
			t.timedOut.Store(true)
			cancel()
		}
	})
	return func() { timer.Stop() }
}

// requeueUnsent lets a request wait again of which no byte left.
func (g *Gate) requeueUnsent(c *call, t *attempt, n int) *refusal {
	if err := t.Owner.Again(c.ctx, &t.Request); err != nil {
		return g.waitRefusal(c, t, err)
	}
	t.target = t.Target
	if n < maxUnsentAttempts {
		return nil
	}
	g.markNotRun(t)
	return notRun(fireflypath.ReasonTargetRefused, "no target takes connections", retryAfterTargetRefusal)
}

// markFailed ends an attempt that may have run.
func (g *Gate) markFailed(c *call, t *attempt) {
	t.Work.Life.Move(fireflypath.StateDispatched, fireflypath.StateFailed)
	t.pool.Observe(fireflypath.Event{
		Kind: fireflypath.EventFailed, Target: t.target.Name, Work: &t.Work, Sent: t.Sent, Tokens: t.Tokens, Cached: -1,
		Left: c.r.Context().Err() != nil,
	})
}

// markNotRun ends an attempt that its target did not run.
func (g *Gate) markNotRun(t *attempt) {
	t.Work.Life.Move(fireflypath.StateDispatched, fireflypath.StateWithdrawn)
	t.Owner.Tell(&t.Request, fireflypath.EventRefused, -1)
}

// markAnswered ends an attempt that was answered whole.
func (g *Gate) markAnswered(t *attempt) {
	t.Work.Life.Move(fireflypath.StateDispatched, fireflypath.StateAnswered)
	t.Owner.Tell(&t.Request, fireflypath.EventDone, -1)
}

// observeLoad passes on what the target says of its load.
func (g *Gate) observeLoad(t *attempt, a *http1.Answer) {
	l, ok := g.deps.Codec.Load(a.Header.Get(g.headers.Load))
	if !ok {
		return
	}
	g.deps.Pools.Observe(fireflypath.Event{
		Kind: fireflypath.EventReport, Target: t.target.Name, Incarnation: t.target.Incarnation, Cached: -1,
		Report: fireflypath.Report{Measured: g.deps.Clock.Now(), Running: l.Running, Waiting: l.Waiting, Batch: l.Slots},
	})
}

// hopByHop are the headers that concern one connection only.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Host", "Expect",
}

// targetRequest is the request as the target gets it.
func (g *Gate) targetRequest(c *call, t *attempt) *http1.Request {
	h := make(http.Header, len(c.r.Header)+3)
	drop := connectionNamed(c.r.Header)
	for name, values := range c.r.Header {
		if !g.ownedHeaders[name] && !drop[name] {
			h[name] = values
		}
	}
	h[g.headers.Deadline] = []string{strconv.FormatInt(max(c.remaining(g.deps.Clock.Now()).Milliseconds(), 1), 10)}
	h[g.headers.Target] = []string{t.target.Name}
	if c.team != nil {
		h[g.headers.Team] = []string{c.team.Name}
	}
	if c.lastEvent != "" {
		h[http1.Canonical(g.headers.Event)] = []string{c.lastEvent}
	}
	return &http1.Request{
		ID: c.id, Method: c.r.Method, URI: c.requestURI(), Host: c.r.Host, Header: h, Body: c.body,
		Length: c.r.ContentLength != 0 || c.r.Header.Get("Content-Length") != "" || c.r.Method == http.MethodPost,
	}
}

// connectionNamed are the headers that a Connection header names as its own.
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
