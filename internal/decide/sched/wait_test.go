package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// A burst at ten times the usual rate from a higher tier fills the queue for
// two seconds. Work of the lowest tier with a deadline in two minutes must not
// be refused as if the burst lasted: the backlog is served long before.
func TestShortBurstOfHigherTierDoesNotRefusePatientWork(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1)
	s.Offer(startTime, newWork(2, "spare"), nil) // keeps the queue non-empty, so that the drain rate is measured
	now := startTime
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		offerAndComplete(s, now, 1)
	}
	for range 20 {
		now = now.Add(100 * time.Millisecond)
		offerAndComplete(s, now, 10)
	}
	waiting := s.queue.Requests(0)
	is.True(waiting > 100)
	patient := newWork(2, "patient")
	patient.Arrived, patient.Deadline = now, now.Add(2*time.Minute)
	for _, sh := range s.Offer(now, patient, nil) {
		is.True(sh.Work != patient)
	}
	for served := 0; served < waiting; served++ {
		now = now.Add(100 * time.Millisecond)
		offerAndComplete(s, now, 0)
	}
	is.True(now.Before(patient.Deadline))
}

// offerAndComplete offers work of the highest tier and completes one request at
// the target.
func offerAndComplete(s *Scheduler, now time.Time, offers int) {
	for range offers {
		w := newWork(0, "burst")
		w.Arrived, w.Deadline = now, now.Add(time.Hour)
		s.Offer(now, w, nil)
	}
	var p fireflypath.Placement
	if !s.Next(now, &p) {
		return
	}
	p.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched)
	e := fireflypath.Event{Target: p.Target, Work: p.Work, Sent: now, Cached: -1, Tokens: p.Work.Cost.MaxOutput}
	e.Kind = fireflypath.EventFirstOutput
	s.Observe(now.Add(time.Millisecond), e)
	e.Kind = fireflypath.EventDone
	s.Observe(now.Add(2*time.Millisecond), e)
}
