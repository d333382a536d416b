// Package load sends the arrivals of a mix and summarizes what callers received.
package load

import (
	"context"
	"iter"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// Outcome is the result of one arrival as seen by its caller.
type Outcome struct {
	Arrival mix.Arrival
	// Whole is true if the complete answer was received.
	Whole bool
	// Refusal is set if the request was refused.
	Refusal *fireflypath.Refusal
	// Err is set if there was neither an answer nor a refusal.
	Err error
	// First and Took count from the scheduled arrival, so that a slow sender does
	// not hide latency.
	First time.Duration
	Took  time.Duration
}

// Sender sends the request of one arrival and waits for the answer. It must call first
// at the first byte of the answer.
type Sender interface {
	Send(ctx context.Context, a mix.Arrival, first func()) (*fireflypath.Refusal, error)
}

// Run sends each arrival at its scheduled time, independently of earlier requests (open
// loop), waits for all answers, and adds each outcome to the tally.
func Run(ctx context.Context, clock clockwork.Clock, arrivals iter.Seq[mix.Arrival], s Sender, t *Tally) {
	var wg conc.WaitGroup
	defer wg.Wait()
	start := clock.Now()
	for a := range arrivals {
		if !sleepContext(ctx, clock, a.At-clock.Since(start)) {
			return
		}
		wg.Go(func() {
			t.Add(sendOne(ctx, clock, start.Add(a.At), a, s))
		})
	}
}

// sleepContext waits for d and reports false if ctx is done before.
func sleepContext(ctx context.Context, clock clockwork.Clock, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func sendOne(ctx context.Context, clock clockwork.Clock, due time.Time, a mix.Arrival, s Sender) Outcome {
	o := Outcome{Arrival: a}
	o.Refusal, o.Err = s.Send(ctx, a, func() { o.First = clock.Since(due) })
	o.Took = clock.Since(due)
	o.Whole = o.Err == nil && o.Refusal == nil
	return o
}
