package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
)

// bench is a scheduler in steady state: every team has work waiting, and each
// step takes one request in, dispatches one and ends the oldest in flight.
type bench struct {
	s      *Scheduler
	now    time.Time
	free   []*fireflypath.Work
	flight []*fireflypath.Work
	target []string
	head   int
	next   int
	place  fireflypath.Placement
	sheds  []fireflypath.Shed
	teams  []string
	// prompts are the block hashes of the texts that prompts begin with.
	prompts [][]uint64
}

func newBench(targets, teams int) *bench {
	b := &bench{now: t0}
	cfg := Config{Pool: fireflypath.Pool{Name: "llm", Requests: 1 << 20, Bytes: 1 << 40}, LowestRank: 2, Seed: 1}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{Name: fmt.Sprintf("m%04d", i), Pool: "llm"})
	}
	b.s = New(cfg)
	for i := range teams {
		b.teams = append(b.teams, fmt.Sprintf("team%05d", i))
	}
	for i := range 100 {
		hashes := make([]uint64, 32)
		for j := range hashes {
			hashes[j] = place.Mix(uint64(i*len(hashes) + j + 1))
		}
		b.prompts = append(b.prompts, hashes)
	}
	works := make([]fireflypath.Work, teams+64*targets)
	for i := range works {
		b.free = append(b.free, &works[i])
	}
	for range teams + 8*targets {
		b.offer()
	}
	for range 4 * targets {
		b.dispatch()
	}
	for range 4 * targets {
		b.step()
	}
	return b
}

func (b *bench) offer() {
	if len(b.free) == 0 {
		return
	}
	w := b.free[len(b.free)-1]
	b.free = b.free[:len(b.free)-1]
	*w = fireflypath.Work{
		ID: "d.1", Team: b.teams[b.next%len(b.teams)], Weight: 1, Rank: b.next % 3, Pool: "llm",
		Arrived: b.now, Deadline: b.now.Add(24 * time.Hour),
		Cost: fireflypath.Cost{Prompt: 200 + b.next%1000, Output: 50}, Bytes: 1000,
		Prefix: b.prompts[b.next%len(b.prompts)][:(200+b.next%1000)/block],
	}
	b.next++
	b.sheds = b.s.Offer(b.now, w, b.sheds[:0])
}

func (b *bench) dispatch() {
	if !b.s.Next(b.now, &b.place) {
		return
	}
	b.place.Work.Life.Move(fireflypath.StateWaiting, fireflypath.StateDispatched)
	b.flight = append(b.flight, b.place.Work)
	b.target = append(b.target, b.place.Target)
}

// end lets the oldest flight end.
func (b *bench) end() {
	if b.head == len(b.flight) {
		return
	}
	w, t := b.flight[b.head], b.target[b.head]
	b.head++
	b.s.Observe(b.now, fireflypath.Event{Kind: fireflypath.EventFirst, Target: t, Work: w, Cached: 0})
	b.s.Observe(b.now, fireflypath.Event{Kind: fireflypath.EventDone, Target: t, Work: w, Tokens: 25})
	b.free = append(b.free, w)
	if b.head > 1<<16 {
		b.flight = append(b.flight[:0], b.flight[b.head:]...)
		b.target = append(b.target[:0], b.target[b.head:]...)
		b.head = 0
	}
}

func (b *bench) step() {
	b.now = b.now.Add(time.Millisecond)
	b.offer()
	b.dispatch()
	b.end()
}

// sizes runs a benchmark at today's size, at that of the letter's daemons, and
// at that of its targets and teams.
func sizes(b *testing.B, fn func(b *testing.B, x *bench)) {
	for _, targets := range []int{15, 385, 2700} {
		for _, teams := range []int{5, 1000, 29000} {
			b.Run(fmt.Sprintf("targets=%d/teams=%d", targets, teams), func(b *testing.B) {
				x := newBench(targets, teams)
				b.ReportAllocs()
				b.ResetTimer()
				fn(b, x)
			})
		}
	}
}

// BenchmarkDecision is the way of a request until it is dispatched: enqueue,
// pick, place. The answers are learned from off the clock, 16 at a time.
func BenchmarkDecision(b *testing.B) {
	sizes(b, func(b *testing.B, x *bench) {
		for i := range b.N {
			x.now = x.now.Add(time.Millisecond)
			x.offer()
			x.dispatch()
			if i%16 != 15 {
				continue
			}
			b.StopTimer()
			for range 16 {
				x.end()
			}
			b.StartTimer()
		}
	})
}

// BenchmarkRequest is the whole way of a request, its answer included.
func BenchmarkRequest(b *testing.B) {
	sizes(b, func(b *testing.B, x *bench) {
		for range b.N {
			x.step()
		}
	})
}
