package platform_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
	fake "github.com/fireflypath/fireflypath/internal/fake/platform"
	"github.com/fireflypath/fireflypath/internal/platform"
)

// startClient starts the fake service and a client of it.
func startClient(t *testing.T, cfg fake.Config, clock clockwork.Clock) (*fake.Fake, *platform.Client) {
	t.Helper()
	f := fake.New(cfg, clock)
	if err := f.Listen("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	c := platform.New(f.Addr(), 10*time.Second)
	t.Cleanup(func() {
		c.Close()
		f.Close()
	})
	return f, c
}

// testBothStores runs a test against the store over HTTP and in process.
func testBothStores(t *testing.T, cfg fake.Config, run func(*is.I, *fake.Fake, fireflypath.Store, *clockwork.FakeClock)) {
	t.Helper()
	t.Run("http", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		f, c := startClient(t, cfg, clock)
		run(is.New(t), f, c, clock)
	})
	t.Run("in process", func(t *testing.T) {
		clock := clockwork.NewFakeClock()
		f := fake.New(cfg, clock)
		run(is.New(t), f, f.Store(), clock)
	})
}

func TestStoreCompareAndSwap(t *testing.T) {
	testBothStores(t, fake.Config{}, func(is *is.I, _ *fake.Fake, s fireflypath.Store, _ *clockwork.FakeClock) {
		ctx := t.Context()
		_, err := s.Get(ctx, "a/b c")
		is.True(errors.Is(err, fireflypath.ErrNotFound))
		first, err := s.Put(ctx, "a/b c", []byte("one"), 0, 0)
		is.NoErr(err)
		_, err = s.Put(ctx, "a/b c", []byte("two"), 0, 0)
		is.True(errors.Is(err, fireflypath.ErrConflict))
		second, err := s.Put(ctx, "a/b c", []byte("two"), first, 0)
		is.NoErr(err)
		third, err := s.Put(ctx, "a/b c", []byte("three"), fireflypath.AnyRevision, 0)
		is.NoErr(err)
		is.True(first < second && second < third)
		e, err := s.Get(ctx, "a/b c")
		is.NoErr(err)
		is.Equal(e, fireflypath.Entry{Key: "a/b c", Value: []byte("three"), Revision: third})
		is.True(errors.Is(s.Delete(ctx, "a/b c", first), fireflypath.ErrConflict))
		is.NoErr(s.Delete(ctx, "a/b c", third))
		found, err := s.List(ctx, "a/")
		is.NoErr(err)
		is.Equal(len(found), 0)
		_, err = s.Put(ctx, "big", make([]byte, fireflypath.MaxValue+1), 0, 0)
		is.True(err != nil)
	})
}

func TestStoreWatch(t *testing.T) {
	testBothStores(t, fake.Config{}, func(is *is.I, f *fake.Fake, s fireflypath.Store, clock *clockwork.FakeClock) {
		ctx := t.Context()
		at, err := s.Put(ctx, "w/gone", []byte("x"), 0, 0)
		is.NoErr(err)
		type watchResult struct {
			entries []fireflypath.Entry
			err     error
		}
		results := make(chan watchResult, 1)
		go func() {
			entries, err := s.Watch(ctx, "w/", at, time.Minute)
			results <- watchResult{entries, err}
		}()
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		is.NoErr(f.Store().Delete(ctx, "w/gone", at))
		result := <-results
		is.NoErr(result.err)
		is.Equal(result.entries, []fireflypath.Entry{{Key: "w/gone", Revision: at + 1, Deleted: true}})
		go func() {
			entries, err := s.Watch(ctx, "w/", at+1, time.Minute)
			results <- watchResult{entries, err}
		}()
		is.NoErr(clock.BlockUntilContext(ctx, 1))
		clock.Advance(time.Minute)
		result = <-results
		is.NoErr(result.err)
		is.Equal(len(result.entries), 0)
		is.Equal(f.Counts().Watch, 2)
	})
}

// The holder of a lease pauses for longer than the lease's TTL and assumes that it still
// holds it. Its key must be gone for others, and the next renewal must fail instead of
// succeeding.
func TestStoreLeaseExpires(t *testing.T) {
	testBothStores(t, fake.Config{}, func(is *is.I, _ *fake.Fake, s fireflypath.Store, clock *clockwork.FakeClock) {
		ctx := t.Context()
		id, err := s.Grant(ctx, 5*time.Second)
		is.NoErr(err)
		_, err = s.Put(ctx, "holder", []byte("me"), 0, id)
		is.NoErr(err)
		clock.Advance(4 * time.Second)
		is.NoErr(s.Renew(ctx, id))
		clock.Advance(4 * time.Second)
		_, err = s.Get(ctx, "holder")
		is.NoErr(err)
		clock.Advance(2 * time.Second)
		_, err = s.Get(ctx, "holder")
		is.True(errors.Is(err, fireflypath.ErrNotFound))
		is.True(errors.Is(s.Renew(ctx, id), fireflypath.ErrLeaseExpired))
		_, err = s.Put(ctx, "holder", []byte("me"), 0, id)
		is.True(errors.Is(err, fireflypath.ErrLeaseExpired))
	})
}

