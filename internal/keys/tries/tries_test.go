package tries

import (
	"net/netip"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// Somebody tries keys one after another. Each failure makes the next wait
// longer, while an operator at another address is not slowed.
func TestWaitGrowsAndEnds(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	tr := New(clock)
	bad, good := netip.MustParseAddr("10.0.0.1"), netip.MustParseAddr("10.0.0.2")
	for _, want := range []time.Duration{0, 0, time.Second, 2 * time.Second, 4 * time.Second} {
		tr.Fail(bad)
		is.Equal(tr.Wait(bad), want)
	}
	for range 100 {
		tr.Fail(bad)
	}
	is.Equal(tr.Wait(bad), time.Minute)
	is.Equal(tr.Wait(good), time.Duration(0))
	clock.Advance(30 * time.Second)
	is.Equal(tr.Wait(bad), 30*time.Second)
	clock.Advance(forget)
	is.Equal(tr.Wait(bad), time.Duration(0))
	is.Equal(tr.Failed(), uint64(105))
}

// A scan from many addresses must not fill the daemon's memory, nor may a host
// with a whole IPv6 network look like many sources.
func TestSourcesAreBounded(t *testing.T) {
	is := is.New(t)
	tr := New(clockwork.NewFakeClock())
	addr := netip.MustParseAddr("10.0.0.1")
	for range maxSources + 100 {
		tr.Fail(addr)
		addr = addr.Next()
	}
	is.Equal(len(tr.byAddr), maxSources)
	is.Equal(tr.order.Len(), maxSources)
	for range free {
		tr.Fail(netip.MustParseAddr("2001:db8::1"))
	}
	is.Equal(tr.Wait(netip.MustParseAddr("2001:db8::2")), firstWait)
}
