package slots

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
)

const (
	// guessPrefill is a prefill speed in tokens a second for targets that nothing
	// is known of; a wrong guess lasts for one answer.
	guessPrefill = 30_000
	// chunk is how many prompt tokens an engine prefills in one step beside the
	// streams that it runs: the usual default of engines with continuous batching.
	chunk = 2048
	// defaultStride is the number of tokens of an event where nobody says it.
	defaultStride = 3
)

// choose is the best target with room for the work, or nil.
func (s *Sched) choose(now time.Time, w *fireflypath.Work) *target {
	var best *target
	least := 0.0
	extra := s.extra(w.Rank)
	for _, t := range s.order {
		if !s.takes(now, t, extra) || !s.turn(now, t, w.Rank) || slices.Contains(w.Avoid, t.Name) || !s.fits(now, t, w) {
			continue
		}
		if v := s.score(now, t, w); best == nil || v < least {
			best, least = t, v
		}
	}
	return best
}

// fits is false for work that would do harm at the target, or come to nothing.
//
// Engines prefill prompts in chunks between the steps of the streams that they
// run. At an engine several times slower than others a prompt of some thousand
// tokens holds up all its streams for longer than their callers bear, and a long
// answer does not end in time. Such work waits for a faster target, unless it
// would be late for that. Where no target is much faster there is nothing to wait
// for: the longest prompts would then wait until their goal has passed.
func (s *Sched) fits(now time.Time, t *target, w *fireflypath.Work) bool {
	if s.fast == 0 || !t.known() {
		return true
	}
	if s.duration(t, w) > s.tune.Hurry*w.Deadline.Sub(now).Seconds() && s.duration(s.best, w) < s.duration(t, w) {
		return false
	}
	if w.Gap <= 0 || s.taken(now, t) == 0 || s.prefillRate(t) > s.tune.MuchSlower*s.fast {
		return true
	}
	stall := float64(min(w.Cost.Prompt, s.stride()*chunk)) / s.prefillRate(t)
	return stall <= s.tune.GapPart*w.Gap.Seconds() || now.After(w.Goal)
}

func (s *Sched) stride() int {
	if s.pool.Stride > 0 {
		return s.pool.Stride
	}
	return defaultStride
}

// duration is how long the work is expected to take at a target, in seconds.
func (s *Sched) duration(t *target, w *fireflypath.Work) float64 {
	sec := float64(w.Cost.Prompt) / s.prefillRate(t)
	if d := t.speed.Decode(); d > 0 {
		sec += float64(w.Output) / (d * float64(s.stride()))
	}
	return sec
}

// known is true if the target's speeds were learned from answers.
func (t *target) known() bool {
	return t.speed.Prefill() > 0 && t.speed.Decode() > 0
}

// score is how long the work is expected to take until its answer begins, in
// seconds, made worse by failures and by a full batch.
func (s *Sched) score(now time.Time, t *target, w *fireflypath.Work) float64 {
	sec := float64(t.prefill+t.ahead+w.Cost.Prompt)/s.prefillRate(t) + t.speed.Delay(now).Seconds() + 1e-3
	taken := float64(s.taken(now, t)) / float64(t.slots())
	sec *= 1 + s.tune.SlotCost*taken*float64(t.slots())
	if over := s.taken(now, t) + 1 - t.slots(); over > 0 {
		sec += float64(over) * t.hold / float64(t.slots())
	}
	sec *= 1 + s.tune.FailCost*t.failing
	return sec * (1 + s.tune.Spread*s.noise(t))
}

// noise is a number between 0 and 1 that differs between daemons for a target.
func (s *Sched) noise(t *target) float64 {
	return float64(place.Mix(t.hash^s.seed)>>11) / (1 << 53)
}

func (s *Sched) prefillRate(t *target) float64 {
	if r := t.speed.Prefill(); r > 0 {
		return r
	}
	if s.fast > 0 {
		return s.fast
	}
	return guessPrefill
}
