package sched

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
)

// urgent is true for work that has waited for half of the time it has.
func (s *Scheduler) urgent(now time.Time, it *item) bool {
	return 2*it.latest.Sub(now) <= it.latest.Sub(it.work.Arrived)
}

// last is true for work above the lowest tier that has waited for three quarters
// of its time: the next to come is its refusal, and before it that of all lower
// work.
func (s *Scheduler) last(now time.Time, it *item) bool {
	return rank(it.work) < s.cfg.LowestRank && s.risky(it.work) && 4*it.latest.Sub(now) <= it.latest.Sub(it.work.Arrived)
}

// risky is true while work whose time runs out may be sent with a smaller margin
// or beyond a window. Its refusal would cost lower work that waits, or the tier is
// short of targets for a moment only. When more of its tier waits than the fast
// targets take at once, the refusal costs nothing: other work of the tier uses the
// place and ends in time, where the risk would turn into prefill thrown away.
func (s *Scheduler) risky(w *fireflypath.Work) bool {
	r := rank(w)
	return s.lower(r) >= 0 || s.queue.Requests(r) <= s.capacity
}

// exceed offers targets beyond their windows to work whose time is running out,
// unless it is of the lowest tier. The slots of a window that lower work took in
// a quiet moment come back too late for it; one request more in the target's own
// queue waits for the next answer there, which all daemons together bring about
// nine times as often as this one sees.
func (s *Scheduler) exceed(now time.Time, slot int32, p *fireflypath.Placement) {
	it := &s.items[slot]
	if rank(it.work) >= s.cfg.LowestRank || !s.risky(it.work) || !s.urgent(now, it) {
		return
	}
	n := len(s.targets)
	at := s.rnd.IntN(n)
	for range min(n, sample) {
		t := &s.targets[at]
		spare := t.requests <= t.limit() && t.filling == 0
		if s.last(now, it) {
			spare = t.requests <= t.limit()+1
		}
		if t.usable() && t.slow.State() == slow.Ready && spare {
			s.consider(now, int32(at), it.work, p)
		}
		at = (at + 1) % n
	}
}
