package slots

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// holdWeight weighs a new sample of how long a request holds its slot.
const holdWeight = 0.1

// Observe learns from an event at a target.
func (s *Sched) Observe(now time.Time, e fireflypath.Event) {
	t := s.targets[e.Target]
	if t != nil && t.Incarnation != e.Incarnation {
		t = nil // the event tells of an earlier life
	}
	switch e.Kind {
	case fireflypath.EventReport:
		if t != nil {
			t.report = max(e.Report.Running+e.Report.Waiting-t.requests, 0)
			t.heard = now
		}
	case fireflypath.EventLeaving, fireflypath.EventBack:
		if t != nil {
			t.leaving = e.Kind == fireflypath.EventLeaving
		}
	case fireflypath.EventCache:
	case fireflypath.EventFirst:
		s.first(now, e.Work)
	case fireflypath.EventDone, fireflypath.EventFailed, fireflypath.EventRefused, fireflypath.EventUnsent:
		s.land(now, e)
	}
}

func (s *Sched) first(now time.Time, w *fireflypath.Work) {
	f, ok := s.flights[w]
	if !ok || !f.first.IsZero() {
		return
	}
	f.first = now
	s.flights[w] = f
	t := f.target
	t.prefill -= w.Cost.Prompt
	t.speed.First(now, w.Cost.Prompt+f.before, now.Sub(f.sent))
	s.learned(t)
	t.good()
}

// learned keeps the fastest target known.
func (s *Sched) learned(t *target) {
	if t.speed.Prefill() > s.fast {
		s.fast, s.best = t.speed.Prefill(), t
	}
}

// land takes work out of flight.
func (s *Sched) land(now time.Time, e fireflypath.Event) {
	f, ok := s.flights[e.Work]
	if !ok {
		return
	}
	delete(s.flights, e.Work)
	t := f.target
	t.requests--
	t.own = now
	if f.first.IsZero() {
		t.prefill -= e.Work.Cost.Prompt
	}
	s.drain.Add(now, 1)
	held := now.Sub(f.sent).Seconds()
	t.hold = blend(t.hold, held)
	s.hold = blend(s.hold, held)
	switch e.Kind {
	case fireflypath.EventFailed:
		if e.Left {
			t.probing = false
			return
		}
		t.bad(now, f.first.IsZero())
	case fireflypath.EventDone:
		t.good()
		if !f.first.IsZero() {
			t.speed.Done(e.Tokens, now.Sub(f.first))
		}
	case fireflypath.EventRefused:
		t.bad(now, true)
	case fireflypath.EventUnsent:
		t.bad(now, true)
		if e.Work.Life.State() == fireflypath.StateWaiting {
			s.waiting = append(s.waiting, e.Work)
		}
	default:
	}
}

// blend weighs a new sample of a time; the first one counts in full.
func blend(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + holdWeight*(sample-old)
}
