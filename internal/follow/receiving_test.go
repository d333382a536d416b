package follow_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// The watcher's own link is slow: a large configuration takes longer to reach it than its
// view may be old. Its followers must wait for it. Otherwise, all of them would read the
// same configuration from the store over links that are as slow, and delay callers.
func TestFollowersWaitForWatcherThatReceivesLargeResponse(t *testing.T) {
	is := is.New(t)
	watcher, d, _, clock := newWatcherAndFollower(t)
	calls := d.store.calls
	watcher.store.arriving = true
	clock.Advance(1100 * time.Millisecond)
	is.NoErr(stepWhileHeld(t, clock, d)) // the watcher is receiving
	is.Equal(d.store.calls, calls)
	is.True(d.view.Age() > time.Second) // the view is not confirmed meanwhile

	watcher.store.putConfiguration(configuration(t, 2, 1400))
	watcher.store.responseTime = 1200 * time.Millisecond
	is.NoErr(watcher.view.Step(t.Context()))
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(d.view.Current().Version, uint64(2))
	is.Equal(d.store.calls, calls)
	is.True(d.view.Age() >= 1200*time.Millisecond) // as old as the watcher's request
}

// The store's response to the watcher never ends. Its followers must read from the store in
// time, or revoked keys would stay valid for too long.
func TestFollowersReadFromStoreIfWatcherKeepsReceiving(t *testing.T) {
	is := is.New(t)
	watcher, d, _, clock := newWatcherAndFollower(t)
	watcher.store.arriving = true
	start := clock.Now()
	d.store.putTarget("t2")
	clock.Advance(1200 * time.Millisecond)
	for d.targetNames() != "t1 t2" && clock.Since(start) < time.Minute {
		is.NoErr(stepWhileHeld(t, clock, d))
	}
	is.True(clock.Since(start) < slowLinkLimit-800*time.Millisecond) // the time that the store's response needs
}

// stepWhileHeld makes a step whose response is held while nothing changes.
func stepWhileHeld(t *testing.T, clock *clockwork.FakeClock, d *daemon) error {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- d.view.Step(t.Context()) }()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	waits := make(chan error, 1)
	go func() { waits <- clock.BlockUntilContext(ctx, 1) }()
	select {
	case err := <-done:
		return err
	case <-waits:
		clock.Advance(500 * time.Millisecond)
	}
	return <-done
}

// A daemon starts while its watcher is cut off from the store without having noticed it. The
// watcher's view is seconds old and would send work to targets that have left.
func TestStaleViewIsNotUsedForFirstRead(t *testing.T) {
	is := is.New(t)
	ds, _, clock := newDaemons(t)
	watcher, followers := findWatcher(t, ds)
	d := followers[0]
	is.NoErr(watcher.view.Step(t.Context()))
	watcher.store.arriving = true
	clock.Advance(3 * time.Second)
	d.store.putTarget("t2")
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(d.store.calls, 1)
	is.Equal(d.targetNames(), "t1 t2")
}

// A view becomes too old while a follower's call is held. The response must come within the
// wait that the follower gave, or the follower would take the watcher for dead.
func TestReceivingWatcherRespondsWithinRequestedWait(t *testing.T) {
	is := is.New(t)
	ds, n, clock := newDaemons(t)
	watcher, _ := findWatcher(t, ds)
	is.NoErr(watcher.view.Step(t.Context()))
	watcher.store.arriving = true
	clock.Advance(800 * time.Millisecond)
	done := make(chan error, 1)
	go func() {
		_, err := n.methods[watcher.name]["follow"](t.Context(), "d", json.RawMessage(`{"a":6,"w":500,"p":true}`))
		done <- err
	}()
	for _, pause := range []time.Duration{300 * time.Millisecond, 200 * time.Millisecond} {
		is.NoErr(clock.BlockUntilContext(t.Context(), 1))
		clock.Advance(pause)
	}
	waits := make(chan error, 1)
	go func() { waits <- clock.BlockUntilContext(t.Context(), 1) }()
	select {
	case err := <-done:
		is.NoErr(err)
	case <-waits:
		t.Fatal("the response is held for longer than requested")
	}
}
