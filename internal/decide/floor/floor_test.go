package floor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/decide/floor"
)

var startTime = time.Unix(1000, 0)

// servedRatios offers 20 requests per second of each of two tiers, while 20 per
// second can be served. The lower tier is served only when it is due. It
// returns the ratio of served to offered requests by tier.
func servedRatios(minRatio float64, seconds int) [2]float64 {
	f := floor.New(minRatio)
	var offered, served [2]float64
	now := startTime
	for range 20 * seconds {
		now = now.Add(50 * time.Millisecond)
		tier := 0
		for t := range 2 {
			f.CountOffered(now, t)
			offered[t]++
		}
		if f.Due(now, 1) {
			tier = 1
		}
		f.CountServed(now, tier)
		served[tier]++
	}
	return [2]float64{served[0] / offered[0], served[1] / offered[1]}
}

// The highest tier uses the whole capacity for a minute. Without a floor, the
// tier below it is not served at all; with a floor of 0.35, it is served at
// least a quarter as often as all work, and the highest tier keeps the rest.
func TestLongOverloadDoesNotStarveLowerTier(t *testing.T) {
	is := is.New(t)
	is.Equal(servedRatios(0, 60), [2]float64{1, 0})
	got := servedRatios(0.35, 60)
	all := (got[0] + got[1]) / 2
	is.True(got[1] >= 0.25*all)
	is.True(got[1] <= 0.4*all)
	is.True(got[0] >= 0.8)
}

// A tier that was served well before must not become due during a burst of a
// few seconds: the higher tiers' work would be late a moment later.
func TestShortBurstDoesNotMakeLowerTierDue(t *testing.T) {
	is := is.New(t)
	f := floor.New(0.35)
	now := startTime
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		f.CountOffered(now, 1)
		f.CountServed(now, 1)
	}
	for range 60 { // three seconds
		now = now.Add(50 * time.Millisecond)
		f.CountOffered(now, 0)
		f.CountServed(now, 0)
		f.CountOffered(now, 1)
		is.True(!f.Due(now, 1))
	}
}

// A tier must not be due before enough work was offered, even if no time passes
// between calls.
func TestTierIsNotDueWithLittleWork(t *testing.T) {
	is := is.New(t)
	f := floor.New(0.35)
	is.True(!f.Due(startTime, 3))
	is.Equal(f.Rate(startTime, 3), 0.0)
	for range 3 {
		f.CountOffered(startTime, 3)
	}
	is.True(!f.Due(startTime, 3))
}
