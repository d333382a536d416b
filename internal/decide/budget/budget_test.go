package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath/internal/decide/budget"
)

// A third of the targets is gone, so a third of all requests fail at first and should be
// retried. Unlimited retries would add half of the load to the remaining targets.
func TestRetriesStayWithinRatio(t *testing.T) {
	is := is.New(t)
	b := budget.Budget{Ratio: 0.2, Window: 10 * time.Second}
	now, retries := time.Unix(1000, 0), 0
	for i := range 3000 {
		now = now.Add(10 * time.Millisecond)
		b.CountRequest(now)
		if i%3 == 0 && b.TryRetry(now, 5) {
			retries++
		}
	}
	is.True(retries > 550)
	is.True(retries <= 600+3*5) // three windows, each with the allowance of 5
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

// Daemons count independently, and some restart and lose their counts. The sum of their
// retries in any window stays within the ratio of the requests in that window or the
// previous one, plus the allowance.
func TestRetriesOfAllDaemonsStayWithinRatio(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const (
			ratio, allowance = 0.2, 56.0
			steps            = 600 // of 100 ms each
			window           = 100
		)
		daemons := rapid.IntRange(1, 9).Draw(t, "daemons")
		budgets := make([]budget.Budget, daemons)
		for i := range budgets {
			budgets[i] = budget.Budget{Ratio: 0.8 * ratio, Window: 10 * time.Second}
		}
		requests, retries := make([]int, steps), make([]int, steps)
		restart := rapid.IntRange(0, steps-1).Draw(t, "restart")
		for i := range steps {
			now := time.Unix(1000, 0).Add(time.Duration(i) * 100 * time.Millisecond)
			for d := range budgets {
				if i == restart && d == 0 {
					budgets[d] = budget.Budget{Ratio: 0.8 * ratio, Window: 10 * time.Second}
				}
				for range rapid.IntRange(0, 3).Draw(t, "requests") {
					budgets[d].CountRequest(now)
					requests[i]++
					if budgets[d].TryRetry(now, 0.5*allowance/float64(daemons)) {
						retries[i]++
					}
				}
			}
		}
		for i := window; i <= steps; i++ {
			base := sum(requests[i-window : i])
			if i >= 2*window {
				base = max(base, sum(requests[i-2*window:i-window]))
			}
			base = max(base, sum(requests[max(i-window-window/2, 0):max(i-window/2, 0)]))
			if got := sum(retries[i-window : i]); float64(got) > ratio*float64(base)+allowance {
				t.Fatalf("%d retries for %d requests", got, base)
			}
		}
	})
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
