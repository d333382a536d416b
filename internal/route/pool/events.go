package pool

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// Observe passes an event to the scheduler and dispatches what it makes possible.
func (p *Pool) Observe(e fireflypath.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e.Work != nil && endsRequest(e.Kind) {
		delete(p.running, e.Work)
	}
	p.scheduler.Observe(p.clock.Now(), e)
	p.version.Add(1)
	p.dispatchReady()
}

// Notify passes an event of a dispatched request to the scheduler.
func (p *Pool) Notify(r *request.Request, kind fireflypath.EventKind, cached int) {
	p.Observe(fireflypath.Event{
		Kind: kind, Target: r.Target.Name, Work: &r.Work, Sent: r.Sent, Tokens: r.Tokens, Cached: cached,
	})
}

// Update calls change, refuses the requests that it sheds and dispatches what it
// makes possible. The pool's lock is held during the call.
func (p *Pool) Update(change func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sheds = change(p.clock.Now(), p.sheds[:0])
	p.version.Add(1)
	p.refuseShed()
	p.dispatchReady()
}

// SetTargets replaces the pool's targets.
func (p *Pool) SetTargets(list []fireflypath.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list.Replace(list)
	p.scheduler.SetTargets(p.clock.Now(), list)
	p.version.Add(1)
	p.dispatchReady()
}

// SetPool applies changed limits of the pool and the rank of the lowest configured
// tier, if the scheduler supports changing them.
func (p *Pool) SetPool(pool fireflypath.Pool, lowestRank int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.scheduler.(interface {
		SetPool(pool fireflypath.Pool, lowestRank int)
	}); ok {
		s.SetPool(pool, lowestRank)
	}
	p.dispatchReady()
}

// SetShare applies this daemon's share of the targets' windows.
func (p *Pool) SetShare(s fireflypath.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.SetShare(p.clock.Now(), s)
	p.version.Add(1)
	p.dispatchReady()
}

// Version changes whenever the result of Report may have changed.
func (p *Pool) Version() uint64 { return p.version.Load() }

// peerScheduler is a scheduler that accounts for the work of all daemons at its
// targets.
type peerScheduler interface {
	Report(load *fireflypath.PeerLoad)
	UpdatePeers(now time.Time, peers []fireflypath.PeerLoad)
}

// Report adds this daemon's in-flight and waiting work to load, if the scheduler
// is a peerScheduler.
func (p *Pool) Report(load *fireflypath.PeerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.scheduler.(peerScheduler); ok {
		s.Report(load)
	}
}

// UpdatePeers applies the reported work of the other daemons, if the scheduler is
// a peerScheduler.
func (p *Pool) UpdatePeers(peers []fireflypath.PeerLoad) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.scheduler.(peerScheduler); ok {
		s.UpdatePeers(p.clock.Now(), peers)
		p.version.Add(1)
		p.dispatchReady()
	}
}

// Demand returns a summary of the pool's load.
func (p *Pool) Demand() fireflypath.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Demand(p.clock.Now())
}

// Views appends the scheduler's view of each target.
func (p *Pool) Views(out []fireflypath.TargetView) []fireflypath.TargetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Views(p.clock.Now(), out)
}

// Relieve refuses waiting requests with a rank above the given one, until they
// free the given number of tokens, and returns the tokens freed.
func (p *Pool) Relieve(rank, tokens int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sheds := p.scheduler.Relieve(p.clock.Now(), rank, tokens, nil)
	freed := 0
	for _, s := range sheds {
		if s.Work.Lifecycle.State() == fireflypath.StateWaiting {
			freed += s.Work.Cost.Tokens()
		}
		p.refuse(s)
	}
	return freed
}

// Close refuses all waiting and all later requests. Running requests continue.
func (p *Pool) Close(reason fireflypath.Refusal) {
	p.mu.Lock()
	p.closed = &reason
	if p.timer != nil {
		p.timer.Stop()
	}
	for _, r := range p.waiting {
		p.refuseIfClosed(r)
	}
	p.mu.Unlock()
	p.cancel()
	p.reliefRequests.Wait()
}
