package follow_test

import (
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/directory"
)

// removeTarget records the removal of a target.
func (s *fakeStore) removeTarget(name string) {
	s.revision++
	s.entries = append(s.entries, fireflypath.Entry{Key: "targets/" + name, Revision: s.revision, Deleted: true})
}

// takeTurns lets daemons step in turn until the clock has advanced by a time. Errors are those of daemons
// that are cut off.
func takeTurns(t *testing.T, clock *clockwork.FakeClock, d time.Duration, ds ...*daemon) {
	t.Helper()
	for end := clock.Now().Add(d); clock.Now().Before(end); clock.Advance(50 * time.Millisecond) {
		for _, d := range ds {
			_ = stepWhileAdvancing(t, clock, d)
		}
	}
}

// newOutage returns a watcher that was cut off from the store for a time, alone or with its follower.
func newOutage(t *testing.T, outage time.Duration, everywhere bool) (watcher, follower *daemon, clock *clockwork.FakeClock) {
	t.Helper()
	ds, _, clock := newDaemonsWithLimit(t, staticMembers{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}}, 2*time.Second)
	watcher, followers := findWatcher(t, ds)
	follower = followers[0]
	for _, d := range []*daemon{watcher, follower} {
		d.store.responseTime = 20 * time.Millisecond
		d.store.putTarget("t2")
		if err := d.view.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	takeTurns(t, clock, time.Second, watcher, follower)
	watcher.store.err = fireflypath.ErrUnavailable
	if everywhere {
		follower.store.err = fireflypath.ErrUnavailable
	}
	takeTurns(t, clock, outage, watcher, follower)
	watcher.store.err, follower.store.err = nil, nil
	return watcher, follower, clock
}

// Guards against a target that is gone and gets work for longer than allowed: the daemon that watches the
// store was cut off from it, and its followers, which were not, wait with it for targets to register again.
func TestFollowerInTouchDropsTargetWithoutDelay(t *testing.T) {
	const (
		step      = 50 * time.Millisecond
		maxOutage = 5 * time.Second
		// allowed is the time for a change to reach a follower while the store is up.
		allowed = time.Second
	)
	for outage := step; outage <= maxOutage; outage += step {
		is := is.New(t)
		watcher, d, clock := newOutage(t, outage, false)
		takeTurns(t, clock, step, watcher, d)
		for _, o := range []*daemon{watcher, d} {
			o.store.removeTarget("t1")
		}
		removed := clock.Now()
		for d.targetNames() != "t2" {
			takeTurns(t, clock, step, watcher, d)
			is.True(clock.Since(removed) <= allowed)
		}
	}
}

// Guards against a bound on that wait that drops live targets whose registrations lapsed, because the store
// was down for all.
func TestFollowerKeepsTargetsAfterOutageOfStore(t *testing.T) {
	is := is.New(t)
	watcher, d, clock := newOutage(t, 3*time.Second, true)
	takeTurns(t, clock, 500*time.Millisecond, watcher, d)
	for _, o := range []*daemon{watcher, d} {
		o.store.removeTarget("t1")
	}
	takeTurns(t, clock, 500*time.Millisecond, watcher, d)
	is.Equal(d.targetNames(), "t1 t2")
	takeTurns(t, clock, 2*directory.ReregistrationTime, watcher, d) // the follower may notice the end late
	is.Equal(d.targetNames(), "t2")
}
