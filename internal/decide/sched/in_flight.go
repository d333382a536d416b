package sched

import (
	"time"
)

// overdueFactor is how many times longer than expected a first token may take
// before its target counts as slow. Load from other daemons delays it by a
// factor of about two.
const overdueFactor = 3

// startFlight counts an item as in flight at the chosen target.
func (s *Scheduler) startFlight(now time.Time, id int32) {
	it, t := &s.items[id], &s.targets[s.choice.Target]
	w := it.work
	it.phase = phaseInFlight
	it.target, it.dispatchedAt, it.firstTokenAt = s.choice.Target, now, time.Time{}
	it.uncached, it.prefillAhead = max(w.Cost.Prompt-s.cachedTokens(it.target), 0), t.prefillTokens
	it.expected, it.longPrefill = s.expectedDuration(), s.longPrefills.IsLong(s.prefillSeconds(w))
	if it.longPrefill {
		s.longPrefills.Start(w.Team)
	}
	t.requests++
	t.tokens += w.Cost.Tokens()
	t.prefillTokens += it.uncached
	t.prefilling++
	if t.prefilling == 1 {
		t.firstTokenDue = now.Add(s.firstTokenTimeout(now, t))
	}
	s.avgUncached += averageWeight * (float64(it.uncached) - s.avgUncached)
	s.inFlight++
	s.reserve.RecordStart(rankOf(w))
	s.inFlightTokens[rankOf(w)] += w.Cost.Tokens()
	s.inFlightByRank[rankOf(w)]++
	s.drainRate.Add(now, w.Cost.Tokens())
	t.slow.StartProbe()
	s.prefixIndex.Store(it.target, w.Prefix)
	s.updateAvailability(it.target)
}

// firstTokenTimeout returns how long a target with prefills in flight may go
// without a first token before it counts as slow. Waiting for the answers
// themselves would detect it too late, as these are slow too.
func (s *Scheduler) firstTokenTimeout(now time.Time, t *target) time.Duration {
	sec := t.speed.QueueDelay(now).Seconds() + float64(t.prefillTokens)/s.prefillRate(t)
	return max(time.Duration(overdueFactor*sec*float64(time.Second)), 2*minCompared)
}

// endPrefill counts an item's prefill as finished.
func (s *Scheduler) endPrefill(now time.Time, it *item, t *target) {
	t.prefillTokens -= it.uncached
	t.prefilling--
	t.firstTokenDue = now.Add(s.firstTokenTimeout(now, t))
	if it.longPrefill {
		s.longPrefills.End(it.work.Team)
	}
}

// endFlight counts an item as no longer in flight.
func (s *Scheduler) endFlight(now time.Time, id int32) {
	it := &s.items[id]
	t := &s.targets[it.target]
	t.requests--
	t.tokens -= it.work.Cost.Tokens()
	if it.firstTokenAt.IsZero() {
		s.endPrefill(now, it, t)
	}
	s.inFlight--
	s.reserve.RecordEnd(rankOf(it.work), now.Sub(it.dispatchedAt))
	s.inFlightTokens[rankOf(it.work)] -= it.work.Cost.Tokens()
	s.inFlightByRank[rankOf(it.work)]--
	s.updateAvailability(it.target)
}
