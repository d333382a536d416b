package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
)

// AddInFlight counts a request that another scheduler dispatched to the target with
// the given identity.
func (s *Scheduler) AddInFlight(now time.Time, w *fireflypath.Work, identity string, sent time.Time, began bool) {
	i := slices.IndexFunc(s.ordered, func(t *target) bool { return t.id == identity })
	if i < 0 {
		return // that incarnation has ended, or is not known here yet
	}
	t := s.ordered[i]
	f := dispatched{target: t, at: sent, prefillAhead: t.pendingPrefill + t.peerPrefill}
	t.requests++
	if began {
		f.firstEventAt = now
	} else {
		t.pendingPrefill += w.Cost.Prompt
	}
	f.charge = s.adoptTeam(now, t, w)
	s.inFlight[w] = f
	t.markProbe(now)
	s.noteForeign(t)
}

// TakeWaiting removes and returns all waiting requests in order of arrival.
func (s *Scheduler) TakeWaiting() []*fireflypath.Work {
	out := s.waiting
	s.waiting = nil
	for _, w := range out {
		s.teams.leave(w)
	}
	return out
}

// EachInFlight calls fn for all requests in flight in order of dispatch. Targets are
// named by identity.
func (s *Scheduler) EachInFlight(fn func(w *fireflypath.Work, target string, sent time.Time, began bool)) {
	all := make([]*fireflypath.Work, 0, len(s.inFlight))
	for w := range s.inFlight {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *fireflypath.Work) int {
		if c := s.inFlight[a].at.Compare(s.inFlight[b].at); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	for _, w := range all {
		f := s.inFlight[w]
		fn(w, f.target.id, f.at, !f.firstEventAt.IsZero())
	}
}