// The service applies a write and the connection breaks before the response. If the write
// were sent again, it would conflict with itself, and an accepted command of an operator
// would be reported as refused.
func TestStoreLostResponse(t *testing.T) {
	testBothStores(t, fake.Config{}, func(is *is.I, f *fake.Fake, s fireflypath.Store, _ *clockwork.FakeClock) {
		ctx := t.Context()
		is.NoErr(f.Fault(fault.Fault{Name: fault.LoseAnswer, Count: 1}))
		_, err := s.Put(ctx, "k", []byte("v"), 0, 0)
		is.True(errors.Is(err, fireflypath.ErrUnknown))
		e, err := s.Get(ctx, "k")
		is.NoErr(err)
		is.Equal(string(e.Value), "v")
		is.Equal(f.Counts().Put, 1)
	})
}

// The service is down, over its rate limit, or was restored with older data. If a refusal
// were reported as an unknown outcome, the caller would wait for a write that never
// happens.
func TestStoreRejectsCalls(t *testing.T) {
	testBothStores(t, fake.Config{Rate: 4}, func(is *is.I, f *fake.Fake, s fireflypath.Store, clock *clockwork.FakeClock) {
		ctx := t.Context()
		is.NoErr(f.Fault(fault.Fault{Name: fault.Outage}))
		_, err := s.Put(ctx, "k", nil, 0, 0)
		is.True(errors.Is(err, fireflypath.ErrUnavailable))
		is.NoErr(f.Fault(fault.Fault{Name: fault.Clear}))
		is.NoErr(f.Fault(fault.Fault{Name: fault.TakeSnapshot}))
		for range 4 {
			_, err = s.Put(ctx, "k", nil, fireflypath.AnyRevision, 0)
			is.NoErr(err)
		}
		_, err = s.Put(ctx, "k", nil, fireflypath.AnyRevision, 0)
		is.True(errors.Is(err, fireflypath.ErrLimited))
		clock.Advance(time.Second)
		is.NoErr(f.Fault(fault.Fault{Name: fault.RestoreSnapshot}))
		_, err = s.Get(ctx, "k")
		is.True(errors.Is(err, fireflypath.ErrNotFound))
	})
}

// A network device loses track of the open connections. Calls on them get no response, and
// the next calls must succeed on new connections.
func TestClientReplacesSilentConnections(t *testing.T) {
	is := is.New(t)
	f, c := startClient(t, fake.Config{}, clockwork.NewRealClock())
	_, err := c.Put(t.Context(), "k", []byte("v"), 0, 0)
	is.NoErr(err)
	is.NoErr(f.Fault(fault.Fault{Name: fault.Silent}))
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err = c.Get(ctx, "k")
	is.True(errors.Is(err, fireflypath.ErrUnavailable))
	e, err := c.Get(t.Context(), "k")
	is.NoErr(err)
	is.Equal(string(e.Value), "v")
}

// The service cannot be reached at all. A write that was never sent must not be reported
// as an unknown outcome, because there is nothing to settle.
func TestClientDialRefused(t *testing.T) {
	is := is.New(t)
	f, c := startClient(t, fake.Config{}, clockwork.NewRealClock())
	is.NoErr(f.Fault(fault.Fault{Name: fault.Refuse}))
	_, err := c.Put(t.Context(), "k", []byte("v"), 0, 0)
	is.True(errors.Is(err, fireflypath.ErrUnavailable))
	is.NoErr(f.Fault(fault.Fault{Name: fault.Clear}))
	_, err = c.Put(t.Context(), "k", []byte("v"), 0, 0)
	is.NoErr(err)
}

func TestHostsLag(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f, c := startClient(t, fake.Config{Lag: 10 * time.Second}, clock)
	host := fireflypath.Host{Addr: "127.0.0.1:1", Domain: "a", State: fireflypath.HostLeaving}
	f.SetHosts(host)
	got, err := c.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(len(got), 0)
	clock.Advance(10 * time.Second)
	got, err = c.Hosts(t.Context())
	is.NoErr(err)
	is.Equal(got, []fireflypath.Host{host})
}
