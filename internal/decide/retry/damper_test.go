package retry

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestExtendDoublesPerTenfoldEarlyRetries(t *testing.T) {
	is := is.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	d := New()
	for range 100 {
		d.RecordEarly(now, "x")
	}
	is.Equal(d.EarlyRetries(), 100)
	is.Equal(d.Extend(now, "x", time.Second), 4*time.Second)
	is.Equal(d.Extend(now, "y", time.Second), time.Second)
	is.Equal(d.Extend(now.Add(resetAfter+1), "x", time.Second), time.Second)
}

// Callers make up team after team. What is kept of them must stay bounded.
func TestBackoffMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	d := New()
	for i := range 10 * maxTeams {
		d.RecordEarly(time.Time{}, fmt.Sprint(i))
	}
	is.True(len(d.teams) <= maxTeams)
}
