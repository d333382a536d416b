package pool

import (
	"github.com/fireflypath/fireflypath"
)

// maxExtraRounds bounds how often peers are asked again for work that is past its time.
// A daemon that was asked lets no lower work wait for a while, so the second
// round finds none unless a peer came up or was slow.
const maxExtraRounds = 3

// requestRelief lets the work wait while peers are asked for room. Work that is past its
// time has nothing to wait for: it is refused once nobody holds lower work.
func (p *Pool) requestRelief(s fireflypath.Shed) {
	lowest := len(p.scheduler.Demand(p.clock.Now()).Requests) - 1
	p.reliefRequests.Go(func() {
		freed, err := p.reliefRound(s, lowest)
		for range maxExtraRounds {
			if err != nil || freed == 0 || s.Reason != fireflypath.ReasonDeadline {
				break
			}
			freed, err = p.reliefRound(s, lowest)
		}
		p.mu.Lock()
		defer p.mu.Unlock()
		r := p.waiting[s.Work]
		if r == nil || err != nil {
			return
		}
		if freed > 0 {
			r.Draft.Relief("peers gave up lower work")
			p.dispatchReady()
			return
		}
		r.Draft.Relief("no peer held lower work")
		p.refuseAfterLower(s)
	})
}

// reliefRound asks all daemons, this one too, for their work of the lowest tier, then
// of the next, up to the one below the work's. Asked for all lower work at once,
// a daemon that holds none of the lowest tier would give up a higher one while
// another still holds the lowest: the very thing the round is to prevent.
func (p *Pool) reliefRound(s fireflypath.Shed, lowest int) (int, error) {
	sum := 0
	for rank := max(lowest-1, s.Work.Rank); rank >= s.Work.Rank; rank-- {
		freed, err := p.relief.Ask(p.ctx, p.name, rank, s.Tokens)
		if err != nil {
			return 0, err
		}
		sum += freed
		if rank > s.Work.Rank {
			sum += p.Relieve(rank, s.Tokens)
		}
	}
	return sum, nil
}
