package sched

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
)

const (
	// averageWeight is the weight of one answer in the pool's moving averages,
	// which thus cover about fifty answers.
	averageWeight = 0.02
	// maxRateDecay reduces the highest known speeds by an eighth per hundred
	// answers, so that the loss of the fastest target is noticed.
	maxRateDecay = 0.9987
	// failedSlowness is the slowness ratio recorded for a failed answer, and
	// the largest ratio counted in avgSlowness.
	failedSlowness = 10
	// minCompared is the shortest time used in slowness ratios. Below it, the
	// jitter of the network and of decode steps makes the ratio meaningless.
	minCompared = 100 * time.Millisecond
	// ejectedDivisor limits the targets ejected for slowness to a third of all
	// targets. If more were ejected, the remaining ones would be overloaded and
	// look slow in turn.
	ejectedDivisor = 3
)

// Observe updates the scheduler's state from an event at a target.
func (s *Scheduler) Observe(now time.Time, e fireflypath.Event) {
	i, ok := s.targetIndex[e.Target]
	if !ok {
		return
	}
	switch e.Kind {
	case fireflypath.EventFirstOutput:
		s.observeFirst(now, i, e)
	case fireflypath.EventDone:
		s.observeDone(now, i, e)
	case fireflypath.EventUnsent:
		s.observeUnsent(now, i, e)
	case fireflypath.EventFailed, fireflypath.EventRefused:
		s.observeFailure(now, i, e)
	case fireflypath.EventReport:
		s.targets[i].report = e.Report
		s.targets[i].window.ObserveReport(e.Report)
	case fireflypath.EventCache:
		if e.Dropped {
			s.prefixIndex.Remove(i, e.Blocks)
		} else {
			s.prefixIndex.Store(i, e.Blocks)
		}
	case fireflypath.EventLeaving:
		s.targets[i].leaving = true
	case fireflypath.EventStaying:
		s.observeStaying(i)
	}
	s.updateAvailability(i)
}

// inFlightID returns the item id of work in flight at target i, and false if
// it is not in flight there.
func (s *Scheduler) inFlightID(i int32, w *fireflypath.Work) (int32, bool) {
	id, ok := s.idOf[w]
	if !ok || s.items[id].phase != phaseInFlight || s.items[id].target != i {
		return none, false
	}
	return id, true
}

// observeFirst learns the prefill speed from the first token of an answer.
func (s *Scheduler) observeFirst(now time.Time, i int32, e fireflypath.Event) {
	id, ok := s.inFlightID(i, e.Work)
	if !ok || !s.items[id].firstTokenAt.IsZero() {
		return
	}
	it, t := &s.items[id], &s.targets[i]
	it.firstTokenAt = now
	s.endPrefill(now, it, t)
	uncached := it.uncached
	if e.Cached >= 0 {
		uncached = max(it.work.Cost.Prompt-e.Cached, 0)
	}
	took := now.Sub(it.dispatchedAt)
	if t.speed.PrefillRate() > 0 {
		expected := t.speed.QueueDelay(now).Seconds() + float64(it.prefillAhead+uncached)/t.speed.PrefillRate()
		s.recordSlowness(now, t, took.Seconds(), expected)
	}
	t.speed.ObserveFirstToken(now, it.prefillAhead+uncached, took)
	s.maxPrefillRate = max(s.maxPrefillRate*maxRateDecay, t.speed.PrefillRate())
}

// observeDone learns the decode speed and the accuracy of the estimate from a
// complete answer, and frees the item.
func (s *Scheduler) observeDone(now time.Time, i int32, e fireflypath.Event) {
	id, ok := s.inFlightID(i, e.Work)
	if !ok {
		return
	}
	if s.items[id].firstTokenAt.IsZero() {
		s.observeFirst(now, i, e)
	}
	it, t := &s.items[id], &s.targets[i]
	took := now.Sub(it.firstTokenAt)
	if t.speed.DecodeRate() > 0 && e.Tokens > 1 {
		s.recordSlowness(now, t, took.Seconds(), float64(e.Tokens-1)/t.speed.DecodeRate())
	}
	t.speed.ObserveAnswer(e.Tokens, took)
	s.maxDecodeRate = max(s.maxDecodeRate*maxRateDecay, t.speed.DecodeRate())
	if out := it.work.Cost.MaxOutput; out > 0 {
		s.outputRatio += averageWeight * (min(float64(e.Tokens)/float64(out), 1) - s.outputRatio)
	}
	s.margin.Observe(now.Sub(it.dispatchedAt), it.expected)
	t.window.ObserveAnswer()
	s.endFlight(now, id)
	s.freeItem(id)
}

// recordSlowness records the ratio of an answer's actual to expected time in
// seconds for the target's slowness detection.
func (s *Scheduler) recordSlowness(now time.Time, t *target, took, expected float64) {
	expected = max(expected, minCompared.Seconds())
	ratio := max(took, minCompared.Seconds()) / expected
	s.avgSlowness += averageWeight * (min(ratio, failedSlowness) - s.avgSlowness)
	t.slow.ObserveAnswer(now, ratio, s.avgSlowness)
	s.limitEjections(t)
}

// limitEjections revokes an ejection for slowness if too many targets are
// ejected.
func (s *Scheduler) limitEjections(t *target) {
	if t.slow.State() == slow.Ejected && ejectedDivisor*(len(s.ejected)+1) > len(s.targets) {
		t.slow.RevokeEjection()
	}
}

// observeUnsent puts work that was not sent back at the front of the queue.
func (s *Scheduler) observeUnsent(now time.Time, i int32, e fireflypath.Event) {
	id, ok := s.inFlightID(i, e.Work)
	if !ok {
		return
	}
	s.targets[i].slow.ObserveFailure(now)
	s.endFlight(now, id)
	w := e.Work
	if w.Lifecycle.State() != fireflypath.StateWaiting {
		s.freeItem(id)
		return
	}
	s.items[id].phase = phaseWaiting
	s.queue.Requeue(id, w)
	s.pushStart(id, s.latestStart(w))
}

// observeFailure handles a failed or refused request.
func (s *Scheduler) observeFailure(now time.Time, i int32, e fireflypath.Event) {
	t := &s.targets[i]
	if e.Kind == fireflypath.EventRefused {
		t.slow.ObserveFailure(now)
	} else {
		t.slow.ObserveAnswer(now, failedSlowness, s.avgSlowness)
		s.limitEjections(t)
	}
	if id, ok := s.inFlightID(i, e.Work); ok {
		s.endFlight(now, id)
		s.freeItem(id)
	}
}

// observeStaying handles a target that is not leaving after all: it discards
// what was learned about the target's window and slowness.
func (s *Scheduler) observeStaying(i int32) {
	t := &s.targets[i]
	t.leaving = false
	t.window.Reset()
	t.slow.Reset()
}
