package sched

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/fair"
)

const (
	// maxDeferred is the number of requests that one decision may defer:
	// because of a better target, one that has the prompt cached, or the limit
	// on long prefills. Each costs one more comparison of the available
	// targets, which are few when many requests wait.
	maxDeferred = 8
	// minCacheGain is the smallest number of cached tokens that work waits for:
	// four blocks, which take a tenth of a second at the slowest targets.
	minCacheGain = 4 * blockTokens
	// deferFactor limits how long work waits for a target with its prompt
	// cached, as a multiple of the prefill time saved. Under overload target
	// time is the scarce resource, and other work uses it meanwhile.
	deferFactor = 4
)

// Next chooses the next work to dispatch and its target, and counts the work as
// in flight.
func (s *Scheduler) Next(now time.Time, p *fireflypath.Placement) bool {
	s.drainRate.Advance(now, s.queue.Len() > 0)
	if len(s.ejected) > 0 {
		s.openForProbing(now)
	}
	for r := range fair.Ranks {
		if s.queue.Requests(r) == 0 {
			continue
		}
		if len(s.available) == 0 && r >= s.cfg.LowestRank {
			return false
		}
		if s.nextOfRank(now, r, p) {
			return true
		}
	}
	return false
}

// reservedAbove reports whether the free capacity of the fast targets is
// reserved for tiers above rank r. Slow targets are not reserved: they complete
// little work with a tight deadline in time.
func (s *Scheduler) reservedAbove(now time.Time, r int) bool {
	if s.inFlight == 0 {
		return false
	}
	return float64(s.fastSlots-s.fastBusy) <= s.reserve.SlotsAbove(now, r)
}

// nextOfRank dispatches the first work of a tier that an available target can
// complete in time. Work whose prompt is cached at a target without capacity is
// deferred for a while in favor of work that loses nothing here, as the
// available target would have to prefill the prompt again. If no other work
// qualifies, the first deferred work is dispatched after all.
func (s *Scheduler) nextOfRank(now time.Time, r int, p *fireflypath.Placement) bool {
	s.deferred = s.deferred[:0]
	s.fastReserved = s.reservedAbove(now, r)
	firstDeferred := none
	found := false
	for !found && len(s.deferred) < maxDeferred {
		id := s.queue.Head(r)
		if id == none {
			break
		}
		if s.dropUnservable(now, id) {
			continue
		}
		s.findHolders(s.items[id].work)
		waitForCache := s.worthWaitingForCache(now, id, s.availableDepth())
		if !waitForCache && !s.choose(now, id, p) {
			s.postpone(id)
			continue
		}
		if waitForCache || s.worthWaitingForCache(now, id, s.cachedTokens(s.choice.Target)/blockTokens) {
			if firstDeferred == none {
				firstDeferred = id
			}
			s.postpone(id)
			continue
		}
		s.dispatch(now, id, p)
		found = true
	}
	for i := len(s.deferred) - 1; i >= 0; i-- {
		s.queue.Requeue(s.deferred[i], s.items[s.deferred[i]].work)
	}
	if found || firstDeferred == none {
		return found
	}
	s.findHolders(s.items[firstDeferred].work)
	if !s.choose(now, firstDeferred, p) {
		return false
	}
	s.dispatch(now, firstDeferred, p)
	return true
}

// dropUnservable removes an item from the queue if its work is no longer
// waiting or has passed its latest start.
func (s *Scheduler) dropUnservable(now time.Time, id int32) bool {
	it := &s.items[id]
	if it.work.Lifecycle.State() != fireflypath.StateWaiting {
		s.removeWaiting(id)
		s.freeItem(id)
		return true
	}
	if !it.latestStart.After(now) {
		s.markExpired(id)
		return true
	}
	return false
}

// postpone takes an item out of the queue until the end of the decision.
func (s *Scheduler) postpone(id int32) {
	s.queue.Remove(id)
	s.deferred = append(s.deferred, id)
}

// worthWaitingForCache reports whether another target has so many more blocks
// of the prompt cached than the given number that waiting for it is still
// worthwhile. It is checked before the available targets are scored, to keep
// deferring cheap, and again for the chosen target.
func (s *Scheduler) worthWaitingForCache(now time.Time, id int32, blocks int) bool {
	it := &s.items[id]
	if len(s.prefixDepths) == 0 || s.urgent(now, it) {
		return false
	}
	savedTokens := (s.prefixDepths[0] - blocks) * blockTokens
	if savedTokens < minCacheGain {
		return false
	}
	if it.deferredSince.IsZero() {
		it.deferredSince = now
	}
	sec := float64(savedTokens) / s.prefillRate(&s.targets[s.prefixHolders[0]])
	return now.Sub(it.deferredSince).Seconds() < deferFactor*sec
}

// availableDepth returns the largest number of the prompt's blocks cached at an
// available target.
func (s *Scheduler) availableDepth() int {
	n := 0
	for k, i := range s.prefixHolders {
		if s.targets[i].availablePos != none {
			n = max(n, s.prefixDepths[k])
		}
	}
	return n
}

// findHolders looks up the targets that have the beginning of the work's prompt
// cached.
func (s *Scheduler) findHolders(w *fireflypath.Work) {
	s.prefixHolders, s.prefixDepths = s.prefixIndex.Lookup(w.Prefix, s.prefixHolders[:0], s.prefixDepths[:0])
}

// dispatch removes an item from the queue, counts it as in flight at the chosen
// target and fills in the placement.
func (s *Scheduler) dispatch(now time.Time, id int32, p *fireflypath.Placement) {
	it := &s.items[id]
	s.queue.Serve(id)
	s.removeStart(id)
	s.startFlight(now, id)
	p.Work = it.work
	p.Target = s.targets[it.target].Name
	p.Waited = now.Sub(it.work.Arrived)
	p.Ahead = it.requestsAhead
}

// Wake returns when Next or Expire may have new results without an event; zero
// means never.
func (s *Scheduler) Wake(now time.Time) time.Time {
	var wakeAt time.Time
	if len(s.startHeap) > 0 {
		wakeAt = s.items[s.startHeap[0]].latestStart
	}
	for _, id := range s.expired {
		if due := s.items[id].reliefAsked.Add(expiredReliefInterval); wakeAt.IsZero() || due.Before(wakeAt) {
			wakeAt = due
		}
	}
	if s.queue.Len() == 0 {
		return wakeAt
	}
	for _, i := range s.ejected {
		t := &s.targets[i]
		if !t.usable() || t.requests > 0 {
			continue
		}
		if due := t.slow.ProbeAt(); wakeAt.IsZero() || due.Before(wakeAt) {
			wakeAt = due
		}
	}
	return wakeAt
}
