// Package queue lets a request wait in its pool until it has a target.
package queue

import (
	"context"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// retryAfter is sent with a refusal for lack of memory, which running requests free
// within seconds.
const retryAfter = time.Second

// Queue is the step that ends with a target, or with a refusal of a request that
// did not run.
type Queue struct {
	pools *pools.Pools
}

// New returns the step.
func New(p *pools.Pools) *Queue {
	return &Queue{pools: p}
}

// String returns the name of the step.
func (*Queue) String() string {
	return "queue"
}

// Run reserves the request's memory and waits for a target.
func (q *Queue) Run(ctx context.Context, r *request.Request) error {
	p := q.pools.Pool(r.Config, r.Work.Pool)
	if p == nil {
		return &fireflypath.Refusal{Code: fireflypath.ReasonNoPool, Detail: "the pool was removed", Run: fireflypath.RunNo}
	}
	if !q.pools.ReserveBytes(&r.Work) {
		r.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateShed)
		return &fireflypath.Refusal{
			Code: fireflypath.ReasonFull, Detail: "the waiting requests take up all memory allowed",
			Run: fireflypath.RunNo, RetryAfter: retryAfter,
		}
	}
	r.Owner = p
	return p.Wait(ctx, r)
}
