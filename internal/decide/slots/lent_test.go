package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/lend"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
)

// lendingCell returns the scheduler of a cell that owns t00 to t04 of ten targets with four slots, or
// the other five.
func lendingCell(now time.Time, second bool) *slots.Scheduler {
	tuning := slots.DispatcherTuning()
	tuning.Lend = true
	s := slots.New(fireflypath.Pool{Name: "p", Kind: fireflypath.KindEngine, Stride: 3}, 1, tuning)
	share := fireflypath.Share{Fractions: map[string]float64{}, Senders: 1}
	var list []fireflypath.Target
	for i := range 10 {
		name := fmt.Sprintf("t%02d", i)
		list = append(list, fireflypath.Target{Name: name, Pool: "p", Addr: fmt.Sprintf("10.0.0.1:%d", i+1), Slots: 4})
		if i >= 5 == second {
			share.Fractions[name] = 1
		}
	}
	s.SetShare(now, share)
	s.SetTargets(now, list)
	s.SetRepresented(now, 1)
	return s
}

// offer has n requests wait at the scheduler and returns the targets of those that it places.
func offer(s *slots.Scheduler, now time.Time, n int, change func(*fireflypath.Work)) map[string]int {
	for i := range n {
		w := &fireflypath.Work{
			ID: fmt.Sprint(now.UnixNano(), "-", i), Rank: 1, Arrived: now, Goal: now.Add(time.Second), Deadline: now.Add(20 * time.Second),
			Cost: fireflypath.Cost{Prompt: 100, MaxOutput: 10}, ExpectedOutput: 10,
		}
		if change != nil {
			change(w)
		}
		s.Offer(now, w, nil)
	}
	placed := map[string]int{}
	var p fireflypath.Placement
	for s.Next(now, &p) {
		placed[p.Target]++
	}
	return placed
}

// borrow has one cell ask the other and apply the answer.
func borrow(borrower, lender *slots.Scheduler, now time.Time) lend.Grant {
	for _, c := range borrower.PlanBorrowing(now, 2, 2, false, func(string) int { return 0 }, nil) {
		g := lender.AnswerAsk(now, "b", &c.Ask, false)
		borrower.ApplyGrant(now, c.Cell, now.Add(g.Lease.Std()), &g)
		return g
	}
	return lend.Grant{}
}

var lendEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a target that gets more than its slots from two cells, and against free slots that stay
// unused while work waits at the other cell.
func TestBorrowedSlotsAreUsedOnce(t *testing.T) {
	is := is.New(t)
	now := lendEpoch
	borrower, lender := lendingCell(now, false), lendingCell(now, true)
	used := offer(lender, now, 9, nil)
	offer(borrower, now, 60, nil) // 20 at its own targets
	g := borrow(borrower, lender, now)
	is.Equal(lend.Total(g.Slots), 20-9-2) // all but the reserve
	for target, n := range offer(borrower, now, 0, nil) {
		used[target] += n
	}
	for target, n := range offer(lender, now, 30, nil) {
		used[target] += n
	}
	all := 0
	for _, n := range used {
		is.True(n <= 4)
		all += n
	}
	is.Equal(all, 20)
	is.Equal(len(offer(borrower, now.Add(lend.Lease), 10, nil)), 0) // its lease has ended
}

// Guards against requests that are sent to a borrowed target against their own rules or those of the
// target: a version, targets to avoid, a target that leaves, names a limit or is brittle.
func TestRulesHoldAtBorrowedTargets(t *testing.T) {
	for name, c := range map[string]struct {
		change  func(*fireflypath.Work)
		notice  fireflypath.Notice
		drained bool
	}{
		"version": {change: func(w *fireflypath.Work) { w.Version = "v9" }},
		"avoid": {change: func(w *fireflypath.Work) {
			w.Avoid = []string{"t00", "t01", "t02", "t03", "t04", "t05", "t06", "t07", "t08", "t09"}
		}},
		"leaving":       {notice: fireflypath.Notice{Leaving: true}},
		"limited":       {notice: fireflypath.Notice{Limited: true, Limit: 50}},
		"brittle":       {notice: fireflypath.Notice{Brittle: true, MaxTurnedAway: 3}},
		"long requests": {change: func(w *fireflypath.Work) { w.ExpectedOutput = 3000 }},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			now := lendEpoch
			borrower, lender := lendingCell(now, false), lendingCell(now, true)
			for i := range 5 { // the lender knows the speeds of its targets
				teachSpeed(lender, now, fmt.Sprintf("t%02d", i+5))
			}
			offer(borrower, now, 40, nil)
			is.True(lend.Total(borrow(borrower, lender, now).Slots) > 0)
			if c.notice != (fireflypath.Notice{}) {
				for i := range 5 {
					borrower.Observe(now, fireflypath.Event{Kind: fireflypath.EventNotice, Target: fmt.Sprintf("t%02d", i+5), Sent: now, Notice: c.notice, Cached: -1})
				}
			}
			if c.change != nil {
				borrower.TakeWaiting()
			}
			is.Equal(len(offer(borrower, now, 10, c.change)), 0)
		})
	}
}

