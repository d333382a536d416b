// Package dispatch sends a request to the target that the scheduler chose.
package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// retryAfter is sent with the refusal by a target. By then the scheduler places new
// requests elsewhere because of that refusal (3 s, docs/DESIGN.md).
const retryAfter = time.Second

// Dispatch is the step that sends a request's bytes at most once.
type Dispatch struct {
	backends    map[fireflypath.PoolKind]fireflypath.Backend
	leaving     func(target string)
	unreachable func(target string)
}

// New returns the step. The function leaving is called with a target that refused a
// request because it drains, unreachable with one that accepted no connection.
func New(backends map[fireflypath.PoolKind]fireflypath.Backend, leaving, unreachable func(target string)) *Dispatch {
	return &Dispatch{backends: backends, leaving: leaving, unreachable: unreachable}
}

// String returns the name of the step.
func (*Dispatch) String() string {
	return "dispatch"
}

// Run dispatches the request. While a dispatch fails before any byte is sent, the
// request returns to the queue and is dispatched again.
func (d *Dispatch) Run(ctx context.Context, r *request.Request) error {
	r.Backend = d.backends[r.Pool.Kind]
	for {
		err := d.send(ctx, r)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, fireflypath.ErrUnsent):
			if errors.Is(err, fireflypath.ErrUnreachable) {
				d.unreachable(r.Target.Name)
			}
			if err := r.Owner.Requeue(ctx, r); err != nil {
				return err
			}
		case errors.Is(err, fireflypath.ErrNotRun):
			return d.targetRefused(r, err)
		default:
			r.AnswerErr = err
			return nil
		}
	}
}

// send dispatches once. A request that is not idempotent is not cancelled when its
// caller leaves, because it would then be unknown whether it ran.
func (d *Dispatch) send(ctx context.Context, r *request.Request) error {
	if ctx.Err() != nil {
		return errors.Mark(ctx.Err(), fireflypath.ErrUnsent)
	}
	if !r.Work.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	a, err := r.Backend.Dispatch(ctx, r.Target, &r.Call)
	r.Answer = a
	return err
}

func (d *Dispatch) targetRefused(r *request.Request, err error) error {
	r.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateFailed)
	r.Owner.Notify(r, fireflypath.EventRefused, -1)
	if errors.Is(err, fireflypath.ErrDraining) {
		d.leaving(r.Target.Name)
	}
	return &fireflypath.Refusal{
		Code: fireflypath.ReasonTargetRefused, Detail: err.Error(), Run: fireflypath.RunNo, RetryAfter: retryAfter,
	}
}
