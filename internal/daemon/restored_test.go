package daemon_test

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/platform/standin"
)

const (
	// activationTime is the time within which a change must be in force at all daemons.
	activationTime = 2 * time.Second
	// recordTime is how long after a restore a daemon's record may be missing from the store.
	recordTime = 8 * time.Second
	// burst is a number of requests at once that needs both sound targets, which work for soundDelay.
	burst      = 60
	soundDelay = 20 * time.Millisecond
)

// crashRoute returns a route of the tests' pool.
func crashRoute(name string) fireflypath.Route {
	return fireflypath.Route{
		Name: name, Host: crashHost, Prefix: "/" + name + "/", Form: fireflypath.FormWhole, Attempts: 2, Public: true,
		Repeat:  fireflypath.RepeatSafe,
		Timeout: fireflypath.Duration(5 * time.Second), Goal: fireflypath.Duration(time.Second),
		Split: []fireflypath.Split{{Pool: crashPool}},
	}
}

// configure writes a configuration with the routes.
func (s *crashCluster) configure(version uint64, names ...string) {
	var routes []fireflypath.Route
	for _, name := range names {
		routes = append(routes, crashRoute(name))
	}
	s.is.NoErr(s.store.PutConfig(version, routes, []fireflypath.Pool{{Name: crashPool}}, nil))
}

// statuses returns the status of a request to each daemon.
func (s *crashCluster) statuses(path string) []int {
	var out []int
	for d := range s.daemons {
		status, _ := s.send(d, fmt.Sprintf("%d-%d", d, time.Now().UnixNano()), path, "work")
		out = append(out, status)
	}
	return out
}

// awaitStatus waits until all daemons answer with the status, and returns how long that took.
func (s *crashCluster) awaitStatus(path string, status int) time.Duration {
	began := time.Now()
	for time.Since(began) < 10*time.Second {
		all := true
		for _, got := range s.statuses(path) {
			all = all && got == status
		}
		if all {
			break
		}
	}
	return time.Since(began)
}

// sendBurst sends requests to all daemons at once. All of them have to be served.
func (s *crashCluster) sendBurst(path string, n int) {
	var wg sync.WaitGroup
	var failed atomic.Int32
	for i := range n {
		wg.Go(func() {
			status, _ := s.send(i%len(s.daemons), fmt.Sprintf("%d-burst-%d", i%len(s.daemons), i), path, fmt.Sprint("burst ", i))
			if status != http.StatusOK {
				failed.Add(1)
			}
		})
	}
	wg.Wait()
	s.is.Equal(failed.Load(), int32(0))
}

// Guards against a store that comes back from an older copy: configurations, keys and leavings that
// daemons have seen are taken back, and later changes, which get the revisions of lost ones, are
// ignored or missed.
func TestRestoredStoreTakesNothingBack(t *testing.T) {
	t.Parallel()
	s := newCrashCluster(t, 0)
	stays := s.addNoticeTarget(t, "stays", soundDelay)
	leaving, gone := s.addNoticeTarget(t, "leaving", 0), s.addNoticeTarget(t, "gone", 0)
	s.configure(2, "old", "safe")
	s.awaitReady()
	s.is.True(s.awaitStatus("/old/x", http.StatusOK) < activationTime)
	backup := s.store.Copy()

	// What the copy lacks.
	for v := range 6 { // uses up revisions
		s.configure(uint64(3+v), "old", "safe", fmt.Sprint("extra", v))
	}
	s.configure(20, "safe", "new")
	young := s.addNoticeTarget(t, "young", soundDelay)
	reg := leaving.registration
	reg.Drained = true
	s.is.NoErr(s.store.PutTarget(reg))
	s.store.RemoveTarget("gone")
	s.is.True(s.awaitStatus("/new/x", http.StatusOK) < activationTime)
	s.is.True(s.awaitStatus("/old/x", http.StatusNotFound) < activationTime)
	time.Sleep(drainTime)
	known := time.Now()

	s.store.SetFault(standin.Fault{Down: true})
	time.Sleep(700 * time.Millisecond)
	s.store.Restore(backup)
	s.store.SetFault(standin.Fault{})
	check := func(d time.Duration) {
		t.Helper()
		for began := time.Now(); time.Since(began) < d; {
			for _, got := range s.statuses("/new/x") {
				s.is.Equal(got, http.StatusOK) // a route that was added stays
			}
			for _, got := range s.statuses("/old/x") {
				s.is.True(got != http.StatusOK) // a route that was removed stays so
			}
		}
	}
	check(300 * time.Millisecond)
	s.configure(20, "safe", "new") // is written again, as are the registrations
	s.is.NoErr(s.store.PutTarget(young.registration))
	s.is.NoErr(s.store.PutTarget(reg))
	check(700 * time.Millisecond)
	s.configure(21, "safe", "new", "newest") // its revision is one that the store gave out before
	s.is.True(s.awaitStatus("/newest/x", http.StatusOK) < activationTime)
	s.configure(22, "safe", "new")
	s.is.True(s.awaitStatus("/newest/x", http.StatusNotFound) < activationTime)
	check(2 * time.Second)
	s.is.Equal(len(leaving.received(known)), 0)
	s.is.Equal(len(gone.received(known)), 0)
	began := time.Now()
	s.sendBurst("/new/x", burst)
	for _, sound := range []*noticeTarget{stays, young} {
		s.is.True(len(sound.received(began)) >= burst/4) // half of its equal share
	}
	for time.Since(began) < recordTime && len(s.store.Keys(member.RecordPrefix)) < len(s.daemons) {
		time.Sleep(50 * time.Millisecond)
	}
	s.is.Equal(len(s.store.Keys(member.RecordPrefix)), len(s.daemons)) // a daemon that starts finds them
}

