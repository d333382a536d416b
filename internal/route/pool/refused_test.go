package pool_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/record"
	"github.com/fireflypath/fireflypath/internal/record/draft"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// BenchmarkRefused measures refusing a request in a full pool with 96 targets,
// with and without records.
func BenchmarkRefused(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("records=%v", on), func(b *testing.B) {
			clock := clockwork.NewRealClock()
			full := fireflypath.Pool{Name: "chat", Requests: 1}
			p := pool.New("chat", clock, sched.New(sched.Config{Pool: full}), nil)
			var targets []fireflypath.Target
			for i := range 96 {
				targets = append(targets, fireflypath.Target{Name: fmt.Sprint("e", i), Pool: "chat", Drained: true})
			}
			p.SetTargets(targets)
			var recorder fireflypath.Recorder
			if on {
				recorder = record.New(0)
			}
			offer := func() (*request.Request, error) {
				r := &request.Request{Config: &fireflypath.Config{}, WaitResult: make(chan request.WaitResult, 1)}
				r.Work.ID, r.Work.Pool, r.Work.Arrived = "d1.X", "chat", clock.Now()
				r.Work.Deadline = r.Work.Arrived.Add(time.Hour)
				r.Work.Cost.Prompt = 10
				r.Draft = draft.New(recorder, &r.Work, 1)
				return r, p.Wait(b.Context(), r)
			}
			result := make(chan error, 1)
			go func() {
				_, err := offer()
				result <- err
			}()
			for p.Demand().WaitingRequests == nil || p.Demand().WaitingRequests[0] == 0 {
				runtime.Gosched()
			}
			b.ReportAllocs()
			for b.Loop() {
				r, err := offer()
				if err == nil {
					b.Fatal("request was not refused by the full pool")
				}
				r.Draft.End(clock.Now(), r.Work.Lifecycle.State(), 0, nil)
			}
			p.Close(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
			<-result
		})
	}
}
