package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newScheduler(targets int) *Scheduler {
	cfg := Config{Pool: fireflypath.Pool{Name: "llm", Kind: fireflypath.KindEngine}, LowestRank: 2, Seed: 1}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{Name: string(rune('a' + i)), Pool: "llm"})
	}
	return New(cfg)
}

func newWork(rank int, team string) *fireflypath.Work {
	return &fireflypath.Work{
		ID: team, Team: team, Weight: 1, Rank: rank, Pool: "llm",
		Arrived: startTime, Deadline: startTime.Add(time.Minute),
		Cost: fireflypath.Cost{Prompt: 100, MaxOutput: 10}, Bytes: 400, Idempotent: true,
	}
}

// Lower-tier work is queued before work of a higher tier. The higher tier must
// be dispatched first.
func TestNextTakesHighestTierFirst(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1)
	low, high := newWork(2, "low"), newWork(0, "high")
	is.Equal(len(s.Offer(startTime, low, nil)), 0)
	is.Equal(len(s.Offer(startTime, high, nil)), 0)
	var p fireflypath.Placement
	is.True(s.Next(startTime, &p))
	is.Equal(p.Work, high)
	is.Equal(p.Target, "a")
}

// The pool's limit is reached while lower-tier work waits. The lower-tier work
// must be shed and the higher-tier work queued.
func TestOfferShedsLowestTierAtLimit(t *testing.T) {
	is := is.New(t)
	s := newScheduler(0)
	s.cfg.Pool.Requests = 2
	low, mid, high := newWork(2, "low"), newWork(1, "mid"), newWork(0, "high")
	s.Offer(startTime, low, nil)
	s.Offer(startTime, mid, nil)
	out := s.Offer(startTime, high, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Work, low)
	is.Equal(out[0].Relief, false)
	is.Equal(out[0].Reason, fireflypath.ReasonFull)
}

// The target could not be reached and no byte was sent. The request must be
// queued again, ahead of later work of its team, and be sent to another target.
func TestUnsentWorkIsRequeued(t *testing.T) {
	is := is.New(t)
	s := newScheduler(2)
	first, second := newWork(0, "x"), newWork(0, "x")
	s.Offer(startTime, first, nil)
	s.Offer(startTime, second, nil)
	var p fireflypath.Placement
	is.True(s.Next(startTime, &p))
	is.Equal(p.Work, first)
	failed := p.Target
	s.Observe(startTime, fireflypath.Event{Kind: fireflypath.EventUnsent, Target: failed, Work: first})
	is.True(s.Next(startTime, &p))
	is.Equal(p.Work, first)
	is.True(p.Target != failed)
}

// Two daemons ask for relief at the same time, the second one for a lower tier.
// Work below the first one's tier must still not be queued; otherwise the first
// daemon's work is refused while lower-tier work waits.
func TestSecondReliefRoundKeepsHigherTierBlock(t *testing.T) {
	is := is.New(t)
	s := newScheduler(0)
	s.Relieve(startTime, 0, relieveAll, nil)
	s.Relieve(startTime.Add(time.Millisecond), 1, relieveAll, nil)
	now := startTime.Add(2 * time.Millisecond)
	out := s.Offer(now, newWork(1, "mid"), nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Relief, false)
	is.Equal(len(s.Offer(now, newWork(0, "high"), nil)), 0)
	later := now.Add(reliefBlock)
	is.Equal(len(s.Offer(later, newWork(1, "mid"), nil)), 0)
}
