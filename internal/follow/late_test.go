package follow_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
)

// The watcher's own link is slow: a large configuration takes longer to reach it
// than its view may be old. Its followers wait for it. They would else all read the
// same from the store, over links as slow, and callers would wait behind that.
func TestFollowersWaitForALargeAnswerToTheirWatcher(t *testing.T) {
	is := is.New(t)
	watcher, d, _, clock := pair(t)
	calls := d.store.calls
	watcher.store.arriving = true
	clock.Advance(1100 * time.Millisecond)
	is.NoErr(held(t, clock, d)) // bytes arrive at the watcher
	is.Equal(d.store.calls, calls)
	is.True(d.view.Age() > time.Second) // nothing is proved meanwhile

	watcher.store.configure(configuration(t, 2, 1400))
	watcher.store.took = 1200 * time.Millisecond
	is.NoErr(watcher.view.Step(t.Context()))
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(d.view.Current().Version, uint64(2))
	is.Equal(d.store.calls, calls)
	is.True(d.view.Age() >= 1200*time.Millisecond) // as old as the watcher's question
}

// The store's answer to the watcher never ends. Its followers ask the store in time:
// keys that were taken away would else open routes for longer than they may.
func TestFollowersLeaveAWatcherThatIsLateForLong(t *testing.T) {
	is := is.New(t)
	watcher, d, _, clock := pair(t)
	watcher.store.arriving = true
	start := clock.Now()
	d.store.put("t2")
	clock.Advance(1200 * time.Millisecond)
	for d.targets() != "t1 t2" && clock.Since(start) < time.Minute {
		is.NoErr(held(t, clock, d))
	}
	is.True(clock.Since(start) < slowForce-800*time.Millisecond) // the store's answer needs that
}

// held makes a step whose answer is held back while nothing changes.
func held(t *testing.T, clock *clockwork.FakeClock, d *daemon) error {
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

// A daemon starts while its watcher is cut off from the store and does not know it
// yet. What the watcher knows is seconds old: work would go to targets that have left.
func TestOldViewIsNoStart(t *testing.T) {
	is := is.New(t)
	ds, _, clock := fleet(t)
	watcher, rest := split(t, ds)
	d := rest[0]
	is.NoErr(watcher.view.Step(t.Context()))
	watcher.store.arriving = true
	clock.Advance(3 * time.Second)
	d.store.put("t2")
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(d.store.calls, 1)
	is.Equal(d.targets(), "t1 t2")
}

// A view becomes too old while a follower's call is held back. The answer must come in
// the time that the follower gave: it would else take the watcher for gone.
func TestLateWatcherAnswersInTime(t *testing.T) {
	is := is.New(t)
	ds, n, clock := fleet(t)
	watcher, _ := split(t, ds)
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
		t.Fatal("the answer is held back for longer than asked")
	}
}
