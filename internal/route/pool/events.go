package pool

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// Observe passes an event to the scheduler and carries out what follows.
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

// Notify passes on an event of a dispatched request.
func (p *Pool) Notify(r *request.Request, kind fireflypath.EventKind, cached int) {
	p.Observe(fireflypath.Event{
		Kind: kind, Target: r.Target.Name, Work: &r.Work, Sent: r.Sent, Tokens: r.Tokens, Cached: cached,
	})
}

// Update changes the scheduler, refuses what the change gives up, and carries out
// what follows.
func (p *Pool) Update(change func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sheds = change(p.clock.Now(), p.sheds[:0])
	p.version.Add(1)
	p.refuseShed()
	p.dispatchReady()
}

// SetTargets replaces the targets.
func (p *Pool) SetTargets(targets []fireflypath.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.targets)
	for _, t := range targets {
		p.targets[t.Name] = t
	}
	p.scheduler.SetTargets(p.clock.Now(), targets)
	p.version.Add(1)
	p.dispatchReady()
}

// SetPool puts changed bounds of the pool in force, and the rank of the lowest
// configured tier, if the scheduler has a use for them.
func (p *Pool) SetPool(pool fireflypath.Pool, lowest int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.scheduler.(interface {
		SetPool(pool fireflypath.Pool, lowest int)
	}); ok {
		s.SetPool(pool, lowest)
	}
	p.dispatchReady()
}

// SetShare puts a share of the targets' windows in force.
func (p *Pool) SetShare(s fireflypath.Share) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.SetShare(p.clock.Now(), s)
	p.version.Add(1)
	p.dispatchReady()
}

// Version changes whenever what Report tells may have changed.
func (p *Pool) Version() uint64 { return p.version.Load() }

// peerScheduler is a scheduler that counts what all daemons have in flight.
type peerScheduler interface {
	Report(m *fireflypath.Mate)
	UpdatePeers(now time.Time, mates []fireflypath.Mate)
}

// Report adds what this daemon has in flight and waiting, if the scheduler tells.
func (p *Pool) Report(m *fireflypath.Mate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.scheduler.(peerScheduler); ok {
		s.Report(m)
	}
}

// UpdatePeers takes in what the other daemons have.
func (p *Pool) UpdatePeers(mates []fireflypath.Mate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.scheduler.(peerScheduler); ok {
		s.UpdatePeers(p.clock.Now(), mates)
		p.version.Add(1)
		p.dispatchReady()
	}
}

// Demand summarises the pool.
func (p *Pool) Demand() fireflypath.Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Demand(p.clock.Now())
}

// Views appends what is known of the targets.
func (p *Pool) Views(out []fireflypath.TargetView) []fireflypath.TargetView {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.Views(p.clock.Now(), out)
}

// Relieve refuses waiting work of lower tiers and returns the tokens freed.
func (p *Pool) Relieve(rank, tokens int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	sheds := p.scheduler.Relieve(p.clock.Now(), rank, tokens, nil)
	freed := 0
	for _, s := range sheds {
		if s.Work.Life.State() == fireflypath.StateWaiting {
			freed += s.Work.Cost.Tokens()
		}
		p.refuse(s)
	}
	return freed
}

// Close refuses all that waits and whatever comes later. Running requests go on.
func (p *Pool) Close(why fireflypath.Refusal) {
	p.mu.Lock()
	p.closed = &why
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
