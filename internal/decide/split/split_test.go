package split_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath/internal/decide/split"
)

var start = time.Unix(0, 0)

// A team's callers sit at two of four daemons. Each of the two gets what it
// wants although that is more than a quarter.
func TestUnevenDemandIsGranted(t *testing.T) {
	is := is.New(t)
	var s split.Allocator
	is.Equal(s.Request(start, 100, "a", 45), 45.0)
	is.Equal(s.Request(start, 100, "b", 40), 40.0)
	is.Equal(s.Request(start, 100, "c", 0), 0.0)
}

// One daemon's callers send many times the quota. The others still get an even
// part once the first one's lease was renewed.
func TestRenewalMakesRoomForOtherDaemons(t *testing.T) {
	is := is.New(t)
	var s split.Allocator
	is.Equal(s.Request(start, 100, "a", 1000), 100.0)
	is.Equal(s.Request(start, 100, "b", 50), 0.0) // nothing is left until a asks again
	is.Equal(s.Request(start, 100, "a", 1000), 50.0)
	is.Equal(s.Request(start, 100, "b", 50), 50.0)
}

// A daemon dies with its part. The part is free again when its lease ends.
func TestExpiredLeaseIsGrantedAgain(t *testing.T) {
	is := is.New(t)
	var s split.Allocator
	is.Equal(s.Request(start, 100, "a", 100), 100.0)
	later := start.Add(split.LeaseDuration)
	is.Equal(s.Request(later, 100, "b", 100), 100.0)
}

// Whatever daemons ask for and whenever, what they hold never sums to more than
// the rate: otherwise a team would get more than its quota.
func TestSumStaysWithinTheRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s split.Allocator
		now, rate := start, rapid.Float64Range(1, 1000).Draw(t, "rate")
		held := map[string]float64{}
		ends := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "asks") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			who := fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "who"))
			want := rapid.Float64Range(0, 2000).Draw(t, "want")
			got := s.Request(now, rate, who, want)
			if got > want || got < 0 {
				t.Fatalf("wanted %v, got %v", want, got)
			}
			held[who], ends[who] = got, now.Add(split.LeaseDuration)
			sum := 0.0
			for name, n := range held {
				if now.Before(ends[name]) {
					sum += n
				}
			}
			if sum > rate*(1+1e-9) {
				t.Fatalf("%v is held of %v", sum, rate)
			}
		}
	})
}
