package sched

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/deadline"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
)

// sample is how many targets are weighed for one decision. Up to this
// number all are; of more, a random sample and the holders of the prefix, so
// that a decision costs the same at 2,700 targets as at 12. The best of 12
// random ones is among the best sixth in nine of ten decisions.
const sample = 12

// slowPenalty makes a slow target the last choice, but better than none.
const slowPenalty = 3

// choose finds the target for work. It reports false if the work would end too
// late at every open target, or is long and has to wait for its turn.
func (s *Scheduler) choose(now time.Time, slot int32, p *fireflypath.Placement) bool {
	it := &s.items[slot]
	w := it.work
	s.weigh(now, w, p)
	if len(s.options) == 0 {
		s.exceed(now, slot, p)
	}
	if len(s.options) == 0 {
		return false
	}
	key := uint64(0)
	if len(w.Prefix) > 0 {
		key = w.Prefix[0]
	}
	s.pick = s.options[s.chosen.Choose(key, s.options)]
	factor := s.margin.Factor()
	if s.urgent(now, it) && s.risky(w) {
		factor = s.margin.Tight()
	}
	if s.last(now, it) {
		factor = 1
	}
	if s.targets[s.pick.Target].known() && deadline.Latest(w.Deadline, s.expected(), factor).Before(now) {
		return false
	}
	return !s.long.Long(s.prefill(w)) || s.long.Open(s.parts, w.Team)
}

// expected is how long the work chosen for last takes.
func (s *Scheduler) expected() time.Duration {
	return time.Duration(s.pick.Score * float64(time.Second))
}

// prefill is how long the prefill of the work chosen for last takes, in seconds.
func (s *Scheduler) prefill(w *fireflypath.Work) float64 {
	t := s.pick.Target
	return float64(max(w.Cost.Prompt-s.hit(t), 0)) / s.prefillRate(&s.targets[t])
}

// weigh fills the options and the candidates: the holders found last, and all
// open targets or a random sample of many.
func (s *Scheduler) weigh(now time.Time, w *fireflypath.Work, p *fireflypath.Placement) {
	s.options = s.options[:0]
	p.Considered = p.Considered[:0]
	for _, i := range s.holders {
		if s.targets[i].at != none {
			s.consider(now, i, w, p)
		}
	}
	n := len(s.open)
	if n <= sample {
		for _, i := range s.open {
			if s.hit(i) == 0 {
				s.consider(now, i, w, p)
			}
		}
		return
	}
	at := s.rnd.IntN(n)
	step := 1 + s.rnd.IntN(n-1)
	for range sample {
		if i := s.open[at]; s.hit(i) == 0 {
			s.consider(now, i, w, p)
		}
		at = (at + step) % n
	}
}

func (s *Scheduler) consider(now time.Time, i int32, w *fireflypath.Work, p *fireflypath.Placement) {
	t := &s.targets[i]
	if s.keep && s.fast(t) {
		return
	}
	hit := s.hit(i)
	score := s.expect(now, t, w, hit)
	if t.slow.State() == slow.Slow || (t.filling > 0 && now.After(t.due)) {
		score *= slowPenalty
	}
	s.options = append(s.options, place.Option{Target: i, Hash: t.hash, Requests: t.requests, Score: score})
	p.Considered = append(p.Considered, fireflypath.Candidate{
		Target:   t.Name,
		Held:     t.tokens,
		Reported: t.report.Tokens,
		Age:      now.Sub(t.report.Measured),
		Window:   int(t.part * float64(t.window.Tokens(s.prefillRate(t)))),
		Hit:      hit,
		Score:    score,
	})
}

// hit is the number of prompt tokens expected in the cache of a target, for the
// work weighed last.
func (s *Scheduler) hit(i int32) int {
	for k, h := range s.holders {
		if h == i {
			return s.depths[k] * block
		}
	}
	return 0
}
