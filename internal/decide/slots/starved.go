package slots

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// owed is true for work that gets a place in time because its tier is starved.
func (s *Sched) owed(now time.Time, w *fireflypath.Work) bool {
	if !s.floor.Due(now, w.Rank) {
		return false
	}
	queued := 0
	for _, o := range s.waiting {
		if o.Rank == w.Rank {
			queued++
		}
	}
	return float64(queued) < max(1, s.floor.Rate(now, w.Rank)*w.Goal.Sub(now).Seconds())
}

// starved is the lowest tier with work waiting that is due a place.
func (s *Sched) starved(now time.Time) (int, bool) {
	lowest := -1
	for _, w := range s.waiting {
		if w.Rank > lowest && s.floor.Due(now, w.Rank) {
			lowest = w.Rank
		}
	}
	return lowest, lowest >= 0
}