// teachSpeed has a scheduler learn the speed of a target from a request.
func teachSpeed(s *slots.Scheduler, now time.Time, target string) {
	w := &fireflypath.Work{ID: target, Cost: fireflypath.Cost{Prompt: 1000, MaxOutput: 100}, Deadline: now.Add(time.Minute)}
	at := now.Add(-time.Second)
	s.AddInFlight(at, w, target, at, false)
	s.Observe(at.Add(100*time.Millisecond), fireflypath.Event{Kind: fireflypath.EventFirstOutput, Target: target, Work: w, Cached: -1})
	s.Observe(now, fireflypath.Event{Kind: fireflypath.EventDone, Target: target, Work: w, Tokens: 45, Cached: -1})
}

// Guards against a target that is lent although it names a limit, is brittle, leaves or was ejected.
func TestUnsuitableTargetsAreNotLent(t *testing.T) {
	is := is.New(t)
	now := lendEpoch
	borrower, lender := lendingCell(now, false), lendingCell(now, true)
	for target, n := range map[string]fireflypath.Notice{
		"t05": {Limited: true, Limit: 50}, "t06": {Brittle: true, MaxTurnedAway: 3}, "t07": {Leaving: true},
	} {
		lender.Observe(now, fireflypath.Event{Kind: fireflypath.EventNotice, Target: target, Sent: now, Notice: n, Cached: -1})
	}
	w := &fireflypath.Work{ID: "failed", Deadline: now.Add(time.Minute)}
	lender.AddInFlight(now, w, "t08", now, false)
	lender.Observe(now, fireflypath.Event{Kind: fireflypath.EventFailed, Target: "t08", Work: w, Cached: -1})
	offer(borrower, now, 60, nil)
	g := borrow(borrower, lender, now)
	is.Equal(len(g.Slots), 1)
	is.Equal(g.Slots[0].Target, "t09")
}

// Guards against slots of a lost borrower that are never used again, or too early: what the target
// itself reports decides.
func TestTargetReportsSettleLoans(t *testing.T) {
	is := is.New(t)
	now := lendEpoch
	borrower, lender := lendingCell(now, false), lendingCell(now, true)
	offer(borrower, now, 60, nil)
	is.Equal(lend.Total(borrow(borrower, lender, now).Slots), 18)
	lapsed := now.Add(lend.Lease + lend.Margin + lend.ReportAge)
	is.True(!lender.WantsLoad(now, "t05"))
	is.True(lender.WantsLoad(lapsed, "t05"))
	lender.ObserveLoad(lapsed, "t05", 1)
	// Three slots of t05 and the two that were kept in reserve.
	is.Equal(offer(lender, lapsed, 30, nil)["t05"], 3)
}

// BenchmarkAnswerAsk measures the whole decision of a lender with 25 targets, BenchmarkPlanBorrowing
// that of a borrower with 600 waiting requests.
func BenchmarkAnswerAsk(b *testing.B) {
	now := lendEpoch
	s := lendingCell(now, true)
	ask := lend.Ask{Cell: 2, Need: []int{0, 30}}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now, ask.Sequence = now.Add(time.Millisecond), int64(i+1)
		g := s.AnswerAsk(now, "b", &ask, false)
		ask.Version = g.Version
	}
}

func BenchmarkPlanBorrowing(b *testing.B) {
	now := lendEpoch
	s := lendingCell(now, false)
	offer(s, now, 600, nil)
	var calls []lend.Call
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(lend.RenewInterval)
		calls = s.PlanBorrowing(now, 8, 8, false, nil, calls[:0])
	}
}
