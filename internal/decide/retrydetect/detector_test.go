package retrydetect

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1000, 0)

// A burst is refused, and half of its callers retry 1.2 s later among new callers. The
// retries are recognized by having 1.2 s less remaining.
func TestRetriesAreDetected(t *testing.T) {
	is := is.New(t)
	var detector Detector
	now := start
	for range 20 {
		is.Equal(detector.Observe(now, 12*time.Second-2*time.Millisecond), time.Duration(0))
		now = now.Add(50 * time.Millisecond)
	}
	for range 40 {
		is.Equal(detector.Observe(now, 12*time.Second-5*time.Millisecond), time.Duration(0))
		elapsed := detector.Observe(now, 10800*time.Millisecond)
		is.True(elapsed > 1150*time.Millisecond && elapsed < 1250*time.Millisecond)
		now = now.Add(100 * time.Millisecond)
	}
}

// Every caller sets its own allowance. A short one is no sign of a retry and must not be
// served later for it.
func TestVaryingAllowancesAreNotRetries(t *testing.T) {
	is := is.New(t)
	var detector Detector
	for i := range 200 {
		remaining := time.Duration(1+i*7%19) * time.Second
		is.Equal(detector.Observe(start.Add(time.Duration(i)*20*time.Millisecond), remaining), time.Duration(0))
	}
}

// An operator shortens the callers' allowance. After some seconds, first attempts are
// expected to have the new one.
func TestShorterAllowanceIsLearned(t *testing.T) {
	is := is.New(t)
	var detector Detector
	now := start
	for range 50 {
		detector.Observe(now, 12*time.Second)
		now = now.Add(100 * time.Millisecond)
	}
	for range 120 {
		detector.Observe(now, 6*time.Second)
		now = now.Add(100 * time.Millisecond)
	}
	is.Equal(detector.Observe(now, 6*time.Second), time.Duration(0))
	is.True(detector.Observe(now, 5*time.Second) > 900*time.Millisecond)
}
