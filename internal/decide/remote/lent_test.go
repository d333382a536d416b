package remote_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// Guards against work that is sent to a target of another cell after the lease has ended: the decision
// was made in time and arrived late.
func TestLateDecisionForBorrowedTargetIsNotSent(t *testing.T) {
	is := is.New(t)
	s := scheduler(3)
	s.Attach(start)
	s.TakeUpdate(start)
	first, second := work(1, start), work(2, start)
	s.Offer(start, first, nil)
	s.Offer(start, second, nil)
	offers := s.TakeUpdate(start).Offers
	within := fireflypath.MicrosOf(300 * time.Millisecond)
	s.ApplyDecisions(start, []fireflypath.Decision{{Number: offers[0].Number, Target: "t0", Within: within}}, nil)
	is.Equal(len(nextPlacements(s, start.Add(299*time.Millisecond))), 1)
	s.ApplyDecisions(start, []fireflypath.Decision{{Number: offers[1].Number, Target: "t0", Within: within}}, nil)
	is.Equal(len(nextPlacements(s, start.Add(300*time.Millisecond))), 0)
	// The dispatcher takes the slot back and decides again; the target has not failed.
	update := s.TakeUpdate(start.Add(300 * time.Millisecond))
	is.Equal(update.Withdrawn, []uint64{offers[1].Number})
	is.Equal(len(update.Offers), 1)
	is.Equal(len(update.Progress), 0)
}

// Guards against slots of a lost borrower that are held back although the target is empty: its report
// reaches the dispatcher, once, and only if the dispatcher asked for it.
func TestTargetLoadIsReportedOnRequest(t *testing.T) {
	is := is.New(t)
	s := scheduler(3)
	s.Attach(start)
	w := work(1, start)
	s.Offer(start, w, nil)
	n := s.TakeUpdate(start).Offers[0].Number
	report := fireflypath.Event{Kind: fireflypath.EventReport, Target: "t0", Cached: -1, Report: fireflypath.Report{Running: 3}}
	s.Observe(start, report)
	is.True(s.TakeUpdate(start).Loads == nil)
	s.ApplyDecisions(start, []fireflypath.Decision{{Number: n, Target: "t0", Load: true}}, nil)
	is.Equal(len(nextPlacements(s, start)), 1)
	s.Observe(start, report)
	is.Equal(s.TakeUpdate(start).Loads, map[string]int{"t0": 2}) // all but the request itself
	s.Observe(start, report)
	is.True(s.TakeUpdate(start).Loads == nil)
}
