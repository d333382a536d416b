package claim_test

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/claim"
	"github.com/fireflypath/fireflypath/internal/claim/memory"
)

// store counts writes and fails as told.
type store struct {
	*memory.Store
	puts atomic.Int32
	// lost is the number of writes whose answer is lost, down refuses all calls.
	lost atomic.Int32
	down atomic.Bool
}

func (s *store) Get(ctx context.Context, key string) (fireflypath.Entry, error) {
	if s.down.Load() {
		return fireflypath.Entry{}, fireflypath.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

func (s *store) Put(ctx context.Context, key string, v []byte, rev uint64, l fireflypath.LeaseID) (uint64, error) {
	s.puts.Add(1)
	n, err := s.Store.Put(ctx, key, v, rev, l)
	if err == nil && s.lost.Add(-1) >= 0 {
		return 0, fireflypath.ErrUnknown
	}
	return n, err
}

func newStore() *store {
	return &store{Store: memory.New()}
}

const soon = 10 * time.Second

func open(t *testing.T, s fireflypath.Store, clock clockwork.Clock) *claim.Claims {
	c := claim.New(s, clock)
	t.Cleanup(func() { c.Close(t.Context()) })
	return c
}

// A caller loses its daemon and retries at another one, or two of its programs
// send the same delivery at once. If both were dispatched, the packet would be
// delivered twice.
func TestOneHolder(t *testing.T) {
	is := is.New(t)
	s := newStore()
	clock := clockwork.NewRealClock()
	var won atomic.Int32
	var wg sync.WaitGroup
	for n := range 8 {
		c := open(t, s, clock)
		wg.Go(func() {
			err := c.Claim(t.Context(), "team", "key", fmt.Sprintf("d%d.1", n), clock.Now().Add(soon))
			var held *claim.HeldError
			if err == nil {
				won.Add(1)
			} else if !errors.As(err, &held) {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	is.Equal(won.Load(), int32(1))
	is.NoErr(open(t, s, clock).Claim(t.Context(), "other", "key", "d.2", clock.Now().Add(soon))) // keys belong to teams
}

// The store writes a claim and the connection breaks before its answer. Taken
// for a failure, the caller would be refused by its own claim on every retry.
func TestLostAnswerIsSettled(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.lost.Store(1)
	clock := clockwork.NewRealClock()
	c := open(t, s, clock)
	is.NoErr(c.Claim(t.Context(), "team", "key", "d.1", clock.Now().Add(soon)))
	is.Equal(s.puts.Load(), int32(1))
}

// The store is down for longer than a request may wait. The request is refused
// as not run; its claim may still be on its way, and would block the caller's
// retry, so it is taken back when the store answers again.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.down.Store(true)
	clock := clockwork.NewRealClock()
	c := open(t, s, clock)
	err := c.Claim(t.Context(), "team", "key", "d.1", clock.Now().Add(30*time.Millisecond))
	is.True(errors.Is(err, claim.ErrUnavailable))
	s.down.Store(false)
	is.NoErr(c.Claim(t.Context(), "team", "key", "d.2", clock.Now().Add(soon)))
}

func TestRelease(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	c := open(t, newStore(), clock)
	is.NoErr(c.Claim(t.Context(), "team", "key", "d.1", clock.Now().Add(soon)))
	c.Release("team", "key", "d.9") // not the holder
	var held *claim.HeldError
	is.True(errors.As(c.Claim(t.Context(), "team", "key", "d.2", clock.Now().Add(soon)), &held))
	is.Equal(held.Holder, "d.1")
	c.Release("team", "key", "d.1")
	is.NoErr(c.Claim(t.Context(), "team", "key", "d.2", clock.Now().Add(soon)))
}

func TestRetention(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	c := open(t, newStore(), clock)
	is.NoErr(c.Claim(t.Context(), "team", "key", "d.1", clock.Now().Add(soon)))
	clock.Advance(claim.Retention)
	is.True(c.Claim(t.Context(), "team", "key", "d.2", clock.Now().Add(soon)) != nil)
	clock.Advance(time.Second)
	is.NoErr(c.Claim(t.Context(), "team", "key", "d.2", clock.Now().Add(soon)))
}

// A burst of deliveries comes in at once. The service takes several hundred
// writes a second for the whole fleet; a write for each claim would use them up.
func TestBurstIsGrouped(t *testing.T) {
	is := is.New(t)
	s := newStore()
	s.down.Store(true)
	clock := clockwork.NewRealClock()
	c := open(t, s, clock)
	var wg sync.WaitGroup
	const burst = 1000
	for n := range burst {
		wg.Go(func() {
			if err := c.Claim(t.Context(), "team", fmt.Sprint(n), fmt.Sprintf("d.%d", n), clock.Now().Add(soon)); err != nil {
				t.Error(err)
			}
		})
	}
	for c.Pending() < burst {
		runtime.Gosched()
	}
	s.down.Store(false)
	wg.Wait()
	// One write of each of the 64 documents for what was being tried when the
	// store came back, and one for what came meanwhile.
	is.True(s.puts.Load() <= 128)
}
