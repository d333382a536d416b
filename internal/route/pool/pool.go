// Package pool runs the scheduler of one pool and applies its decisions to the
// waiting and running requests.
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
	"github.com/fireflypath/fireflypath/internal/decide/targets"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// minWakeDelay prevents a busy loop when the scheduler asks to be woken at once.
const minWakeDelay = time.Millisecond

// maxViewAge is how long the target views in the records of refused requests
// are reused. It bounds how often a burst of refusals reads all targets while
// holding the pool's lock.
const maxViewAge = 10 * time.Millisecond

// maxRecordedTargets is how many of the least loaded targets the record of a
// refused request lists. If those were full, so were the others.
const maxRecordedTargets = 16

// Pool guards its scheduler with one lock. Every state change of a waiting
// request's Lifecycle is made while that lock is held.
type Pool struct {
	name   string
	clock  clockwork.Clock
	relief fireflypath.Relief
	// bytes is the memory used by the waiting requests of all pools.
	bytes *atomic.Int64
	// version counts the changes that may affect waiting or running requests.
	version atomic.Uint64

	mu        sync.Mutex
	scheduler fireflypath.Scheduler
	waiting   map[*fireflypath.Work]*request.Request
	running   map[*fireflypath.Work]runningRequest
	list      targets.List
	closed    *fireflypath.Refusal
	placement fireflypath.Placement
	sheds     []fireflypath.Shed
	// views holds the target views for the records of refused requests, least
	// loaded first, as read at viewsReadAt.
	views       []fireflypath.TargetView
	viewsReadAt time.Time
	timer       clockwork.Timer
	wakeAt      time.Time

	ctx            context.Context
	cancel         context.CancelFunc
	reliefRequests conc.WaitGroup
}

// New returns a pool without targets. A nil relief means that the daemon has no peers.
func New(name string, clock clockwork.Clock, scheduler fireflypath.Scheduler, relief fireflypath.Relief) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		name: name, clock: clock, relief: relief, scheduler: scheduler, bytes: &atomic.Int64{},
		waiting: map[*fireflypath.Work]*request.Request{},
		running: map[*fireflypath.Work]runningRequest{},
		ctx:     ctx, cancel: cancel,
	}
}

// CountBytes sets the counter of the bytes of waiting requests. The caller of
// Wait has added a request's bytes; the pool subtracts them when the wait ends.
// It must be called before the pool is used.
func (p *Pool) CountBytes(n *atomic.Int64) {
	p.bytes = n
}

// Done returns a channel that is closed when the pool is closed.
func (p *Pool) Done() <-chan struct{} {
	return p.ctx.Done()
}

// Wait queues the request and blocks until it has a target. Its Lifecycle is then in
// StateDispatched. Otherwise the error is the refusal that ended the wait, with
// ReasonWithdrawn if the context ended first.
func (p *Pool) Wait(ctx context.Context, r *request.Request) error {
	p.offer(r)
	return p.awaitResult(ctx, r)
}

// Requeue returns a request to the queue if its dispatch failed before any byte
// was sent, and waits like Wait.
func (p *Pool) Requeue(ctx context.Context, r *request.Request) error {
	p.mu.Lock()
	r.Draft.Unsent()
	if r.RequeueVersion != "" {
		r.Work.Version = r.RequeueVersion // a dispatcher that is sent the work in flight reads it
	}
	r.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateWaiting)
	p.waiting[&r.Work] = r
	p.version.Add(1)
	p.bytes.Add(int64(r.Work.Bytes))
	delete(p.running, &r.Work)
	p.scheduler.Observe(p.clock.Now(), fireflypath.Event{
		Kind: fireflypath.EventUnsent, Target: r.Target.Name, Work: &r.Work, Sent: r.Sent, NotByTarget: r.PathLost, Cached: -1,
	})
	if ctx.Err() != nil {
		err := p.withdraw(r)
		p.mu.Unlock()
		return err
	}
	p.refuseIfClosed(r)
	p.dispatchReady()
	p.mu.Unlock()
	return p.awaitResult(ctx, r)
}

func (p *Pool) offer(r *request.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// A placement replaces this with the scheduler's count; a refused request keeps it.
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

func (p *Pool) awaitResult(ctx context.Context, r *request.Request) error {
	select {
	case result := <-r.WaitResult:
		return p.applyResult(r, result)
	case <-ctx.Done():
	}
	p.mu.Lock()
	err := p.withdraw(r)
	p.mu.Unlock()
	if err != nil {
		return err
	}
	return p.applyResult(r, <-r.WaitResult)
}

// withdraw removes the request from the queue and returns its refusal. It
// returns nil if the request no longer waits and its WaitResult is about to be sent.
// The lock must be held.
func (p *Pool) withdraw(r *request.Request) error {
	if !r.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateWithdrawn) {
		return nil
	}
	p.scheduler.Withdraw(p.clock.Now(), &r.Work)
	p.removeWaiting(r)
	p.dispatchReady()
	return p.newRefusal(r, fireflypath.Shed{
		Reason: fireflypath.ReasonWithdrawn, Detail: "the caller left while the request waited",
	})
}