// Guards against a daemon that starts while the store lacks what the others have seen, and serves what
// has been revoked or removed.
func TestDaemonThatStartsAfterRestoreKnowsMore(t *testing.T) {
	for _, domain := range []string{"a", "b"} { // it follows another daemon, or reads the store itself
		for _, outage := range []time.Duration{0, 1500 * time.Millisecond} { // the others' views may be old
			for _, otherRoutes := range []int{0, 150} { // a large configuration comes in parts
				t.Run(fmt.Sprintf("domain %s, outage %v, %d routes", domain, outage, otherRoutes), func(t *testing.T) {
					t.Parallel()
					testStartAfterRestore(t, domain, outage, otherRoutes, true)
				})
			}
		}
	}
}

// Guards against a daemon that starts before the others have written their records to a restored store
// again, finds nobody to ask, and serves what has been revoked or removed.
func TestDaemonThatStartsBeforeRecordsAreRestoredKnowsMore(t *testing.T) {
	for _, domain := range []string{"a", "b"} {
		t.Run("domain "+domain, func(t *testing.T) {
			t.Parallel()
			testStartAfterRestore(t, domain, 0, 0, false)
		})
	}
}

func testStartAfterRestore(t *testing.T, domain string, outage time.Duration, otherRoutes int, hasRecords bool) {
	t.Helper()
	s := newCrashCluster(t, 0)
	s.addNoticeTarget(t, "stays", 0)
	gone := s.addNoticeTarget(t, "gone", 0)
	var others []string
	for i := range otherRoutes {
		others = append(others, fmt.Sprint("other", i))
	}
	s.configure(2, append(others, "old", "safe")...)
	s.awaitReady()
	s.is.True(s.awaitStatus("/old/x", http.StatusOK) < activationTime)
	time.Sleep(recordTime / 4) // the daemons have records
	backup := s.store.Copy()
	if !hasRecords {
		backup = backup.Without(member.RecordPrefix)
	}
	s.configure(3, append(others, "safe", "new")...)
	s.store.RemoveTarget("gone")
	s.is.True(s.awaitStatus("/new/x", http.StatusOK) < activationTime)
	time.Sleep(drainTime)
	known := time.Now()
	s.store.SetFault(standin.Fault{Down: true})
	time.Sleep(outage)
	s.store.Restore(backup)
	s.store.SetFault(standin.Fault{})
	s.startDaemon(t, domain)
	last := len(s.daemons) - 1
	served := 0
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		old, _ := s.send(last, fmt.Sprint("old", time.Now().UnixNano()), "/old/x", "work")
		s.is.True(old != http.StatusOK)
		if status, _ := s.send(last, fmt.Sprint("new", time.Now().UnixNano()), "/new/x", "work"); status == http.StatusOK {
			served++
		}
	}
	s.is.True(served > 0)
	s.is.Equal(len(gone.received(known)), 0)
}
