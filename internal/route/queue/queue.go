// Package queue lets a request wait for its turn.
package queue

import (
	"context"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// retryAfter is given for want of memory, which running requests free within
// seconds.
const retryAfter = time.Second

// Queue is the step that ends with a target or a refusal as not run.
type Queue struct {
	pools *pools.Pools
}

// New returns the step.
func New(p *pools.Pools) *Queue {
	return &Queue{pools: p}
}

// String names the step.
func (*Queue) String() string {
	return "queue"
}

// Run waits.
func (q *Queue) Run(ctx context.Context, r *request.Request) error {
	p := q.pools.Pool(r.Config, r.Work.Pool)
	if p == nil {
		return &fireflypath.Refusal{Code: fireflypath.ReasonNoPool, Detail: "the pool was removed", Run: fireflypath.RunNo}
	}
	if !q.pools.ReserveBytes(&r.Work) {
		r.Work.Life.Move(fireflypath.StateWaiting, fireflypath.StateShed)
		return &fireflypath.Refusal{
			Code: fireflypath.ReasonFull, Detail: "the waiting requests take up all memory allowed",
			Run: fireflypath.RunNo, RetryAfter: retryAfter,
		}
	}
	r.Owner = p
	return p.Wait(ctx, r)
}
