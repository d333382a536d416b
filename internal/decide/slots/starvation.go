package slots

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// admitStarved reports whether the request is admitted because its tier is starved
// and few enough requests of the tier wait for it to be served by its goal.
func (s *Scheduler) admitStarved(now time.Time, w *fireflypath.Work) bool {
	if !s.floor.Due(now, w.Rank) {
		return false
	}
	return float64(s.countQueued(w)) < max(1, s.floor.Rate(now, w.Rank)*w.Goal.Sub(now).Seconds())
}

// starvedTier returns the rank of the lowest tier that is below its minimum of
// service and has requests waiting.
func (s *Scheduler) starvedTier(now time.Time) (int, bool) {
	lowest := -1
	for _, w := range s.waiting {
		if w.Rank > lowest && s.floor.Due(now, w.Rank) {
			lowest = w.Rank
		}
	}
	return lowest, lowest >= 0
}
