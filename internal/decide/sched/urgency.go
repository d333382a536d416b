package sched

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
)

// urgent reports whether work has waited for at least half of the time until
// its latest start.
func (s *Scheduler) urgent(now time.Time, it *item) bool {
	return 2*it.latestStart.Sub(now) <= it.latestStart.Sub(it.work.Arrived)
}

// critical reports whether work above the lowest tier has waited for three
// quarters of the time until its latest start. The next step would be to refuse
// it, and before that to shed all lower-tier work.
func (s *Scheduler) critical(now time.Time, it *item) bool {
	return rankOf(it.work) < s.cfg.LowestRank && s.riskAllowed(it.work) && 4*it.latestStart.Sub(now) <= it.latestStart.Sub(it.work.Arrived)
}

// riskAllowed reports whether work that runs out of time may be sent with a
// smaller safety margin or beyond a target's limit. That is the case if
// refusing it would require shedding lower-tier work that waits, or if its tier
// lacks capacity only for a moment. If more requests of its tier wait than the
// fast targets accept at once, refusing one costs nothing: another one takes
// its place and meets its deadline, whereas taking the risk would waste
// prefill.
func (s *Scheduler) riskAllowed(w *fireflypath.Work) bool {
	r := rankOf(w)
	return s.lowestWaiting(r) >= 0 || s.queue.Requests(r) <= s.fastSlots
}

// addOverLimitOptions adds targets beyond their limits as options for work that
// runs out of time, unless it is of the lowest tier. Slots taken by lower-tier
// work in a quiet period are released too late for it. One more request in the
// target's own queue starts after the next answer there, and all daemons
// together cause about nine times as many of those as this one sees.
func (s *Scheduler) addOverLimitOptions(now time.Time, id int32, p *fireflypath.Placement) {
	it := &s.items[id]
	if rankOf(it.work) >= s.cfg.LowestRank || !s.riskAllowed(it.work) || !s.urgent(now, it) {
		return
	}
	n := len(s.targets)
	pos := s.rng.IntN(n)
	for range min(n, sampleSize) {
		t := &s.targets[pos]
		hasSpare := t.requests <= t.maxRequests() && t.prefilling == 0
		if s.critical(now, it) {
			hasSpare = t.requests <= t.maxRequests()+1
		}
		if t.usable() && t.slow.State() == slow.Ready && hasSpare {
			s.addOption(now, int32(pos), it.work, p)
		}
		pos = (pos + 1) % n
	}
}
