// Package pool owns the scheduler of one pool and carries its decisions out.
package pool

import (
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// minWakeDelay keeps a scheduler that asks to be woken at once from spinning.
const minWakeDelay = time.Millisecond

// maxViewAge bounds how often a flood of refusals reads all targets under the
// pool's lock; what operators read of them is at most this much older.
const maxViewAge = 10 * time.Millisecond

// maxRecordedTargets is how many of the least loaded targets a refusal's record shows:
// if those were full, so were the others.
const maxRecordedTargets = 16

// Pool holds one lock around its scheduler. All moves of a waiting request's
// Life are made under that lock.
type Pool struct {
	name   string
	clock  clockwork.Clock
	relief fireflypath.Relief
	// bytes counts the memory of waiting requests over all pools.
	bytes *atomic.Int64
	// version counts what may have changed the work that waits or is at targets.
	version atomic.Uint64

	mu        sync.Mutex
	scheduler fireflypath.Scheduler
	waiting   map[*fireflypath.Work]*request.Request
	running   map[*fireflypath.Work]runningRequest
	targets   map[string]fireflypath.Target
	closed    *fireflypath.Refusal
	placement fireflypath.Placement
	sheds     []fireflypath.Shed
	// views is what refusals' records show of the targets, as of viewed.
	views       []fireflypath.TargetView
	viewsReadAt time.Time
	timer       clockwork.Timer
	wakeAt      time.Time

	ctx            context.Context
	cancel         context.CancelFunc
	reliefRequests conc.WaitGroup
}

// New returns a pool without targets. A nil relief stands for a daemon alone.
func New(name string, clock clockwork.Clock, sched fireflypath.Scheduler, relief fireflypath.Relief) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		name: name, clock: clock, relief: relief, scheduler: sched, bytes: &atomic.Int64{},
		waiting: map[*fireflypath.Work]*request.Request{},
		running: map[*fireflypath.Work]runningRequest{},
		targets: map[string]fireflypath.Target{},
		ctx:     ctx, cancel: cancel,
	}
}

// CountBytes makes the pool subtract from n the bytes of requests whose wait ends;
// whoever offers one has added them. It is called before the pool is used.
func (p *Pool) CountBytes(n *atomic.Int64) {
	p.bytes = n
}

// Done is closed when the pool has ended.
func (p *Pool) Done() <-chan struct{} {
	return p.ctx.Done()
}

// Wait offers the request and returns when it has a target, with its Life in
// StateDispatched, or the refusal that ended its wait. If the caller leaves
// first, the error is a refusal as withdrawn.
func (p *Pool) Wait(ctx context.Context, r *request.Request) error {
	p.offer(r)
	return p.awaitTurn(ctx, r)
}

// Requeue lets a request wait once more of whose dispatch no byte left.
func (p *Pool) Requeue(ctx context.Context, r *request.Request) error {
	p.mu.Lock()
	r.Draft.Unsent()
	r.Work.Life.Move(fireflypath.StateDispatched, fireflypath.StateWaiting)
	p.waiting[&r.Work] = r
	p.version.Add(1)
	p.bytes.Add(int64(r.Work.Bytes))
	delete(p.running, &r.Work)
	p.scheduler.Observe(p.clock.Now(), fireflypath.Event{
		Kind: fireflypath.EventUnsent, Target: r.Target.Name, Work: &r.Work, Sent: r.Sent, Cached: -1,
	})
	if ctx.Err() != nil {
		err := p.withdraw(r)
		p.mu.Unlock()
		return err
	}
	p.refuseIfClosed(r)
	p.dispatchReady()
	p.mu.Unlock()
	return p.awaitTurn(ctx, r)
}

func (p *Pool) offer(r *request.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A placement brings the scheduler's own count; a refused request keeps this.
	r.Draft.Ahead(len(p.waiting))
	p.waiting[&r.Work] = r
	p.version.Add(1)
	if p.refuseIfClosed(r) {
		return
	}
	p.sheds = p.scheduler.Offer(p.clock.Now(), &r.Work, p.sheds[:0])
	p.refuseShed()
	p.dispatchReady()
}

func (p *Pool) awaitTurn(ctx context.Context, r *request.Request) error {
	select {
	case t := <-r.Turn:
		return p.applyTurn(r, t)
	case <-ctx.Done():
	}
	p.mu.Lock()
	err := p.withdraw(r)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	return p.applyTurn(r, <-r.Turn)
}

// withdraw takes the request out of the queue, or returns nil if it no longer
// waits and its turn is on the way. The lock is held.
func (p *Pool) withdraw(r *request.Request) error {
	if !r.Work.Life.Move(fireflypath.StateWaiting, fireflypath.StateWithdrawn) {
		return nil
	}
	p.scheduler.Withdraw(p.clock.Now(), &r.Work)
	p.removeWaiting(r)
	p.dispatchReady()
	return p.newRefusal(r, fireflypath.Shed{
		Reason: fireflypath.ReasonWithdrawn, Detail: "the caller left while the request waited",
	})
}

// removeWaiting ends a request's wait. The lock is held.
func (p *Pool) removeWaiting(r *request.Request) {
	p.version.Add(1)
	delete(p.waiting, &r.Work)
	p.bytes.Add(-int64(r.Work.Bytes))
}

