package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestStretchDoublesWithTenfoldReturns(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := New()
	for range 100 {
		d.Early(now, "x")
	}
	is.Equal(d.Total(), 100)
	is.Equal(d.Stretch(now, "x", time.Second), 4*time.Second)
	is.Equal(d.Stretch(now, "y", time.Second), time.Second)
	is.Equal(d.Stretch(now.Add(quiet+1), "x", time.Second), time.Second)
}

// Callers make up team after team. What is kept of them must stay bounded.
func TestDamperIsBounded(t *testing.T) {
	is := is.New(t)
	d := New()
	for i := range 10 * limit {
		d.Early(time.Time{}, fmt.Sprint(i))
	}
	is.True(len(d.teams) <= limit)
}
