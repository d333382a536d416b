package ratewindow_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/ratewindow"
)

// A check of a limit only proves something if it counts the worst span, wherever that begins.
func TestMostIsThatOfWorstSpan(t *testing.T) {
	is := is.New(t)
	var c ratewindow.Counter
	start := time.Unix(1000, 0)
	for _, sec := range []float64{0, 3, 3.5, 4, 6.9, 20} {
		c.Add(start.Add(time.Duration(sec * float64(time.Second))))
	}
	is.Equal(c.Most(), 4) // 0 to 4, and 3 to 6.9
	is.Equal(c.Add(start.Add(30*time.Second)), 1)
	is.Equal(ratewindow.Allowed(2.3), 18)
	is.Equal(ratewindow.Allowed(1), 11)
}
