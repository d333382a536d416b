package sched

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

var t0 = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSched(targets int) *Scheduler {
	cfg := Config{Pool: fireflypath.Pool{Name: "llm", Kind: fireflypath.KindEngine}, LowestRank: 2, Seed: 1}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{Name: string(rune('a' + i)), Pool: "llm"})
	}
	return New(cfg)
}

func work(rank int, team string) *fireflypath.Work {
	return &fireflypath.Work{
		ID: team, Team: team, Weight: 1, Rank: rank, Pool: "llm",
		Arrived: t0, Deadline: t0.Add(time.Minute),
		Cost: fireflypath.Cost{Prompt: 100, Output: 10}, Bytes: 400, Idempotent: true,
	}
}

// Work of a low tier arrives first and fills the queue; then a caller of a
// higher tier comes. It must be the next to be dispatched.
func TestNextTakesHighestTierFirst(t *testing.T) {
	is := is.New(t)
	s := newSched(1)
	low, high := work(2, "low"), work(0, "high")
	is.Equal(len(s.Offer(t0, low, nil)), 0)
	is.Equal(len(s.Offer(t0, high, nil)), 0)
	var p fireflypath.Placement
	is.True(s.Next(t0, &p))
	is.Equal(p.Work, high)
	is.Equal(p.Target, "a")
}

// A daemon's bound is met while low work waits. The low work gives way, and the
// higher work is not refused.
func TestOfferDisplacesLowestTier(t *testing.T) {
	is := is.New(t)
	s := newSched(0)
	s.cfg.Pool.Requests = 2
	low, mid, high := work(2, "low"), work(1, "mid"), work(0, "high")
	s.Offer(t0, low, nil)
	s.Offer(t0, mid, nil)
	out := s.Offer(t0, high, nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Work, low)
	is.Equal(out[0].Relief, false)
	is.Equal(out[0].Reason, fireflypath.ReasonFull)
}

// The target could not be reached and no byte left. The request must wait
// again, in front of its team's later work, and be sent elsewhere.
func TestUnsentWorkWaitsAgain(t *testing.T) {
	is := is.New(t)
	s := newSched(2)
	first, second := work(0, "x"), work(0, "x")
	s.Offer(t0, first, nil)
	s.Offer(t0, second, nil)
	var p fireflypath.Placement
	is.True(s.Next(t0, &p))
	is.Equal(p.Work, first)
	failed := p.Target
	s.Observe(t0, fireflypath.Event{Kind: fireflypath.EventUnsent, Target: failed, Work: first})
	is.True(s.Next(t0, &p))
	is.Equal(p.Work, first)
	is.True(p.Target != failed)
}

// Two daemons ask for relief at the same time, the second for work of a lower
// tier. Work that is below the first one's must still not be let in to wait, or
// the first is refused while it waits.
func TestSecondRoundKeepsTheFirstOnesBar(t *testing.T) {
	is := is.New(t)
	s := newSched(0)
	s.Relieve(t0, 0, everything, nil)
	s.Relieve(t0.Add(time.Millisecond), 1, everything, nil)
	now := t0.Add(2 * time.Millisecond)
	out := s.Offer(now, work(1, "mid"), nil)
	is.Equal(len(out), 1)
	is.Equal(out[0].Relief, false)
	is.Equal(len(s.Offer(now, work(0, "high"), nil)), 0)
	later := now.Add(press)
	is.Equal(len(s.Offer(later, work(1, "mid"), nil)), 0)
}
