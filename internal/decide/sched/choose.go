package sched

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/deadline"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
)

// sampleSize is the number of targets compared per decision. Up to this number
// all are compared; of more, a random sample and the targets that hold the
// prefix, so that a decision costs the same with 2,700 targets as with 12. The
// best of 12 random targets is among the best sixth in nine of ten decisions.
const sampleSize = 12

// slowPenalty multiplies the score of a slow target, so that it is chosen only
// when there is no other.
const slowPenalty = 3

// choose selects the target for work. It returns false if the work would miss
// its deadline at every available target, or if it is a long prefill that must
// wait for others to end.
func (s *Scheduler) choose(now time.Time, id int32, p *fireflypath.Placement) bool {
	it := &s.items[id]
	w := it.work
	s.collectOptions(now, w, p)
	if len(s.options) == 0 {
		s.addOverLimitOptions(now, id, p)
	}
	if len(s.options) == 0 {
		return false
	}
	key := uint64(0)
	if len(w.Prefix) > 0 {
		key = w.Prefix[0]
	}
	s.choice = s.options[s.chooser.Choose(key, s.options)]
	factor := s.margin.Factor()
	if s.urgent(now, it) && s.riskAllowed(w) {
		factor = s.margin.TightFactor()
	}
	if s.critical(now, it) {
		factor = 1
	}
	if s.targets[s.choice.Target].hasSpeeds() && deadline.LatestStart(w.Deadline, s.expectedDuration(), factor).Before(now) {
		return false
	}
	return !s.longPrefills.IsLong(s.prefillSeconds(w)) || s.longPrefills.Allow(s.totalParts, w.Team)
}

// expectedDuration returns how long the work takes at the target in s.choice.
func (s *Scheduler) expectedDuration() time.Duration {
	return time.Duration(s.choice.Score * float64(time.Second))
}

// prefillSeconds returns how long the work's prefill takes at the target in
// s.choice.
func (s *Scheduler) prefillSeconds(w *fireflypath.Work) float64 {
	t := s.choice.Target
	return float64(max(w.Cost.Prompt-s.cachedTokens(t), 0)) / s.prefillRate(&s.targets[t])
}

// collectOptions fills s.options and p.Considered with the available prefix
// holders and with all available targets, or a random sample of them if there
// are many.
func (s *Scheduler) collectOptions(now time.Time, w *fireflypath.Work, p *fireflypath.Placement) {
	s.options = s.options[:0]
	p.Considered = p.Considered[:0]
	for _, i := range s.prefixHolders {
		if s.targets[i].availablePos != none {
			s.addOption(now, i, w, p)
		}
	}
	n := len(s.available)
	if n <= sampleSize {
		for _, i := range s.available {
			if s.cachedTokens(i) == 0 {
				s.addOption(now, i, w, p)
			}
		}
		return
	}
	pos := s.rng.IntN(n)
	step := 1 + s.rng.IntN(n-1)
	for range sampleSize {
		if i := s.available[pos]; s.cachedTokens(i) == 0 {
			s.addOption(now, i, w, p)
		}
		pos = (pos + step) % n
	}
}

// addOption scores a target for the work and adds it to the options, unless the
// target is reserved for higher tiers.
func (s *Scheduler) addOption(now time.Time, i int32, w *fireflypath.Work, p *fireflypath.Placement) {
	t := &s.targets[i]
	if s.fastReserved && s.isFast(t) {
		return
	}
	cached := s.cachedTokens(i)
	score := s.expectedSeconds(now, t, w, cached)
	if t.slow.State() == slow.Slow || (t.prefilling > 0 && now.After(t.firstTokenDue)) {
		score *= slowPenalty
	}
	s.options = append(s.options, place.Candidate{Target: i, Hash: t.nameHash, Requests: t.requests, Score: score})
	p.Considered = append(p.Considered, fireflypath.Candidate{
		Target:       t.Name,
		InFlight:     t.tokens,
		Reported:     t.report.Tokens,
		Age:          now.Sub(t.report.MeasuredAt),
		Window:       int(t.part * float64(t.window.Tokens(s.prefillRate(t)))),
		CachedPrompt: cached,
		Score:        score,
	})
}

// cachedTokens returns how many tokens of the current prompt are expected to be
// in the target's cache. The prompt is that of the last findHolders call.
func (s *Scheduler) cachedTokens(i int32) int {
	for k, h := range s.prefixHolders {
		if h == i {
			return s.prefixDepths[k] * blockTokens
		}
	}
	return 0
}
