package slots

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// slotTimeWeight is the weight of a new sample in the moving average of how long a
// request occupies a slot.
const slotTimeWeight = 0.1

// unreachedPeriod is how long a target gets no work of a daemon that lacks a path to it.
const unreachedPeriod = 500 * time.Millisecond

// Observe updates the state with an event at a target.
func (s *Scheduler) Observe(now time.Time, e fireflypath.Event) {
	t := s.targets[e.Target]
	if t != nil && t.Incarnation != e.Incarnation {
		t = nil // the event is about an earlier incarnation
	}
	switch e.Kind {
	case fireflypath.EventReport:
		if t != nil {
			t.reportedRequests = max(e.Report.Running+e.Report.Waiting-t.requests, 0)
			t.reportedAt = now
		}
	case fireflypath.EventNotice:
		if t != nil {
			s.backpressure.Observe(now, t.id, e.Notice, e.Sent)
			t.declared = s.backpressure.Find(t.id)
			s.updateDeclared()
		}
	case fireflypath.EventLeaving, fireflypath.EventStaying:
		if t != nil {
			t.leaving = e.Kind == fireflypath.EventLeaving
		}
	case fireflypath.EventCache:
	case fireflypath.EventFirstOutput:
		s.observeFirstEvent(now, e.Work)
	case fireflypath.EventDone, fireflypath.EventFailed, fireflypath.EventRefused, fireflypath.EventUnsent:
		s.complete(now, e)
	}
}

// observeFirstEvent updates the target's speed when the first event of an answer
// arrives.
func (s *Scheduler) observeFirstEvent(now time.Time, w *fireflypath.Work) {
	f, ok := s.inFlight[w]
	if !ok || !f.firstEventAt.IsZero() {
		return
	}
	f.firstEventAt = now
	s.inFlight[w] = f
	t := f.target
	t.pendingPrefill -= w.Cost.Prompt
	t.speed.ObserveFirstToken(now, w.Cost.Prompt+f.prefillAhead, now.Sub(f.at))
	s.updateFastest(t)
	t.recordSuccess()
}

// updateFastest makes the target the fastest one if its prefill rate exceeds all
// known ones. Work does not wait for a target that is leaving.
func (s *Scheduler) updateFastest(t *target) {
	if t.speed.PrefillRate() > s.maxPrefillRate && !t.isLeaving() && !s.isForeign(t) {
		s.maxPrefillRate, s.fastest = t.speed.PrefillRate(), t
	}
}

// complete removes a request from flight and updates the target's statistics. A
// request that could not be sent goes back to the queue.
func (s *Scheduler) complete(now time.Time, e fireflypath.Event) {
	f, ok := s.inFlight[e.Work]
	if !ok {
		return
	}
	delete(s.inFlight, e.Work)
	s.settleTeam(now, e, f)
	t := f.target
	t.requests--
	t.ownFreedAt = now
	if f.firstEventAt.IsZero() {
		t.pendingPrefill -= e.Work.Cost.Prompt
	}
	s.completions.Add(now, 1)
	held := now.Sub(f.at).Seconds()
	t.slotTime = movingAverage(t.slotTime, held)
	s.slotTime = movingAverage(s.slotTime, held)
	switch e.Kind {
	case fireflypath.EventFailed:
		if e.NotByTarget {
			t.probing = false
			return
		}
		minRate := s.tuning.MinEjectionRate
		if !f.firstEventAt.IsZero() {
			minRate = neverEject
		}
		t.recordFailure(now, minRate)
	case fireflypath.EventDone:
		t.recordSuccess()
		if !f.firstEventAt.IsZero() {
			t.speed.ObserveAnswer(e.Tokens, now.Sub(f.firstEventAt))
		}
	case fireflypath.EventRefused:
		t.declared.CountTurnedAway(now, t.requests)
		t.recordFailure(now, s.tuning.MinEjectionRate)
	case fireflypath.EventUnsent:
		if e.NotByTarget {
			t.probing = false
			s.backpressure.SetUnreached(t.id, e.Work.Sender, now.Add(unreachedPeriod))
			s.linkDeclared()
		} else {
			t.recordFailure(now, 0)
		}
		if e.Work.Lifecycle.State() == fireflypath.StateWaiting {
			s.waiting = append(s.waiting, e.Work)
			s.teams.join(e.Work)
		}
	default:
	}
}

// movingAverage adds a sample to an exponential moving average; the first sample is
// taken as it is.
func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + slotTimeWeight*(sample-old)
}
