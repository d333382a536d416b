// Package route processes requests in a sequence of steps, from parsing the headers
// to relaying the answer.
package route

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	claims "github.com/fireflypath/fireflypath/internal/claim"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
	"github.com/fireflypath/fireflypath/internal/record/draft"
	"github.com/fireflypath/fireflypath/internal/route/admit"
	"github.com/fireflypath/fireflypath/internal/route/catalog"
	"github.com/fireflypath/fireflypath/internal/route/claim"
	"github.com/fireflypath/fireflypath/internal/route/classify"
	"github.com/fireflypath/fireflypath/internal/route/dispatch"
	"github.com/fireflypath/fireflypath/internal/route/early"
	"github.com/fireflypath/fireflypath/internal/route/identify"
	"github.com/fireflypath/fireflypath/internal/route/meter"
	"github.com/fireflypath/fireflypath/internal/route/parse"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/route/queue"
	"github.com/fireflypath/fireflypath/internal/route/record"
	"github.com/fireflypath/fireflypath/internal/route/refuse"
	"github.com/fireflypath/fireflypath/internal/route/relay"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// Step is one step of the route. An error ends the route: a *fireflypath.Refusal is
// sent to the caller, any other error is converted to one.
type Step interface {
	String() string
	Run(ctx context.Context, r *request.Request) error
}

// Deps holds the dependencies of the steps.
type Deps struct {
	// Name is the prefix of request ids.
	Name     string
	Clock    clockwork.Clock
	Configs  fireflypath.Configs
	Pools    *pools.Pools
	Backends map[fireflypath.PoolKind]fireflypath.Backend
	Claims   *claims.Claims
	Meter    *meter.Meter
	// Members returns the daemons that share the operators' limits; nil means that
	// this daemon is the only one.
	Members fireflypath.Members
	// Rules holds the state of the operators' rules; if nil, the route keeps its own.
	Rules *rules.Rules
	// Recorder may be nil.
	Recorder fireflypath.Recorder
	// Log may be nil.
	Log *zap.Logger
	// Leaving is called with a target that refused a request because it drains.
	Leaving func(target string)
	// Unreachable is called with a target that accepted no connection.
	Unreachable func(target string)
}

// Route processes requests.
type Route struct {
	deps     Deps
	catalogs catalog.Cache
	early    *early.Early
	steps    []Step
	// headerSteps are the first steps, which need only the headers.
	headerSteps []Step
}

// New returns a route.
func New(deps Deps) *Route {
	rt := &Route{deps: deps, early: early.New(deps.Clock)}
	rt.headerSteps = []Step{parse.New(deps.Clock), identify.New()}
	rt.steps = append(slices.Clone(rt.headerSteps),
		classify.New(),
		record.New(deps.Recorder),
		rt.early,
		admit.New(deps.Clock, deps.Members, deps.Rules),
		claim.New(deps.Claims, deps.Recorder),
		queue.New(deps.Pools),
		dispatch.New(deps.Backends, deps.Leaving, deps.Unreachable),
		relay.New(deps.Clock, rt.finish),
	)
	return rt
}

// Serve runs the steps and sets the request's reply. The context is done when the
// caller leaves.
func (rt *Route) Serve(ctx context.Context, r *request.Request) {
	defer rt.recoverPanic(r)
	rt.prepare(r)
	for _, s := range rt.steps {
		if err := s.Run(ctx, r); err != nil {
			rt.refuse(r, s.String(), err)
			return
		}
	}
}

// Rank returns the rank of the request's tier, determined from the headers before
// the body is read. For a request that is refused because of its headers it sets the
// reply and returns false; such a request must not be served, as its body is missing.
func (rt *Route) Rank(r *request.Request) (rank int, ok bool) {
	defer rt.recoverPanic(r)
	rt.prepare(r)
	for _, s := range rt.headerSteps {
		if err := s.Run(context.Background(), r); err != nil {
			rt.refuse(r, s.String(), err)
			return 0, false
		}
	}
	r.Work.Deadline = time.Time{} // set again when the complete request has arrived
	return r.Work.Rank, true
}

// Refuse sets the reply of a request that is refused after Rank and is not served.
func (rt *Route) Refuse(r *request.Request, refusal *fireflypath.Refusal) {
	rt.refuse(r, "body", refusal)
}

// recoverPanic refuses and counts a request whose step panicked, and logs the stack.
//
// The server library lets a panic end the process. One request that triggers a bug
// would then end all other requests of the daemon, and again at each retry.
func (rt *Route) recoverPanic(r *request.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if rt.deps.Log != nil {
		rt.deps.Log.Error("request panicked", zap.String("request", r.Work.ID), zap.Any("cause", cause), zap.Stack("stack"))
	}
	refusal := &fireflypath.Refusal{Code: fireflypath.ReasonTarget, Detail: "a fault of the daemon", Run: fireflypath.RunNo}
	if !r.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateWithdrawn) {
		refusal.Run = rt.runState(r)
	}
	if r.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateFailed) {
		r.Owner.Notify(r, fireflypath.EventFailed, -1)
	}
	rt.refuse(r, "", refusal)
}

// prepare sets the request's id and the configuration that all steps use, unless
// they are set.
func (rt *Route) prepare(r *request.Request) {
	if r.Config != nil {
		return
	}
	r.Work.ID = rt.NewID()
	r.WaitResult = make(chan request.WaitResult, 1)
	r.Config = rt.deps.Configs.Current()
	r.Catalog = rt.catalogs.Get(r.Config)
}

// NewID returns a request id that is unique among all daemons.
func (rt *Route) NewID() string {
	u := ulid.MustNew(ulid.Timestamp(rt.deps.Clock.Now()), ulid.DefaultEntropy())
	return rt.deps.Name + "." + u.String()
}

// refuse ends the request with the error that ended the route, as a refusal.
func (rt *Route) refuse(r *request.Request, step string, err error) {
	var refusal *fireflypath.Refusal
	if !errors.As(err, &refusal) {
		refusal = &fireflypath.Refusal{Code: fireflypath.ReasonMalformed, Detail: step + ": " + err.Error(), Run: rt.runState(r)}
	}
	r.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateRefused)
	refusal.ID = r.Work.ID
	refusal.Tier = r.Work.Tier
	refusal.Generation = r.Config.Generation
	r.Reply = refuse.Reply(refusal)
	rt.finish(r, refusal)
}

// runState reports whether the request may have run.
func (rt *Route) runState(r *request.Request) fireflypath.Run {
	switch r.Work.Lifecycle.State() {
	case fireflypath.StateDispatched, fireflypath.StateAnswered, fireflypath.StateFailed:
		return fireflypath.RunUnknown
	default:
		return fireflypath.RunNo
	}
}

// finish counts and records the end of a request, once. It releases the claimed
// idempotency key of a request that did not run.
func (rt *Route) finish(r *request.Request, refusal *fireflypath.Refusal) {
	if r.Ended {
		return
	}
	r.Ended = true
	if refusal != nil {
		rt.early.RecordRefusal(r, refusal)
	}
	if r.Claimed && refusal != nil && refusal.Run == fireflypath.RunNo {
		rt.deps.Claims.Release(r.Work.Team, r.Inbound.IdempotencyKey, r.Work.ID)
	}
	if r.Draft == nil {
		r.Draft = draft.New(rt.deps.Recorder, &r.Work, r.Config.Generation)
	}
	now := rt.deps.Clock.Now()
	rt.deps.Meter.RecordEnd(now, r, refusal)
	r.Draft.End(now, r.Work.Lifecycle.State(), r.Tokens, refusal)
}
