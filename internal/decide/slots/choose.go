package slots

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
)

const (
	// defaultPrefillRate is the prefill rate, in tokens per second, assumed while
	// no target's rate is known. The first answer replaces it.
	defaultPrefillRate = 30_000
	// prefillChunk is the number of prompt tokens that an engine prefills in one
	// step alongside its running streams, the usual default with continuous
	// batching.
	prefillChunk = 2048
	// defaultTokensPerEvent is used if the pool does not configure a stride.
	defaultTokensPerEvent = 3
)

// chooseTarget returns the best target that can take the request, or nil. Equal targets
// are ordered differently by each daemon. Daemons that have just started know neither the
// targets' speeds nor each other: with one order, all of them sent their first requests
// to the same few targets.
func (s *Scheduler) chooseTarget(now time.Time, w *fireflypath.Work) *target {
	var best *target
	bestScore, bestNeeded := 0.0, false
	for _, t := range s.targetsFor(w) {
		if !s.canTake(now, t, w) {
			continue
		}
		v, isNeeded := s.score(now, t, w), s.isNeeded(t, w)
		switch {
		case best == nil, bestNeeded && !isNeeded:
		case isNeeded != bestNeeded, v > bestScore, v == bestScore && s.noise(t) >= s.noise(best):
			continue
		}
		best, bestScore, bestNeeded = t, v, isNeeded
	}
	return best
}

// canTake reports whether the target can take the request now.
func (s *Scheduler) canTake(now time.Time, t *target, w *fireflypath.Work) bool {
	if !mayRun(t, w) || s.inBackoff(now, t, w) || s.busyReason(now, t, s.allowedExtra(t, w.Rank)) != "" {
		return false
	}
	return (t.unassigned || s.hasTurn(now, t, w.Rank)) && s.suits(now, t, w) && s.endsInTime(t, w)
}

// suits reports whether the request may go to the target although faster ones may
// exist.
//
// Engines prefill prompts in chunks between the decode steps of running streams. At
// an engine several times slower than the others, a prompt of some thousand tokens
// stalls all streams for longer than their callers tolerate, and a long answer
// misses its deadline. Such requests wait for a faster target, unless their goal
// has passed. Targets that are not much slower than the fastest always suit:
// otherwise the longest prompts would wait until their goal has passed, with
// nothing to wait for.
func (s *Scheduler) suits(now time.Time, t *target, w *fireflypath.Work) bool {
	if s.maxPrefillRate == 0 || !t.speedKnown() {
		return true
	}
	fastest := s.fastestFor(w)
	if fastest == nil || fastest == t {
		return true
	}
	if s.expectedDuration(t, w) > s.tuning.MaxDurationFraction*w.Deadline.Sub(now).Seconds() && s.expectedDuration(fastest, w) < s.expectedDuration(t, w) {
		return false
	}
	if w.Gap <= 0 || s.occupied(now, t) == 0 || s.prefillRate(t) > s.tuning.SlowPrefillRatio*s.prefillRate(fastest) {
		return true
	}
	stall := float64(min(w.Cost.Prompt, s.tokensPerEvent()*prefillChunk)) / s.prefillRate(t)
	return stall <= s.tuning.MaxStallFraction*w.Gap.Seconds() || now.After(w.Goal)
}

// tokensPerEvent returns the number of tokens in one event of a stream.
func (s *Scheduler) tokensPerEvent() int {
	if s.pool.Stride > 0 {
		return s.pool.Stride
	}
	return defaultTokensPerEvent
}

// expectedDuration returns the expected duration of the request at the target, in
// seconds.
func (s *Scheduler) expectedDuration(t *target, w *fireflypath.Work) float64 {
	sec := float64(w.Cost.Prompt) / s.prefillRate(t)
	if d := t.speed.DecodeRate(); d > 0 {
		sec += float64(w.ExpectedOutput) / (d * float64(s.tokensPerEvent()))
	}
	return sec
}

// speedKnown reports whether the target's prefill and decode rates are known, from
// answers or from another daemon.
func (t *target) speedKnown() bool {
	return t.speed.PrefillRate() > 0 && t.speed.DecodeRate() > 0
}

// score returns the expected time to the first event, in seconds, increased by the
// target's occupancy, its queue and its failures. Lower is better.
func (s *Scheduler) score(now time.Time, t *target, w *fireflypath.Work) float64 {
	sec := float64(t.pendingPrefill+t.peerPrefill+w.Cost.Prompt)/s.prefillRate(t) + t.speed.QueueDelay(now).Seconds() + 1e-3
	occupancy := float64(s.occupied(now, t)) / float64(t.slots())
	sec *= 1 + s.tuning.SlotPenalty*occupancy*float64(t.slots())
	if over := s.occupied(now, t) + 1 - t.slots(); over > 0 {
		sec += float64(over) * t.slotTime / float64(t.slots())
	}
	sec *= 1 + s.tuning.FailurePenalty*t.failureRate
	return sec * (1 + s.tuning.ScoreNoise*s.noise(t))
}

// noise returns a pseudo-random number in [0, 1) that is fixed for a target and
// differs between daemons.
func (s *Scheduler) noise(t *target) float64 {
	return float64(place.Mix64(t.nameHash^s.seed)>>11) / (1 << 53)
}

// prefillRate returns the target's prefill rate. If it is unknown, the fastest
// known rate is assumed.
func (s *Scheduler) prefillRate(t *target) float64 {
	if r := t.speed.PrefillRate(); r > 0 {
		return r
	}
	if s.maxPrefillRate > 0 {
		return s.maxPrefillRate
	}
	return defaultPrefillRate
}
