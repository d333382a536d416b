package ratelease_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath/internal/decide/ratelease"
)

var start = time.Unix(0, 0)

// A team's callers use two of four daemons. Both get what they want, although it is more
// than a quarter each.
func TestUnevenDemandIsGranted(t *testing.T) {
	is := is.New(t)
	var a ratelease.Allocator
	is.Equal(a.Request(start, 100, "a", 45), 45.0)
	is.Equal(a.Request(start, 100, "b", 40), 40.0)
	is.Equal(a.Request(start, 100, "c", 0), 0.0)
}

// One daemon's callers send many times the quota. The other daemons get an even share once
// the first daemon's lease is renewed.
func TestRenewalMakesRoomForOtherDaemons(t *testing.T) {
	is := is.New(t)
	var a ratelease.Allocator
	is.Equal(a.Request(start, 100, "a", 1000), 100.0)
	is.Equal(a.Request(start, 100, "b", 50), 0.0) // nothing is left until a renews
	is.Equal(a.Request(start, 100, "a", 1000), 50.0)
	is.Equal(a.Request(start, 100, "b", 50), 50.0)
}

// A daemon fails while it holds a lease. Its part can be granted again when the lease
// expires.
func TestExpiredLeaseIsGrantedAgain(t *testing.T) {
	is := is.New(t)
	var a ratelease.Allocator
	is.Equal(a.Request(start, 100, "a", 100), 100.0)
	later := start.Add(ratelease.LeaseDuration)
	is.Equal(a.Request(later, 100, "b", 100), 100.0)
}

// Whatever daemons request and when, the leases in effect never sum to more than the rate:
// otherwise a team would get more than its quota.
func TestSumStaysWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a ratelease.Allocator
		now, rate := start, rapid.Float64Range(1, 1000).Draw(t, "rate")
		leased := map[string]float64{}
		expiry := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			daemon := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "who"))
			wanted := rapid.Float64Range(0, 2000).Draw(t, "want")
			granted := a.Request(now, rate, daemon, wanted)
			if granted > wanted || granted < 0 {
				t.Fatalf("wanted %v, granted %v", wanted, granted)
			}
			leased[daemon], expiry[daemon] = granted, now.Add(ratelease.LeaseDuration)
			sum := 0.0
			for name, amount := range leased {
				if now.Before(expiry[name]) {
					sum += amount
				}
			}
			if sum > rate*(1+1e-9) {
				t.Fatalf("%v leased of %v", sum, rate)
			}
		}
	})
}
