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
	b := New()
	for range 100 {
		b.RecordEarly(now, "x")
	}
	is.Equal(b.EarlyRetries(), 100)
	is.Equal(b.Extend(now, "x", time.Second), 4*time.Second)
	is.Equal(b.Extend(now, "y", time.Second), time.Second)
	is.Equal(b.Extend(now.Add(resetAfter+1), "x", time.Second), time.Second)
}

// Callers use ever new team names. The memory for them must stay bounded.
func TestBackoffMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	b := New()
	for i := range 10 * maxTeams {
		b.RecordEarly(time.Time{}, fmt.Sprint(i))
	}
	is.True(len(b.teams) <= maxTeams)
}
