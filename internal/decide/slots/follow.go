package slots

import (
	"slices"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
)

// Adopt counts work that another scheduler placed at the target of that identity.
func (s *Sched) Adopt(now time.Time, w *fireflypath.Work, identity string, sent time.Time, began bool) {
	i := slices.IndexFunc(s.order, func(t *target) bool { return t.id == identity })
	if i < 0 {
		return // its life is over, or nobody here has heard of it yet
	}
	t := s.order[i]
	f := flight{target: t, sent: sent, before: t.prefill + t.ahead}
	t.requests++
	if began {
		f.first = now
	} else {
		t.prefill += w.Cost.Prompt
	}
	s.flights[w] = f
	t.sent(now)
}

// Release takes all waiting work out, in the order of its arrival.
func (s *Sched) Release() []*fireflypath.Work {
	out := s.waiting
	s.waiting = nil
	return out
}

// Flights calls fn for all work at targets, which are named by identity, in the
// order of dispatch.
func (s *Sched) Flights(fn func(w *fireflypath.Work, target string, sent time.Time, began bool)) {
	all := make([]*fireflypath.Work, 0, len(s.flights))
	for w := range s.flights {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *fireflypath.Work) int {
		if c := s.flights[a].sent.Compare(s.flights[b].sent); c != 0 {
			return c
		}
		return strings.Compare(a.ID, b.ID)
	})
	for _, w := range all {
		f := s.flights[w]
		fn(w, f.target.id, f.sent, !f.first.IsZero())
	}
}
