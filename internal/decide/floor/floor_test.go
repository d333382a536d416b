package floor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/decide/floor"
)

var start = time.Unix(1000, 0)

// overload asks for 20 pieces of work a second of each of two tiers, of which 20 are
// served; the lower one gets a place only if it is due. It returns the part served.
func overload(part float64, seconds int) [2]float64 {
	f := floor.New(part)
	var asked, served [2]float64
	now := start
	for range 20 * seconds {
		now = now.Add(50 * time.Millisecond)
		tier := 0
		for t := range 2 {
			f.CountOffered(now, t)
			asked[t]++
		}
		if f.Due(now, 1) {
			tier = 1
		}
		f.CountServed(now, tier)
		served[tier]++
	}
	return [2]float64{served[0] / asked[0], served[1] / asked[1]}
}

// The highest tier alone asks for all that can be served, for a minute. Without a floor
// the tier below it gets nothing; with one its callers are served a good quarter as
// often as all, and the highest tier keeps the rest.
func TestTierIsNotStarvedByALongOverload(t *testing.T) {
	is := is.New(t)
	is.Equal(overload(0, 60), [2]float64{1, 0})
	got := overload(0.35, 60)
	all := (got[0] + got[1]) / 2
	is.True(got[1] >= 0.25*all)
	is.True(got[1] <= 0.4*all)
	is.True(got[0] >= 0.8)
}

// A burst of a few seconds comes to a tier that was served well before. It is left to
// the tiers above, whose work is late a moment later.
func TestShortBurstIsLeftToHigherTiers(t *testing.T) {
	is := is.New(t)
	f := floor.New(0.35)
	now := start
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

// Little is known of a tier at first, and the clock may stand still.
func TestNothingIsDueWithoutWork(t *testing.T) {
	is := is.New(t)
	f := floor.New(0.35)
	is.True(!f.Due(start, 3))
	is.Equal(f.Rate(start, 3), 0.0)
	for range 3 {
		f.CountOffered(start, 3)
	}
	is.True(!f.Due(start, 3))
}
