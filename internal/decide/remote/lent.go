package remote

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// leaseEnded reports whether the target was lent by another cell, and the time for it is over.
func leaseEnded(now time.Time, p *placement) bool {
	return p.decision.Within > 0 && now.Sub(p.work.Arrived) >= p.decision.Within.Std()
}

// wantLoad notes that the dispatcher needs the target's own report of its load.
func (s *Scheduler) wantLoad(target string, wanted bool) {
	if !wanted {
		return
	}
	if s.loadsWanted == nil {
		s.loadsWanted = map[string]bool{}
	}
	s.loadsWanted[target] = true
}

// reportLoad passes a target's report on if the dispatcher needs it, less the request that was answered
// with it. Other requests of the cell are not subtracted: some of them may have ended at the target
// before it made the report, of which neither the daemon nor the dispatcher has heard.
func (s *Scheduler) reportLoad(e *fireflypath.Event) {
	if e.Kind != fireflypath.EventReport || !s.attached || !s.loadsWanted[e.Target] {
		return
	}
	t, ok := s.list.Find(e.Target)
	if !ok || t.Incarnation != e.Incarnation {
		return
	}
	if s.outbox.Loads == nil {
		s.outbox.Loads = map[string]int{}
	}
	s.outbox.Loads[t.Identity()] = max(e.Report.Running+e.Report.Waiting-1, 0)
	delete(s.loadsWanted, e.Target)
	s.signal()
}
