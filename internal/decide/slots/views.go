package slots

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// candidates appends the targets as they were when a request was dispatched.
func (s *Scheduler) candidates(now time.Time, w *fireflypath.Work, out []fireflypath.Candidate) []fireflypath.Candidate {
	for _, t := range s.shared {
		reason := s.skipReason(now, t, s.allowedExtra(t, w.Rank))
		if !hasVersion(t, w) {
			reason = "version"
		}
		c := fireflypath.Candidate{
			Target: t.Name, InFlight: t.pendingPrefill, Reported: s.otherRequests(now, t), Age: now.Sub(t.reportedAt),
			Window: t.slots(), Score: s.score(now, t, w), SkipReason: reason,
		}
		out = append(out, c)
	}
	return out
}

// Demand summarizes waiting and running requests for the other daemons.
func (s *Scheduler) Demand(time.Time) fireflypath.Demand {
	n := s.lowestRank + 1
	d := fireflypath.Demand{
		Pool: s.pool.Name, Waiting: make([]int, n), Running: make([]int, n),
		WaitingRequests: make([]int, n), RunningRequests: make([]int, n),
	}
	for _, w := range s.waiting {
		d.Waiting[w.Rank] += w.Cost.Tokens()
		d.WaitingRequests[w.Rank]++
	}
	for w := range s.inFlight {
		if w.Rank < n {
			d.Running[w.Rank] += w.Cost.Tokens()
			d.RunningRequests[w.Rank]++
		}
	}
	for _, t := range s.ordered {
		d.Slots += t.slots()
	}
	return d
}

// Views appends the state of each target, for operators.
func (s *Scheduler) Views(now time.Time, out []fireflypath.TargetView) []fireflypath.TargetView {
	for _, t := range s.ordered {
		state := s.skipReason(now, t, 0)
		if state == "" {
			state = "ready"
		}
		out = append(out, fireflypath.TargetView{
			Target: t.Name, Pool: s.pool.Name, State: state, Window: t.slots(), Share: 1,
			InFlight: t.pendingPrefill, Requests: t.requests,
			PrefillRate: t.speed.PrefillRate(), DecodeRate: t.speed.DecodeRate(), Age: now.Sub(t.reportedAt),
		})
	}
	return out
}
