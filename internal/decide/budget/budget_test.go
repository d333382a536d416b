package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath/internal/decide/budget"
)

// A third of the targets is gone, so that a third of all requests fails at first
// and is to be repeated. Unbounded repeats would add half of the load to the
// targets that are left.
func TestRetriesStayWithinRatio(t *testing.T) {
	is := is.New(t)
	b := budget.Budget{Ratio: 0.2, Window: 10 * time.Second}
	now, repeats := time.Unix(1000, 0), 0
	for i := range 3000 {
		now = now.Add(10 * time.Millisecond)
		b.CountRequest(now)
		if i%3 == 0 && b.TryRetry(now, 5) {
			repeats++
		}
	}
	is.True(repeats > 550)
	is.True(repeats <= 600+3*5) // three windows, each with the allowance
}

func TestOldRequestsAllowNoRetry(t *testing.T) {
	is := is.New(t)
	b := budget.Budget{Ratio: 0.5, Window: 10 * time.Second}
	now := time.Unix(1000, 0)
	for range 10 {
		b.CountRequest(now)
	}
	is.True(b.TryRetry(now, 0))
	is.True(!b.TryRetry(now.Add(12*time.Second), 0))
}

// Several daemons count for themselves, and some restart and forget. The sum of
// their repeats in any window stays within the ratio of all requests in it or in
// the one before, and the allowance.
func TestRetriesOfAllDaemonsStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio, allowance = 0.2, 56.0
			steps            = 600 // of 100 ms
			window           = 100
		)
		n := rapid.IntRange(1, 9).Draw(t, "daemons")
		bs := make([]budget.Budget, n)
		for i := range bs {
			bs[i] = budget.Budget{Ratio: 0.8 * ratio, Window: 10 * time.Second}
		}
		requests, repeats := make([]int, steps), make([]int, steps)
		restart := rapid.IntRange(0, steps-1).Draw(t, "restart")
		for i := range steps {
			now := time.Unix(1000, 0).Add(time.Duration(i) * 100 * time.Millisecond)
			for d := range bs {
				if i == restart && d == 0 {
					bs[d] = budget.Budget{Ratio: 0.8 * ratio, Window: 10 * time.Second}
				}
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					bs[d].CountRequest(now)
					requests[i]++
					if bs[d].TryRetry(now, 0.5*allowance/float64(n)) {
						repeats[i]++
					}
				}
			}
		}
		for i := window; i <= steps; i++ {
			of := sum(requests[i-window : i])
			if i >= 2*window {
				of = max(of, sum(requests[i-2*window:i-window]))
			}
			of = max(of, sum(requests[max(i-window-window/2, 0):max(i-window/2, 0)]))
			if got := sum(repeats[i-window : i]); float64(got) > ratio*float64(of)+allowance {
				t.Fatalf("%d repeats for %d requests", got, of)
			}
		}
	})
}

func sum(vs []int) int {
	n := 0
	for _, v := range vs {
		n += v
	}
	return n
}
