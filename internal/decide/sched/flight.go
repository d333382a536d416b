package sched

import (
	"time"
)

// overdueAfter is how many times longer than expected a first token may take
// before its target is taken for slow; others' work moves it by about two.
const overdueAfter = 3

// depart counts work as in flight.
func (s *Scheduler) depart(now time.Time, slot int32) {
	it, t := &s.items[slot], &s.targets[s.pick.Target]
	w := it.work
	it.phase = phaseFlight
	it.target, it.sent, it.first = s.pick.Target, now, time.Time{}
	it.fresh, it.before = max(w.Cost.Prompt-s.hit(it.target), 0), t.prefill
	it.expected, it.long = s.expected(), s.long.Long(s.prefill(w))
	if it.long {
		s.long.Start(w.Team)
	}
	t.requests++
	t.tokens += w.Cost.Tokens()
	t.prefill += it.fresh
	t.filling++
	if t.filling == 1 {
		t.due = now.Add(s.overdue(now, t))
	}
	s.prompt += blend * (float64(it.fresh) - s.prompt)
	s.flights++
	s.reserve.Start(rank(w))
	s.running[rank(w)] += w.Cost.Tokens()
	s.flying[rank(w)]++
	s.drain.Add(now, w.Cost.Tokens())
	t.slow.Probe()
	s.index.Store(it.target, w.Prefix)
	s.refresh(it.target)
}

// overdue is how long a target with prefills in flight may send no first token
// before it is taken for slow: the answers that would tell come too late, as
// they are slow themselves.
func (s *Scheduler) overdue(now time.Time, t *target) time.Duration {
	sec := t.speed.Delay(now).Seconds() + float64(t.prefill)/s.prefillRate(t)
	return max(time.Duration(overdueAfter*sec*float64(time.Second)), 2*brief)
}

// filled ends the prefill of work in flight.
func (s *Scheduler) filled(now time.Time, it *item, t *target) {
	t.prefill -= it.fresh
	t.filling--
	t.due = now.Add(s.overdue(now, t))
	if it.long {
		s.long.End(it.work.Team)
	}
}

// land takes work out of flight.
func (s *Scheduler) land(now time.Time, slot int32) {
	it := &s.items[slot]
	t := &s.targets[it.target]
	t.requests--
	t.tokens -= it.work.Cost.Tokens()
	if it.first.IsZero() {
		s.filled(now, it, t)
	}
	s.flights--
	s.reserve.End(rank(it.work), now.Sub(it.sent))
	s.running[rank(it.work)] -= it.work.Cost.Tokens()
	s.flying[rank(it.work)]--
	s.refresh(it.target)
}
