package allowance

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// A burst is refused and half of its callers come back 1.2 s later, among new ones.
// The returning ones have 1.2 s less left, and are told from the others by it.
func TestRetriesAreDetected(t *testing.T) {
	is := is.New(t)
	var m RetryDetector
	now := start
	for range 20 {
		is.Equal(m.Observe(now, 12*time.Second-2*time.Millisecond), time.Duration(0))
		now = now.Add(50 * time.Millisecond)
	}
	for range 40 {
		is.Equal(m.Observe(now, 12*time.Second-5*time.Millisecond), time.Duration(0))
		got := m.Observe(now, 10800*time.Millisecond)
		is.True(got > 1150*time.Millisecond && got < 1250*time.Millisecond)
		now = now.Add(100 * time.Millisecond)
	}
}

// Each caller brings a time of its own. One with little is no returning caller, and
// must not be served after the others for it.
func TestVaryingAllowancesAreNotRetries(t *testing.T) {
	is := is.New(t)
	var m RetryDetector
	for i := range 200 {
		left := time.Duration(1+i*7%19) * time.Second
		is.Equal(m.Observe(start.Add(time.Duration(i)*20*time.Millisecond), left), time.Duration(0))
	}
}

// An operator lets callers wait for less from now on. After some seconds the new time
// is what first attempts bring.
func TestShorterAllowanceIsLearned(t *testing.T) {
	is := is.New(t)
	var m RetryDetector
	now := start
	for range 50 {
		m.Observe(now, 12*time.Second)
		now = now.Add(100 * time.Millisecond)
	}
	for range 120 {
		m.Observe(now, 6*time.Second)
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(m.Observe(now, 6*time.Second), time.Duration(0))
	is.True(m.Observe(now, 5*time.Second) > 900*time.Millisecond)
}
