// Package baseline schedules as plain gateways do: in order of arrival, without tiers, deadlines or refusals.
package baseline

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
)

// Sched implements fireflypath.Scheduler for one daemon that knows only its own work.
type Sched struct {
	least   bool
	turn    int
	targets []string
	held    map[string]int
	queue   []*fireflypath.Work
}

var _ fireflypath.Scheduler = (*Sched)(nil)

// New returns a scheduler that sends each request at once, to the target with the
// least of this daemon's requests or to the next one in turn.
func New(least bool, seed uint64) *Sched {
	return &Sched{least: least, turn: int(seed % 1000), held: map[string]int{}}
}

// Offer takes work in.
func (s *Sched) Offer(_ time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	s.queue = append(s.queue, w)
	return out
}

// Next gives out the work that came first.
func (s *Sched) Next(now time.Time, p *fireflypath.Placement) bool {
	if len(s.queue) == 0 || len(s.targets) == 0 {
		return false
	}
	w := s.queue[0]
	s.queue = s.queue[1:]
	t := s.choose(w)
	s.held[t]++
	p.Work, p.Target, p.Waited = w, t, now.Sub(w.Arrived)
	return true
}

func (s *Sched) choose(w *fireflypath.Work) string {
	s.turn++
	best := s.targets[s.turn%len(s.targets)]
	for i := range s.targets {
		t := s.targets[(s.turn+i)%len(s.targets)]
		again := slices.Contains(w.Avoid, best) && !slices.Contains(w.Avoid, t)
		if again || s.least && s.held[t] < s.held[best] {
			best = t
		}
	}
	return best
}

// Withdraw removes waiting work.
func (s *Sched) Withdraw(_ time.Time, w *fireflypath.Work) bool {
	i := slices.Index(s.queue, w)
	if i >= 0 {
		s.queue = slices.Delete(s.queue, i, i+1)
	}
	return i >= 0
}

// Expire gives nothing up.
func (s *Sched) Expire(_ time.Time, out []fireflypath.Shed) []fireflypath.Shed { return out }

// Wake is never.
func (s *Sched) Wake(time.Time) time.Time { return time.Time{} }

// Observe counts what has ended.
func (s *Sched) Observe(_ time.Time, e fireflypath.Event) {
	switch e.Kind {
	case fireflypath.EventDone, fireflypath.EventFailed, fireflypath.EventRefused, fireflypath.EventUnsent:
		s.held[e.Target]--
	default:
	}
}

// SetTargets replaces the targets.
func (s *Sched) SetTargets(_ time.Time, targets []fireflypath.Target) {
	s.targets = s.targets[:0]
	for _, t := range targets {
		if !t.Drained {
			s.targets = append(s.targets, t.Name)
		}
	}
	slices.SortFunc(s.targets, strings.Compare)
}

// SetShare is of no use here.
func (s *Sched) SetShare(time.Time, fireflypath.Share) {}

// Demand tells nothing.
func (s *Sched) Demand(time.Time) fireflypath.Demand { return fireflypath.Demand{} }

// Relieve gives nothing up.
func (s *Sched) Relieve(_ time.Time, _, _ int, out []fireflypath.Shed) []fireflypath.Shed { return out }

// Views tells nothing.
func (s *Sched) Views(_ time.Time, out []fireflypath.TargetView) []fireflypath.TargetView { return out }
