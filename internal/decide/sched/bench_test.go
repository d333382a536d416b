package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
)

// steadyState drives a scheduler with a constant backlog: every team has work
// waiting, and each step offers one request, dispatches one and completes the
// oldest in flight.
type steadyState struct {
	scheduler       *Scheduler
	now             time.Time
	freeWorks       []*fireflypath.Work
	inFlight        []*fireflypath.Work
	inFlightTargets []string
	oldest          int
	offered         int
	placement       fireflypath.Placement
	sheds           []fireflypath.Shed
	teams           []string
	// prefixes are the block hashes of the texts that prompts begin with.
	prefixes [][]uint64
}

func newSteadyState(targets, teams int) *steadyState {
	b := &steadyState{now: startTime}
	cfg := Config{Pool: fireflypath.Pool{Name: "llm", Requests: 1 << 20, Bytes: 1 << 40}, LowestRank: 2, Seed: 1}
	for i := range targets {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{Name: fmt.Sprintf("m%04d", i), Pool: "llm"})
	}
	b.scheduler = New(cfg)
	for i := range teams {
		b.teams = append(b.teams, fmt.Sprintf("team%05d", i))
	}
	for i := range 100 {
		hashes := make([]uint64, 32)
		for j := range hashes {
			hashes[j] = place.Mix64(uint64(i*len(hashes) + j + 1))
		}
		b.prefixes = append(b.prefixes, hashes)
	}
	works := make([]fireflypath.Work, teams+64*targets)
	for i := range works {
		b.freeWorks = append(b.freeWorks, &works[i])
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

func (b *steadyState) offer() {
	if len(b.freeWorks) == 0 {
		return
	}
	w := b.freeWorks[len(b.freeWorks)-1]
	b.freeWorks = b.freeWorks[:len(b.freeWorks)-1]
	*w = fireflypath.Work{
		ID: "d.1", Team: b.teams[b.offered%len(b.teams)], Weight: 1, Rank: b.offered % 3, Pool: "llm",
		Arrived: b.now, Deadline: b.now.Add(24 * time.Hour),
		Cost: fireflypath.Cost{Prompt: 200 + b.offered%1000, MaxOutput: 50}, Bytes: 1000,
		Prefix: b.prefixes[b.offered%len(b.prefixes)][:(200+b.offered%1000)/blockTokens],
	}
	b.offered++
	b.sheds = b.scheduler.Offer(b.now, w, b.sheds[:0])
}

func (b *steadyState) dispatch() {
	if !b.scheduler.Next(b.now, &b.placement) {
		return
	}
	b.placement.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateDispatched)
	b.inFlight = append(b.inFlight, b.placement.Work)
	b.inFlightTargets = append(b.inFlightTargets, b.placement.Target)
}

// completeOldest completes the request that has been in flight longest.
func (b *steadyState) completeOldest() {
	if b.oldest == len(b.inFlight) {
		return
	}
	w, t := b.inFlight[b.oldest], b.inFlightTargets[b.oldest]
	b.oldest++
	b.scheduler.Observe(b.now, fireflypath.Event{Kind: fireflypath.EventFirstOutput, Target: t, Work: w, Cached: 0})
	b.scheduler.Observe(b.now, fireflypath.Event{Kind: fireflypath.EventDone, Target: t, Work: w, Tokens: 25})
	b.freeWorks = append(b.freeWorks, w)
	if b.oldest > 1<<16 {
		b.inFlight = append(b.inFlight[:0], b.inFlight[b.oldest:]...)
		b.inFlightTargets = append(b.inFlightTargets[:0], b.inFlightTargets[b.oldest:]...)
		b.oldest = 0
	}
}

func (b *steadyState) step() {
	b.now = b.now.Add(time.Millisecond)
	b.offer()
	b.dispatch()
	b.completeOldest()
}

// runSizes runs a benchmark at the present size, at the specified number of
// daemons, and at the specified number of targets and teams.
func runSizes(b *testing.B, fn func(b *testing.B, x *steadyState)) {
	for _, targets := range []int{15, 385, 2700} {
		for _, teams := range []int{5, 1000, 29000} {
			b.Run(fmt.Sprintf("targets=%d/teams=%d", targets, teams), func(b *testing.B) {
				x := newSteadyState(targets, teams)
				b.ReportAllocs()
				b.ResetTimer()
				fn(b, x)
			})
		}
	}
}

// BenchmarkDecision measures queuing, selection and placement of a request.
// Answers are processed 16 at a time while the timer is stopped.
func BenchmarkDecision(b *testing.B) {
	runSizes(b, func(b *testing.B, x *steadyState) {
		for i := range b.N {
			x.now = x.now.Add(time.Millisecond)
			x.offer()
			x.dispatch()
			if i%16 != 15 {
				continue
			}
			b.StopTimer()
			for range 16 {
				x.completeOldest()
			}
			b.StartTimer()
		}
	})
}

// BenchmarkRequest measures all scheduler calls for a request, including those
// for its answer.
func BenchmarkRequest(b *testing.B) {
	runSizes(b, func(b *testing.B, x *steadyState) {
		for range b.N {
			x.step()
		}
	})
}
