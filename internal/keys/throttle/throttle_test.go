package throttle

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Guessing keys makes the delay grow with each failure. Operators at other addresses must not be
// delayed.
func TestWaitGrowsAndResets(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	throttle := New(clock)
	bad, good := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	for _, want := range []time.Duration{0, 0, time.Second, 2 * time.Second, 4 * time.Second} {
		throttle.RecordFailure(bad)
		is.Equal(throttle.Wait(bad), want)
	}
	for range 100 {
		throttle.RecordFailure(bad)
	}
	is.Equal(throttle.Wait(bad), time.Minute)
	is.Equal(throttle.Wait(good), time.Duration(0))
	clock.Advance(30 * time.Second)
	is.Equal(throttle.Wait(bad), 30*time.Second)
	clock.Advance(resetAfter)
	is.Equal(throttle.Wait(bad), time.Duration(0))
	is.Equal(throttle.Failures(), uint64(105))
}

// A scan from many addresses must not exhaust the daemon's memory, and a host with a whole IPv6
// network must count as one source.
func TestSourcesAreBounded(t *testing.T) {
	is := is.New(t)
	throttle := New(clockwork.NewFakeClock())
	addr := netip.MustParseAddr("10.0.0.1")
	for range maxSources + 100 {
		throttle.RecordFailure(addr)
		addr = addr.Next()
	}
	is.Equal(len(throttle.byAddr), maxSources)
	is.Equal(throttle.recent.Len(), maxSources)
	for range freeFailures {
		throttle.RecordFailure(netip.MustParseAddr("2001:db8::1"))
	}
	is.Equal(throttle.Wait(netip.MustParseAddr("2001:db8::2")), initialDelay)
}