func (p *Pool) applyTurn(r *request.Request, t request.Turn) error {
	if t.Refusal != nil {
		return t.Refusal
	}
	r.Target = t.Target
	return nil
}

// dispatchReady carries out what the scheduler decides now. The lock is held.
func (p *Pool) dispatchReady() {
	if len(p.waiting) == 0 {
		// Nothing to place, and nothing that a timer could change.
		return
	}
	now := p.clock.Now()
	for len(p.waiting) > 0 && p.scheduler.Next(now, &p.placement) {
		p.dispatch(now)
	}
	if len(p.waiting) > 0 {
		p.scheduleWake(now)
	}
}

func (p *Pool) dispatch(now time.Time) {
	w := p.placement.Work
	r := p.waiting[w]
	if r == nil || !w.Life.Move(fireflypath.StateWaiting, fireflypath.StateDispatched) {
		p.scheduler.Observe(now, fireflypath.Event{Kind: fireflypath.EventUnsent, Target: p.placement.Target, Work: w, Cached: -1})
		return
	}
	p.removeWaiting(r)
	r.Sent = now
	p.running[w] = runningRequest{request: r, target: p.placement.Target}
	r.Draft.Placed(now, &p.placement)
	r.Turn <- request.Turn{Target: p.targets[p.placement.Target]}
}

// scheduleWake sets the timer if the scheduler wants to be woken earlier than it is set.
func (p *Pool) scheduleWake(now time.Time) {
	at := p.scheduler.Wake(now)
	if at.IsZero() || p.closed != nil {
		return
	}
	if soonest := now.Add(minWakeDelay); at.Before(soonest) {
		at = soonest
	}
	if !p.wakeAt.IsZero() && !at.Before(p.wakeAt) {
		return
	}
	p.wakeAt = at
	if p.timer != nil {
		p.timer.Stop()
	}
	p.timer = p.clock.AfterFunc(at.Sub(now), p.onTimer)
}

func (p *Pool) onTimer() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wakeAt = time.Time{}
	p.expire()
	p.dispatchReady()
}

func (p *Pool) expire() {
	p.sheds = p.scheduler.Expire(p.clock.Now(), p.sheds[:0])
	p.refuseShed()
}

// refuseShed refuses what the scheduler gave up. The lock is held.
func (p *Pool) refuseShed() {
	for _, s := range p.sheds {
		switch {
		case !s.Relief:
			p.refuse(s)
		case p.relief == nil:
			p.refuseAfterLower(s)
		default:
			p.requestRelief(s)
		}
	}
}

// refuseAfterLower refuses work of a higher tier, and before it what lower work waits here.
// The lock is held.
func (p *Pool) refuseAfterLower(s fireflypath.Shed) {
	if r := p.waiting[s.Work]; r == nil {
		return
	}
	for _, own := range p.scheduler.Relieve(p.clock.Now(), s.Work.Rank, s.Tokens, nil) {
		p.refuse(own)
	}
	p.refuse(s)
}

// refuse refuses one piece of work that still waits.
func (p *Pool) refuse(s fireflypath.Shed) {
	state := fireflypath.StateShed
	if s.Reason == fireflypath.ReasonDeadline {
		state = fireflypath.StateExpired
	}
	r := p.waiting[s.Work]
	if r == nil || !s.Work.Life.Move(fireflypath.StateWaiting, state) {
		return
	}
	now := p.clock.Now()
	p.scheduler.Withdraw(now, s.Work)
	p.removeWaiting(r)
	if r.Draft != nil {
		r.Draft.Refused(p.targetViews(now))
	}
	r.Turn <- request.Turn{Refusal: p.newRefusal(r, s)}
}

// targetViews is what is known of the targets, read again after maxViewAge. The lock is held.
func (p *Pool) targetViews(now time.Time) []fireflypath.TargetView {
	if p.viewsReadAt.IsZero() || now.Sub(p.viewsReadAt) >= maxViewAge {
		p.views, p.viewsReadAt = p.scheduler.Views(now, p.views[:0]), now
		slices.SortStableFunc(p.views, func(a, b fireflypath.TargetView) int { return cmp.Compare(usedFraction(&a), usedFraction(&b)) })
	}
	return p.views[:min(len(p.views), maxRecordedTargets)]
}

// usedFraction is the part of a target's window that is taken; a target that takes no
// work comes behind all others.
func usedFraction(v *fireflypath.TargetView) float64 {
	if v.State != "ready" || v.Window == 0 || v.Part == 0 {
		return math.Inf(1)
	}
	return float64(v.Held) / (float64(v.Window) * v.Part)
}

func (p *Pool) newRefusal(r *request.Request, s fireflypath.Shed) *fireflypath.Refusal {
	return &fireflypath.Refusal{
		Code: s.Reason, Tier: r.Work.Tier, Detail: s.Detail, Run: fireflypath.RunNo,
		RetryAfter: s.RetryAfter, ID: r.Work.ID, Generation: r.Config.Generation,
	}
}

// refuseIfClosed refuses the request if the pool takes no more. The lock is held.
func (p *Pool) refuseIfClosed(r *request.Request) bool {
	if p.closed == nil {
		return false
	}
	p.refuse(fireflypath.Shed{
		Work: &r.Work, Reason: p.closed.Code, Detail: p.closed.Detail, RetryAfter: p.closed.RetryAfter,
	})
	return true
}
