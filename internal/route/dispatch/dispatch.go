// Package dispatch sends a request to its target.
package dispatch

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// retryAfter is given when a target refused: by then its refusal has steered new
// work elsewhere (3 s, docs/DESIGN.md).
const retryAfter = time.Second

// Dispatch is the step in which a request's bytes leave, once.
type Dispatch struct {
	backends    map[fireflypath.Kind]fireflypath.Backend
	leaving     func(target string)
	unreachable func(target string)
}

// New returns the step; leaving spreads what a target says of itself.
func New(backends map[fireflypath.Kind]fireflypath.Backend, leaving, dead func(target string)) *Dispatch {
	return &Dispatch{backends: backends, leaving: leaving, unreachable: dead}
}

// String names the step.
func (*Dispatch) String() string {
	return "dispatch"
}

// Run dispatches, and lets the request wait again as long as no byte left.
func (d *Dispatch) Run(ctx context.Context, r *request.Request) error {
	r.Backend = d.backends[r.Pool.Kind]
	for {
		err := d.send(ctx, r)
		switch {
		case err == nil:
			return nil
		case errors.Is(err, fireflypath.ErrUnsent):
			if errors.Is(err, fireflypath.ErrUnreached) {
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

// send keeps the caller's leaving from cutting work that may not be repeated:
// cut off, nobody would know whether it ran.
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
	r.Work.Life.Move(fireflypath.StateDispatched, fireflypath.StateFailed)
	r.Owner.Notify(r, fireflypath.EventRefused, -1)
	if errors.Is(err, fireflypath.ErrDraining) {
		d.leaving(r.Target.Name)
	}
	return &fireflypath.Refusal{
		Code: fireflypath.ReasonTargetRefused, Detail: err.Error(), Run: fireflypath.RunNo, RetryAfter: retryAfter,
	}
}
