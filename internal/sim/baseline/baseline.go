// Package baseline schedules as plain gateways do: in order of arrival, without tiers,
// deadlines or refusals.
package baseline

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
)

// Scheduler implements fireflypath.Scheduler for one daemon that knows only its own work.
type Scheduler struct {
	leastLoaded bool
	next        int
	targets     []string
	inFlight    map[string]int
	queue       []*fireflypath.Work
}

var _ fireflypath.Scheduler = (*Scheduler)(nil)

// New returns a scheduler that dispatches each request immediately, either to the
// target with the fewest of this daemon's requests in flight or in round-robin order.
func New(least bool, seed uint64) *Scheduler {
	return &Scheduler{leastLoaded: least, next: int(seed % 1000), inFlight: map[string]int{}}
}

// Offer queues the work.
func (s *Scheduler) Offer(_ time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	s.queue = append(s.queue, w)
	return out
}

// Next returns the oldest queued work.
func (s *Scheduler) Next(now time.Time, p *fireflypath.Placement) bool {
	if len(s.queue) == 0 || len(s.targets) == 0 {
		return false
	}
	w := s.queue[0]
	s.queue = s.queue[1:]
	t := s.choose(w)
	s.inFlight[t]++
	p.Work, p.Target, p.Waited = w, t, now.Sub(w.Arrived)
	return true
}

func (s *Scheduler) choose(w *fireflypath.Work) string {
	s.next++
	best := s.targets[s.next%len(s.targets)]
	for i := range s.targets {
		t := s.targets[(s.next+i)%len(s.targets)]
		avoidsRepeat := slices.Contains(w.Avoid, best) && !slices.Contains(w.Avoid, t)
		if avoidsRepeat || s.leastLoaded && s.inFlight[t] < s.inFlight[best] {
			best = t
		}
	}
	return best
}

// Withdraw removes queued work.
func (s *Scheduler) Withdraw(_ time.Time, w *fireflypath.Work) bool {
	i := slices.Index(s.queue, w)
	if i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	return i >= 0
}

// Expire never sheds work.
func (s *Scheduler) Expire(_ time.Time, out []fireflypath.Shed) []fireflypath.Shed { return out }

// Wake never requests a wake-up.
func (s *Scheduler) Wake(time.Time) time.Time { return time.Time{} }

// Observe updates the number of requests in flight.
func (s *Scheduler) Observe(_ time.Time, e fireflypath.Event) {
	switch e.Kind {
	case fireflypath.EventDone, fireflypath.EventFailed, fireflypath.EventRefused, fireflypath.EventUnsent:
		s.inFlight[e.Target]--
	default:
	}
}

// SetTargets replaces the targets.
func (s *Scheduler) SetTargets(_ time.Time, targets []fireflypath.Target) {
	s.targets = s.targets[:0]
	for _, t := range targets {
		if !t.Drained {
			s.targets = append(s.targets, t.Name)
		}
	}
	slices.SortFunc(s.targets, strings.Compare)
}

// SetShare does nothing.
func (s *Scheduler) SetShare(time.Time, fireflypath.Share) {}

// Demand returns an empty demand.
func (s *Scheduler) Demand(time.Time) fireflypath.Demand { return fireflypath.Demand{} }

// Relieve never sheds work.
func (s *Scheduler) Relieve(_ time.Time, _, _ int, out []fireflypath.Shed) []fireflypath.Shed {
	return out
}

// Views returns no views.
func (s *Scheduler) Views(_ time.Time, out []fireflypath.TargetView) []fireflypath.TargetView {
	return out
}
