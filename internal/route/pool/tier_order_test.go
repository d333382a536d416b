package pool_test

import (
	"context"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// recordingRelief records the ranks that were asked for and frees its tokens in
// the first call.
type recordingRelief struct {
	mu     sync.Mutex
	ranks  []int
	tokens int
}

func (r *recordingRelief) Ask(_ context.Context, _ string, rank, _ int) (int, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ranks = append(r.ranks, rank)
	freed := r.tokens
	r.tokens = 0
	return freed, nil
}

// Guards against refusing a request of the highest tier, whose deadline passes,
// before the waiting requests of both lower tiers in this pool and at peers.
// The lowest tier is refused first, and the refusals are not delayed.
func TestHighestTierIsRefusedLast(t *testing.T) {
	for _, singleDaemon := range []bool{false, true} {
		is := is.New(t)
		clock := clockwork.NewFakeClock()
		recording := &recordingRelief{tokens: 100}
		var relief fireflypath.Relief = recording
		if singleDaemon {
			relief = nil
		}
		p := pool.New("chat", clock, sched.New(sched.Config{Pool: fireflypath.Pool{Name: "chat"}, LowestRank: 2}), relief)
		var works [3]*fireflypath.Work
		var wg sync.WaitGroup
		for _, rank := range []int{2, 1, 0} {
			r := &request.Request{Config: &fireflypath.Config{}, WaitResult: make(chan request.WaitResult, 1)}
			r.Work.ID, r.Work.Pool, r.Work.Rank, r.Work.Arrived = "d1", "chat", rank, clock.Now()
			r.Work.Deadline = clock.Now().Add(time.Hour)
			works[rank] = &r.Work
			if rank > 0 {
				wg.Go(func() { is.True(p.Wait(t.Context(), r) != nil) })
				continue
			}
			r.Work.Deadline = clock.Now().Add(time.Second)
			wg.Go(func() {
				is.True(p.Wait(t.Context(), r) != nil)
				is.Equal(works[1].Lifecycle.State(), fireflypath.StateShed)
				is.Equal(works[2].Lifecycle.State(), fireflypath.StateShed)
			})
		}
		for len(p.OpenRequests(func(*fireflypath.Work) bool { return true }, nil)) < 3 && t.Context().Err() == nil {
			runtime.Gosched() // until all requests are queued
		}
		clock.Advance(2 * time.Second)
		wg.Wait()
		is.Equal(works[0].Lifecycle.State(), fireflypath.StateExpired)
		if !singleDaemon {
			is.Equal(recording.ranks, []int{1, 0, 1, 0})
		}
	}
}
