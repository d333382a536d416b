package pool

import (
	"github.com/fireflypath/fireflypath"
)

// maxExtraRounds bounds how often peers are asked again on behalf of a request
// that is past its deadline. A daemon that was asked queues no requests of lower
// tiers for a while, so a second round finds some only if a peer has just started
// or was slow to answer.
const maxExtraRounds = 3

// requestRelief asks peers to shed requests of lower tiers while the request
// keeps waiting. It is refused once no daemon holds waiting requests of lower
// tiers. A request past its deadline gains nothing from freed capacity, so its peers
// are asked again until they free none.
func (p *Pool) requestRelief(s fireflypath.Shed) {
	lowestRank := len(p.scheduler.Demand(p.clock.Now()).WaitingRequests) - 1
	p.reliefRequests.Go(func() {
		freed, err := p.reliefRound(s, lowestRank)
		for range maxExtraRounds {
			if err != nil || freed == 0 || s.Reason != fireflypath.ReasonDeadline {
				break
			}
			freed, err = p.reliefRound(s, lowestRank)
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

// reliefRound asks all daemons, including this one, to shed requests of the
// lowest tier, then of the next, up to the tier below the request's. If all lower
// tiers were asked for at once, a daemon without requests of the lowest tier
// would shed a higher one while another daemon still holds the lowest.
func (p *Pool) reliefRound(s fireflypath.Shed, lowestRank int) (int, error) {
	freedTokens := 0
	for rank := max(lowestRank-1, s.Work.Rank); rank >= s.Work.Rank; rank-- {
		freed, err := p.relief.Ask(p.ctx, p.name, rank, s.Tokens)
		if err != nil {
			return 0, err
		}
		freedTokens += freed
		if rank > s.Work.Rank {
			freedTokens += p.Relieve(rank, s.Tokens)
		}
	}
	return freedTokens, nil
}
