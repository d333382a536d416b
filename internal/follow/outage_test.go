package follow_test

import (
	"testing"
	"time"

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
func takeTurns(t *testing.T, d time.Duration, now func() time.Time, advance func(time.Duration), ds ...*daemon) {
	t.Helper()
	for end := now().Add(d); now().Before(end); advance(50 * time.Millisecond) {
		for _, d := range ds {
			_ = d.view.Step(t.Context())
		}
	}
}

// Guards against a target that is gone and gets work for longer than allowed: the daemon that watches the
// store was cut off from it, and its followers, which were not, wait with it for targets to register again.
func TestFollowerInTouchDropsTargetWithoutDelay(t *testing.T) {
	for name, outage := range map[string]struct {
		everywhere bool
		want       string
	}{
		"watcher cut off": {false, "t2"},
		"store down":      {true, "t1 t2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ds, _, clock := newDaemonsWithLimit(t, staticMembers{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}}, 2*time.Second)
			watcher, followers := findWatcher(t, ds)
			d := followers[0]
			for _, o := range []*daemon{watcher, d} {
				o.store.responseTime = 20 * time.Millisecond
				o.store.putTarget("t2")
			}
			takeTurns(t, time.Second, clock.Now, clock.Advance, watcher, d)
			is.Equal(d.targetNames(), "t1 t2")

			watcher.store.err = fireflypath.ErrUnavailable
			if outage.everywhere {
				d.store.err = fireflypath.ErrUnavailable
			}
			takeTurns(t, 3*time.Second, clock.Now, clock.Advance, watcher, d)
			watcher.store.err, d.store.err = nil, nil
			watcher.store.removeTarget("t1")
			d.store.removeTarget("t1")
			takeTurns(t, 400*time.Millisecond, clock.Now, clock.Advance, watcher, d)
			is.Equal(watcher.targetNames(), "t1 t2") // t1 may have to register again
			is.Equal(d.targetNames(), outage.want)
			takeTurns(t, directory.ReregistrationTime, clock.Now, clock.Advance, watcher, d)
			is.Equal(d.targetNames(), "t2")
		})
	}
}
