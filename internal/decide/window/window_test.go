package window

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// A restarted target must not be filled at once, and must be full again after a few
// reports that show its window in use.
func TestWindowGrowsGraduallyToBatch(t *testing.T) {
	is := is.New(t)
	w := New(0)
	is.Equal(w.Requests(), float64(initialRequests))
	for range 4 {
		n := int(w.Requests())
		w.ObserveReport(fireflypath.Report{Running: n, MaxRunning: 16})
		is.True(w.Requests() <= growthFactor*float64(n+1))
	}
	is.True(w.Requests() >= 16)
	for range 100 {
		w.ObserveAnswer()
	}
	is.Equal(w.Requests(), 20.0) // the batch plus a quarter
	w.Reset()
	is.Equal(w.Requests(), float64(initialRequests))
}

// A target that does not report its batch size reports a queue of its own. Its
// window must shrink to what it runs, as requests in that queue are not ordered by
// priority.
func TestWindowShrinksWhenTargetQueues(t *testing.T) {
	is := is.New(t)
	w := New(0)
	for range 200 {
		w.ObserveAnswer()
	}
	for range 10 {
		w.ObserveReport(fireflypath.Report{Running: 6, Waiting: 10})
	}
	is.True(w.Requests() <= 6)
	is.True(w.Requests() >= 1)
}

func TestConfiguredWindowLimitsTokens(t *testing.T) {
	is := is.New(t)
	w := New(300)
	is.Equal(w.Tokens(10000), 300)
	w = New(0)
	is.Equal(w.Tokens(10000), 5000)
}
