package sched

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/fair"
)

const (
	// aside is how many requests may step aside in one decision: for a faster
	// target, for one that has the prompt cached, or as long work. Each costs
	// another weighing of the open targets, few when many wait.
	aside = 8
	// worth is the least number of cached tokens that work steps aside for: four
	// blocks, a tenth of a second at the slowest targets.
	worth = 4 * block
	// patience is how many times the prefill it saves work may step aside for.
	// Under overload the target's time is what is short, and others use it
	// meanwhile.
	patience = 4
)

// Next chooses the next work and its target and counts it as in flight.
func (s *Scheduler) Next(now time.Time, p *fireflypath.Placement) bool {
	s.drain.Pass(now, s.queue.Len() > 0)
	if len(s.sick) > 0 {
		s.probe(now)
	}
	for r := range fair.Ranks {
		if s.queue.Requests(r) == 0 {
			continue
		}
		if len(s.open) == 0 && r >= s.cfg.LowestRank {
			return false
		}
		if s.nextOf(now, r, p) {
			return true
		}
	}
	return false
}

// kept is true if the free slots of the fast targets are kept for higher tiers.
// Slow targets are not: they end little work in time that has a tight deadline.
func (s *Scheduler) kept(now time.Time, r int) bool {
	if s.flights == 0 {
		return false
	}
	return float64(s.capacity-s.busy) <= s.reserve.Above(now, r)
}

// nextOf dispatches the first work of a tier that an open target can end in
// time. Work whose prompt is cached at a target without room lets others pass
// that are as well off here, for a while: the open target would prefill it anew.
func (s *Scheduler) nextOf(now time.Time, r int, p *fireflypath.Placement) bool {
	s.parked = s.parked[:0]
	s.keep = s.kept(now, r)
	patient := none
	found := false
	for !found && len(s.parked) < aside {
		slot := s.queue.Head(r)
		if slot == none {
			break
		}
		if s.drop(now, slot) {
			continue
		}
		s.find(s.items[slot].work)
		wait := s.elsewhere(now, slot, s.openDepth())
		if !wait && !s.choose(now, slot, p) {
			s.park(slot)
			continue
		}
		if wait || s.elsewhere(now, slot, s.hit(s.pick.Target)/block) {
			if patient == none {
				patient = slot
			}
			s.park(slot)
			continue
		}
		s.send(now, slot, p)
		found = true
	}
	for i := len(s.parked) - 1; i >= 0; i-- {
		s.queue.Return(s.parked[i], s.items[s.parked[i]].work)
	}
	if found || patient == none {
		return found
	}
	s.find(s.items[patient].work)
	if !s.choose(now, patient, p) {
		return false
	}
	s.send(now, patient, p)
	return true
}

// drop takes work out that was withdrawn elsewhere or that is too late.
func (s *Scheduler) drop(now time.Time, slot int32) bool {
	it := &s.items[slot]
	if it.work.Life.State() != fireflypath.StateWaiting {
		s.unqueue(slot)
		s.release(slot)
		return true
	}
	if !it.latest.After(now) {
		s.doom(slot)
		return true
	}
	return false
}

// park lets others pass until the end of the decision.
func (s *Scheduler) park(slot int32) {
	s.queue.Remove(slot)
	s.parked = append(s.parked, slot)
}

// elsewhere is true if much more of the prompt is cached at some target than the
// given number of blocks, for as long as is worth waiting for it. It is asked
// before the open targets are weighed, since stepping aside is to cost little,
// and again for the chosen one.
func (s *Scheduler) elsewhere(now time.Time, slot int32, blocks int) bool {
	it := &s.items[slot]
	if len(s.depths) == 0 || s.urgent(now, it) {
		return false
	}
	saved := (s.depths[0] - blocks) * block
	if saved < worth {
		return false
	}
	if it.aside.IsZero() {
		it.aside = now
	}
	sec := float64(saved) / s.prefillRate(&s.targets[s.holders[0]])
	return now.Sub(it.aside).Seconds() < patience*sec
}

// openDepth is how many blocks of the prompt the best open target holds.
func (s *Scheduler) openDepth() int {
	n := 0
	for k, i := range s.holders {
		if s.targets[i].at != none {
			n = max(n, s.depths[k])
		}
	}
	return n
}

// find looks up which targets hold the beginning of the prompt.
func (s *Scheduler) find(w *fireflypath.Work) {
	s.holders, s.depths = s.index.Find(w.Prefix, s.holders[:0], s.depths[:0])
}

// send counts work as in flight at the target chosen last.
func (s *Scheduler) send(now time.Time, slot int32, p *fireflypath.Placement) {
	it := &s.items[slot]
	s.queue.Serve(slot)
	s.unschedule(slot)
	s.depart(now, slot)
	p.Work = it.work
	p.Target = s.targets[it.target].Name
	p.Waited = now.Sub(it.work.Arrived)
	p.Ahead = it.ahead
}

// Wake is when Next or Expire may have something new without an event.
func (s *Scheduler) Wake(now time.Time) time.Time {
	var at time.Time
	if len(s.latest) > 0 {
		at = s.items[s.latest[0]].latest
	}
	for _, slot := range s.doomed {
		if due := s.items[slot].asked.Add(again); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	if s.queue.Len() == 0 {
		return at
	}
	for _, i := range s.sick {
		t := &s.targets[i]
		if !t.usable() || t.requests > 0 {
			continue
		}
		if due := t.slow.Due(); at.IsZero() || due.Before(at) {
			at = due
		}
	}
	return at
}
