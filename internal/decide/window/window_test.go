package window

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// A target was restarted. It must not be filled at once, and must be full again
// after a few reports that show its window used.
func TestWindowGrowsGentlyToTheBatch(t *testing.T) {
	is := is.New(t)
	w := New(0)
	is.Equal(w.Requests(), float64(start))
	for range 4 {
		n := int(w.Requests())
		w.Report(fireflypath.Report{Running: n, Batch: 16})
		is.True(w.Requests() <= growth*float64(n+1))
	}
	is.True(w.Requests() >= 16)
	for range 100 {
		w.Done()
	}
	is.Equal(w.Requests(), 20.0) // a quarter more than the batch
	w.Reset()
	is.Equal(w.Requests(), float64(start))
}

// A target that never tells its batch reports a queue of its own. Its window
// must shrink to what it runs, or priority is lost in that queue.
func TestWindowShrinksWithTheTargetsQueue(t *testing.T) {
	is := is.New(t)
	w := New(0)
	for range 200 {
		w.Done()
	}
	for range 10 {
		w.Report(fireflypath.Report{Running: 6, Waiting: 10})
	}
	is.True(w.Requests() <= 6)
	is.True(w.Requests() >= 1)
}

func TestConfiguredWindowGoesFirst(t *testing.T) {
	is := is.New(t)
	w := New(300)
	is.Equal(w.Tokens(10000), 300)
	w = New(0)
	is.Equal(w.Tokens(10000), 5000)
}