// removeWaiting removes the request from the waiting ones. The lock must be held.
func (p *Pool) removeWaiting(r *request.Request) {
	p.version.Add(1)
	delete(p.waiting, &r.Work)
	p.bytes.Add(-int64(r.Work.Bytes))
}

func (p *Pool) applyResult(r *request.Request, result request.WaitResult) error {
	if result.Refusal != nil {
		return result.Refusal
	}
	r.Target = result.Target
	return nil
}

// dispatchReady dispatches every request that the scheduler can place now and
// schedules the next wake-up. The lock must be held.
func (p *Pool) dispatchReady() {
	if len(p.waiting) == 0 {
		// Nothing to place and nothing that a timer could expire.
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
	if r == nil || !w.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched) {
		p.scheduler.Observe(now, fireflypath.Event{Kind: fireflypath.EventUnsent, Target: p.placement.Target, Work: w, Cached: -1})
		return
	}
	p.removeWaiting(r)
	r.Sent = now
	p.running[w] = runningRequest{request: r, target: p.placement.Target}
	r.Draft.Placed(now, &p.placement)
	t, _ := p.list.Find(p.placement.Target)
	r.WaitResult <- request.WaitResult{Target: t}
}

// scheduleWake resets the timer if the scheduler wants to be woken earlier than
// the timer fires.
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

// refuseShed refuses the requests that the scheduler shed, after asking peers to
// shed lower tiers where the scheduler wants relief. The lock must be held.
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

// refuseAfterLower refuses the request, after refusing waiting requests of lower
// tiers in this pool. The lock must be held.
func (p *Pool) refuseAfterLower(s fireflypath.Shed) {
	if r := p.waiting[s.Work]; r == nil {
		return
	}
	for _, lower := range p.scheduler.Relieve(p.clock.Now(), s.Work.Rank, s.Tokens, nil) {
		p.refuse(lower)
	}
	p.refuse(s)
}

// refuse ends the wait of one request with a refusal; it does nothing if the
// request no longer waits. The lock must be held.
func (p *Pool) refuse(s fireflypath.Shed) {
	state := fireflypath.StateShed
	if s.Reason == fireflypath.ReasonDeadline {
		state = fireflypath.StateExpired
	}
	r := p.waiting[s.Work]
	if r == nil || !s.Work.Lifecycle.Transition(fireflypath.StateWaiting, state) {
		return
	}
	now := p.clock.Now()
	p.scheduler.Withdraw(now, s.Work)
	p.removeWaiting(r)
	if r.Draft != nil {
		r.Draft.Refused(p.targetViews(now))
	}
	r.WaitResult <- request.WaitResult{Refusal: p.newRefusal(r, s)}
}

// targetViews returns the views of the least loaded targets, at most maxViewAge
// old. The lock must be held.
func (p *Pool) targetViews(now time.Time) []fireflypath.TargetView {
	if p.viewsReadAt.IsZero() || now.Sub(p.viewsReadAt) >= maxViewAge {
		p.views, p.viewsReadAt = p.scheduler.Views(now, p.views[:0]), now
		slices.SortStableFunc(p.views, func(a, b fireflypath.TargetView) int { return cmp.Compare(usedFraction(&a), usedFraction(&b)) })
	}
	return p.views[:min(len(p.views), maxRecordedTargets)]
}

// usedFraction returns the fraction of a target's window that is in use. It is
// infinite for a target that accepts no work, so that such targets sort last.
func usedFraction(v *fireflypath.TargetView) float64 {
	if v.State != "ready" || v.Window == 0 || v.Share == 0 {
		return math.Inf(1)
	}
	return float64(v.InFlight) / (float64(v.Window) * v.Share)
}

func (p *Pool) newRefusal(r *request.Request, s fireflypath.Shed) *fireflypath.Refusal {
	return &fireflypath.Refusal{
		Code: s.Reason, Tier: r.Work.Tier, Detail: s.Detail, Run: fireflypath.RunNo,
		RetryAfter: s.RetryAfter, ID: r.Work.ID, Generation: r.Config.Generation,
	}
}

// refuseIfClosed refuses the request and returns true if the pool is closed. The
// lock must be held.
func (p *Pool) refuseIfClosed(r *request.Request) bool {
	if p.closed == nil {
		return false
	}
	p.refuse(fireflypath.Shed{
		Work: &r.Work, Reason: p.closed.Code, Detail: p.closed.Detail, RetryAfter: p.closed.RetryAfter,
	})
	return true
}
