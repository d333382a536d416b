package pool_test

import (
	"context"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// A request that has not ended is listed as waiting until it has a target, then
// as dispatched to that target, and no longer after its end.
func TestOpenRequestsShowsStateUntilEnd(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	p := pool.New("chat", clock, sched.New(sched.Config{Pool: fireflypath.Pool{Name: "chat"}}), nil)
	all := func(*fireflypath.Work) bool { return true }
	r := &request.Request{Config: &fireflypath.Config{Generation: 3}, WaitResult: make(chan request.WaitResult, 1)}
	r.Work.ID, r.Work.Pool, r.Work.Arrived = "d1.X", "chat", clock.Now()
	r.Work.Deadline = clock.Now().Add(time.Minute)
	r.Work.Cost.Prompt = 10

	done := make(chan error)
	go func() { done <- p.Wait(t.Context(), r) }()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	for len(p.OpenRequests(all, nil)) == 0 && ctx.Err() == nil {
		runtime.Gosched() // until the request is queued
	}
	is.Equal(p.OpenRequests(all, nil)[0].State, "waiting")
	p.SetTargets([]fireflypath.Target{{Name: "e1", Pool: "chat", Addr: "127.0.0.1:1", Domain: "a"}})
	is.NoErr(<-done)
	got := p.OpenRequests(all, nil)
	is.Equal(len(got), 1)
	is.Equal(got[0].State, "dispatched")
	is.Equal(got[0].Target, "e1")
	is.Equal(got[0].Generation, uint64(3))
	is.Equal(len(p.OpenRequests(func(w *fireflypath.Work) bool { return w.ID == "d1.Y" }, nil)), 0)
	p.Notify(r, fireflypath.EventDone, -1)
	is.Equal(len(p.OpenRequests(all, nil)), 0)
}
