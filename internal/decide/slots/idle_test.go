package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
)

// requestsAtLightLoad sends one request at a time to three targets, of which the last takes slow times
// as long to begin, and returns how many each received and the longest time that one received none.
func requestsAtLightLoad(tuning slots.Tuning, slow int) (sent [3]int, longest [3]time.Duration) {
	const interval, requests = 25 * time.Millisecond, 400
	s := slots.New(fireflypath.Pool{Name: "p", Stride: 3}, 7, tuning)
	s.SetTargets(start, newTargets(3))
	last := [3]time.Time{start, start, start}
	now := start
	for i := range requests {
		s.Offer(now, newWork(fmt.Sprint(i), 0, now), nil)
		for _, p := range dispatchAll(s, now) {
			var t int
			_, _ = fmt.Sscanf(p.Target, "t%d", &t)
			sent[t]++
			longest[t], last[t] = max(longest[t], now.Sub(last[t])), now
			millis := 10 + t
			if t == 2 {
				millis *= slow
			}
			took := time.Duration(millis) * time.Millisecond
			complete(s, now.Add(took), p, took)
		}
		now = now.Add(interval)
	}
	for t := range last {
		longest[t] = max(longest[t], now.Sub(last[t]))
	}
	return sent, longest
}

// Guards against targets that receive nothing at light load because another one is a little faster:
// they cannot say in answers that they leave or have a limit, and their speeds are not learned.
func TestEqualTargetsAllReceiveRequestsAtLightLoad(t *testing.T) {
	for name, tuning := range map[string]slots.Tuning{"dispatcher": slots.DispatcherTuning(), "standalone": slots.StandaloneTuning()} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, longest := requestsAtLightLoad(tuning, 1)
			for _, d := range longest {
				is.True(d <= time.Second)
			}
		})
	}
}

// Guards against callers whose answers begin late because a much slower target is kept in use.
func TestMuchSlowerTargetIsNotKeptInUse(t *testing.T) {
	is := is.New(t)
	sent, _ := requestsAtLightLoad(slots.DispatcherTuning(), 5)
	is.True(sent[2] <= 8) // one in fifty, until its speed is known
}
