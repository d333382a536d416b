package gate

import (
	"context"
	"errors"
	"net/http"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/record/draft"
	"github.com/fireflypath/fireflypath/internal/rollout"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// Rollouts decides which requests go to versions on trial, and tracks requests by version.
type Rollouts interface {
	// Try returns a target of a version on trial if the request may go there. version is the one that
	// the request needs, or empty. The result is compared with others if compare is true.
	Try(pool, route, version string, compare bool) (fireflypath.Target, rollout.Attempt, bool)
	// Begin records that a request is about to be sent to a target. It returns another target, and
	// true, if the version of the first one gets no more work.
	Begin(route string, target fireflypath.Target, compare bool) (fireflypath.Target, rollout.Attempt, bool)
}

// nextAttempt returns the next attempt of a request, at a version on trial or at a target that its pool
// chooses.
func (g *Gate) nextAttempt(c *call) (*attempt, *refusal) {
	compare := len(c.attempts) == 0 && c.lastEvent == "" && c.resumes == ""
	if compare || c.version != "" {
		if t, tracked, ok := g.deps.Rollouts.Try(c.pool, c.route.Name, c.version, compare); ok {
			att := g.directAttempt(c, t)
			att.rollout = tracked
			return att, nil
		}
	}
	att, ref := g.waitForTarget(c)
	if ref != nil {
		return nil, ref
	}
	return g.beginAttempt(c, att, compare)
}

// beginAttempt records that an attempt is about to be sent. If the version of its target gets no more work,
// it returns another attempt at the new version, or a refusal if the stream belongs to the old one.
func (g *Gate) beginAttempt(c *call, att *attempt, compare bool) (*attempt, *refusal) {
	t, tracked, redirected := g.deps.Rollouts.Begin(c.route.Name, att.target, compare)
	if redirected && c.version != "" && t.Version != c.version {
		tracked.Unsent()
		g.releaseUnsent(att)
		att.result = "the version of the stream gets no more work"
		g.deps.Log.Info("stream not redirected to the new version", zap.String("request", c.id), zap.String("target", att.target.Name),
			zap.String("version", c.version), zap.String("new_version", t.Version))
		return nil, notRun(reasonUnknownOrigin, "the version that began the stream gets no more work", defaultRetryAfter)
	}
	if redirected {
		g.releaseUnsent(att)
		att.result = "the version gets no more work"
		g.deps.Log.Info("request redirected to the new version", zap.String("request", c.id), zap.String("target", att.target.Name), zap.String("to", t.Name))
		att = g.directAttempt(c, t)
	}
	att.rollout = tracked
	return att, nil
}

// directAttempt returns an attempt at a target that the request's pool has not chosen.
func (g *Gate) directAttempt(c *call, t fireflypath.Target) *attempt {
	att := &attempt{direct: true, target: t}
	att.Request = request.Request{
		Work: fireflypath.Work{
			ID: c.id, Rank: c.rank, Pool: c.pool, Arrived: c.arrived, Deadline: c.deadline, Goal: c.firstByteDeadline(),
			Cost: c.cost, Weight: 1, ExpectedOutput: c.expectedOutput, Idempotent: c.route.Repeat == fireflypath.RepeatSafe, Version: t.Version,
		},
		Config: c.cfg, Owner: directOwner{}, Target: t, Sent: g.deps.Clock.Now(),
	}
	if c.team != nil {
		att.Work.Team = c.team.Name
	}
	att.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched)
	att.Draft = draft.New(g.deps.Recorder, &att.Work, c.cfg.Generation)
	c.attempts = append(c.attempts, att)
	return att
}

// endTracked records the result of an attempt for the trial of its version.
func (g *Gate) endTracked(c *call, att *attempt, out outcome, ref *refusal) {
	callerLeft := errors.Is(c.r.Context().Err(), context.Canceled) || ref != nil && ref.callerGone
	failed := out == outcomeUnknown || ref != nil || att.status >= http.StatusBadRequest
	att.rollout.End(failed, callerLeft || att.pathLost || out == outcomeNotRun, c.chunks)
}

// errDirect is why a direct attempt of which nothing was sent does not wait in a queue.
var errDirect = errors.New("the target was not chosen by a pool")

// directOwner is the owner of requests at targets that no pool has chosen.
type directOwner struct{}

func (directOwner) Requeue(context.Context, *request.Request) error { return errDirect }

func (directOwner) Notify(*request.Request, fireflypath.EventKind, int) {}

// noRollouts tries no version.
type noRollouts struct{}

func (noRollouts) Try(string, string, string, bool) (t fireflypath.Target, a rollout.Attempt, ok bool) {
	return t, a, false
}

func (noRollouts) Begin(_ string, t fireflypath.Target, _ bool) (_ fireflypath.Target, a rollout.Attempt, redirected bool) {
	return t, a, false
}
