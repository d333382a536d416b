package directory_test

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// fakeFeed returns the responses that the test sets.
type fakeFeed struct {
	clock *clockwork.FakeClock
	// snapshot is the response to a read.
	snapshot fireflypath.Listing
	// changes is the response to a watch, which takes watchTime.
	changes   fireflypath.Listing
	watchTime time.Duration
	err       error
	reads     int
	watches   int
}

func (f *fakeFeed) Snapshot(context.Context, string) (fireflypath.Listing, error) {
	f.reads++
	return f.snapshot, f.err
}

func (f *fakeFeed) Follow(_ context.Context, _ string, _ uint64, wait time.Duration) (fireflypath.Listing, error) {
	took := f.watchTime
	if took == 0 {
		took = wait
	}
	f.watches++
	f.clock.Advance(took)
	return f.changes, f.err
}

func config(t *testing.T, version, revision uint64) fireflypath.Entry {
	t.Helper()
	b, err := json.Marshal(fireflypath.Config{Version: version})
	if err != nil {
		t.Fatal(err)
	}
	return fireflypath.Entry{Key: "config", Value: b, Revision: revision}
}

func target(name string, revision uint64) fireflypath.Entry {
	return fireflypath.Entry{Key: "targets/" + name, Value: []byte(`{"pool":"p","addr":"127.0.0.1:1"}`), Revision: revision}
}

func targetNames(cfg *fireflypath.Config) string {
	var out []string
	for _, t := range cfg.Targets {
		out = append(out, t.Name)
	}
	return strings.Join(out, " ")
}

// newDirectory returns a directory that has read the given entries.
func newDirectory(t *testing.T, all ...fireflypath.Entry) (*fakeFeed, *directory.Directory, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	f := &fakeFeed{clock: clock, snapshot: fireflypath.Listing{Entries: all, Revision: 10}}
	d := directory.New(f, testkit.Codec{}, clock, &testkit.BootClock{Clock: clock}, tally.NoopScope, zap.NewNop())
	if err := d.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f, d, clock
}

// A watch that ends without a change confirms the view only if the store's revision is that
// of the view. If any response confirmed it, the daemon would continue to accept revoked
// keys.
func TestWatchConfirmsViewOnlyAtCurrentRevision(t *testing.T) {
	is := is.New(t)
	f, d, clock := newDirectory(t, config(t, 1, 5), target("a", 6))
	clock.Advance(time.Second)
	is.Equal(d.Age(), time.Second)
	f.changes = fireflypath.Listing{Revision: 10}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.Age(), time.Duration(0))

	f.changes = fireflypath.Listing{Revision: 12}
	is.NoErr(d.Step(t.Context()))
	unconfirmed := d.Age()
	is.True(unconfirmed > 0) // a change that the watch missed confirms nothing

	f.snapshot = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 2, 12), target("a", 6)}, Revision: 12}
	is.NoErr(d.Step(t.Context()))
	is.Equal(f.reads, 2)
	is.Equal(d.Current().Version, uint64(2))
	is.True(d.Age() < unconfirmed)
}

// The store drops its history while a daemon watches. The daemon must read all keys again and
// remove the targets that have gone meanwhile.
func TestCompactedHistoryCausesFullRead(t *testing.T) {
	is := is.New(t)
	f, d, _ := newDirectory(t, config(t, 1, 5), target("a", 6), target("b", 7))
	is.Equal(targetNames(d.Current()), "a b")
	f.err = fireflypath.ErrCompacted
	is.NoErr(d.Step(t.Context()))
	f.err = nil
	f.snapshot = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 3, 14), target("b", 7)}, Revision: 15}
	is.NoErr(d.Step(t.Context()))
	is.Equal(targetNames(d.Current()), "b")
	is.Equal(d.Current().Version, uint64(3))
}

// A read returns an older state after a newer one was applied. Applying the older one would
// make a revoked key valid again.
func TestOlderConfigurationIsIgnored(t *testing.T) {
	is := is.New(t)
	f, d, _ := newDirectory(t, config(t, 4, 9))
	f.err = fireflypath.ErrCompacted
	is.NoErr(d.Step(t.Context()))
	f.err = nil
	f.snapshot = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 3, 8)}, Revision: 9}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.Current().Version, uint64(4))
}

// A malformed configuration is written. The last valid one must stay in force, and the daemon
// must continue to serve.
func TestMalformedConfigurationIsRejected(t *testing.T) {
	is := is.New(t)
	f, d, _ := newDirectory(t, config(t, 4, 9))
	f.changes = fireflypath.Listing{Revision: 11, Entries: []fireflypath.Entry{
		{Key: "config", Value: []byte("{"), Revision: 11},
	}}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.Current().Version, uint64(4))
	f.changes = fireflypath.Listing{Revision: 12, Entries: []fireflypath.Entry{config(t, 5, 12)}}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.Current().Version, uint64(5))
}

// Guards against keys that stay valid for as long as the configuration that takes them away cannot be
// decoded.
func TestRefusedConfigurationAgesTheOneInForce(t *testing.T) {
	is := is.New(t)
	f, d, clock := newDirectory(t, config(t, 4, 9))
	malformed := fireflypath.Entry{Key: "config", Value: []byte("{"), Revision: 11}
	f.changes = fireflypath.Listing{Revision: 11, Entries: []fireflypath.Entry{malformed}}
	is.NoErr(d.Step(t.Context()))
	clock.Advance(6 * time.Second)
	f.changes = fireflypath.Listing{Revision: 11}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.Age(), time.Duration(0)) // the targets are current
	is.True(d.ConfigAge() >= 6*time.Second)

	f.err = fireflypath.ErrCompacted // the same configuration is read once more
	is.NoErr(d.Step(t.Context()))
	f.err, f.snapshot = nil, fireflypath.Listing{Revision: 11, Entries: []fireflypath.Entry{malformed}}
	is.NoErr(d.Step(t.Context()))
	is.True(d.ConfigAge() >= 6*time.Second)

	f.changes = fireflypath.Listing{Revision: 12, Entries: []fireflypath.Entry{config(t, 5, 12)}}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.ConfigAge(), d.Age())
}

// Registrations lapse during an outage of the store although the targets are alive. The
// targets register again about two seconds after the outage. If they were removed at once,
// there would be no target for that time.
func TestLapsedRegistrationsAreKeptAfterOutage(t *testing.T) {
	is := is.New(t)
	f, d, clock := newDirectory(t, config(t, 1, 5), target("a", 6), target("b", 7))
	f.err = fireflypath.ErrUnavailable
	is.True(errors.Is(d.Step(t.Context()), fireflypath.ErrUnavailable))
	f.err = nil
	f.changes = fireflypath.Listing{Revision: 12, Entries: []fireflypath.Entry{
		{Key: "targets/a", Revision: 11, Deleted: true}, {Key: "targets/b", Revision: 12, Deleted: true},
	}}
	f.watchTime = time.Millisecond
	is.NoErr(d.Step(t.Context()))
	is.Equal(targetNames(d.Current()), "a b")
	f.changes = fireflypath.Listing{Revision: 13, Entries: []fireflypath.Entry{target("a", 13)}}
	is.NoErr(d.Step(t.Context()))
	clock.Advance(3 * time.Second)
	f.changes = fireflypath.Listing{Revision: 13}
	is.NoErr(d.Step(t.Context()))
	is.Equal(targetNames(d.Current()), "a")
}

// A target leaves without notice a second after an outage of the store. If its time to
// register again counted from its removal, it would get work for longer than the two seconds
// within which that must end.
func TestTargetThatLeavesAfterOutageIsRemovedInTime(t *testing.T) {
	is := is.New(t)
	f, d, clock := newDirectory(t, config(t, 1, 5), target("a", 6), target("b", 7))
	f.err = fireflypath.ErrUnavailable
	is.True(d.Step(t.Context()) != nil)
	f.err, f.watchTime = nil, time.Millisecond
	f.changes = fireflypath.Listing{Revision: 10}
	is.NoErr(d.Step(t.Context()))
	clock.Advance(1500 * time.Millisecond)
	removed := clock.Now()
	f.changes = fireflypath.Listing{Revision: 11, Entries: []fireflypath.Entry{{Key: "targets/b", Revision: 11, Deleted: true}}}
	is.NoErr(d.Step(t.Context()))
	f.changes = fireflypath.Listing{Revision: 11}
	f.watchTime = 300 * time.Millisecond
	for targetNames(d.Current()) != "a" {
		is.NoErr(d.Step(t.Context()))
		is.True(clock.Since(removed) < 1500*time.Millisecond)
	}
}

// A target leaves while the store is available and must get no more work at once.
func TestRemovedTargetIsDroppedAtOnce(t *testing.T) {
	is := is.New(t)
	f, d, _ := newDirectory(t, config(t, 1, 5), target("a", 6), target("b", 7))
	f.changes = fireflypath.Listing{Revision: 11, Entries: []fireflypath.Entry{{Key: "targets/b", Revision: 11, Deleted: true}}}
	is.NoErr(d.Step(t.Context()))
	is.Equal(targetNames(d.Current()), "a")
}

// A host is suspended for some seconds, which its monotonic clock does not count, or its wall
// clock jumps back. The view's age must include that time, or a key revoked meanwhile would
// still be valid.
func TestSuspendedTimeCountsTowardsAge(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	boot := &testkit.BootClock{Clock: clock}
	f := &fakeFeed{clock: clock, snapshot: fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5)}, Revision: 10}}
	d := directory.New(f, testkit.Codec{}, clock, boot, tally.NoopScope, zap.NewNop())
	is.NoErr(d.Step(t.Context()))
	boot.Suspended = 6 * time.Second
	is.Equal(d.Age(), 6*time.Second)
}

// registration returns the registration of a target with the given fields.
func registration(name string, revision uint64, t fireflypath.Target) fireflypath.Entry {
	t.Name = name
	b, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	return fireflypath.Entry{Key: "targets/" + name, Value: b, Revision: revision}
}

// applyChanges makes a watch return entries.
func applyChanges(t *testing.T, f *fakeFeed, d *directory.Directory, entries ...fireflypath.Entry) {
	t.Helper()
	f.changes = fireflypath.Listing{Entries: entries, Revision: entries[len(entries)-1].Revision}
	if err := d.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// Another program writes malformed data under a target's key. The target must get no work
// until it registers again, while the others keep theirs. The daemon must log this once,
// however often it reads the entry, or the lines would fill the log of every host.
func TestMalformedRegistrationRemovesTarget(t *testing.T) {
	is := is.New(t)
	core, seen := observer.New(zap.WarnLevel)
	clock := clockwork.NewFakeClock()
	f := &fakeFeed{clock: clock, snapshot: fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5), target("a", 6), target("b", 7)}, Revision: 10}}
	scope := tally.NewTestScope("", nil)
	d := directory.New(f, testkit.Codec{}, clock, &testkit.BootClock{Clock: clock}, scope, zap.New(core))
	is.NoErr(d.Step(t.Context()))
	garbage := fireflypath.Entry{Key: "targets/a", Value: []byte("\xff"), Revision: 11}
	applyChanges(t, f, d, garbage)
	is.Equal(targetNames(d.Current()), "b")
	f.snapshot = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5), garbage, target("b", 7)}, Revision: 12}
	f.err = fireflypath.ErrCompacted
	is.NoErr(d.Step(t.Context()))
	f.err = nil
	is.NoErr(d.Step(t.Context())) // reads all keys again
	is.Equal(f.reads, 2)
	is.Equal(targetNames(d.Current()), "b")
	is.Equal(seen.FilterMessage("registration is not used").Len(), 1)
	is.Equal(scope.Snapshot().Counters()["directory.unused_registrations+"].Value(), int64(1))
	applyChanges(t, f, d, target("a", 13))
	is.Equal(targetNames(d.Current()), "a b")
}

// A target crashes and restarts under its name. A delayed registration of the earlier
// incarnation reaches the store later. If it were applied, all requests would go to an
// address where nothing listens, until the target registers again.
func TestRegistrationOfEarlierIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	first := fireflypath.Target{Pool: "p", Addr: "127.0.0.1:1", Incarnation: 100}
	second := fireflypath.Target{Pool: "p", Addr: "127.0.0.1:2", Incarnation: 200}
	f, d, _ := newDirectory(t, config(t, 1, 5), registration("a", 6, first))
	applyChanges(t, f, d, registration("a", 11, second))
	is.Equal(d.Current().Targets[0].Incarnation, uint64(200))
	applyChanges(t, f, d, registration("a", 12, first))
	is.Equal(d.Current().Targets[0].Addr, "127.0.0.1:2")
	applyChanges(t, f, d, fireflypath.Entry{Key: "targets/a", Revision: 13, Deleted: true})
	applyChanges(t, f, d, registration("a", 14, first))
	is.Equal(targetNames(d.Current()), "") // also after the newer incarnation was removed
}

// A target's registration changes its pool or address under the same name, and two names
// share an address, as when a target starts where another one has just crashed. The last
// write of each key must apply.
func TestChangedRegistrationIsApplied(t *testing.T) {
	is := is.New(t)
	f, d, _ := newDirectory(t, config(t, 1, 5), registration("a", 6, fireflypath.Target{Pool: "p", Addr: "127.0.0.1:1"}))
	applyChanges(t, f, d, registration("a", 11, fireflypath.Target{Pool: "q", Addr: "127.0.0.1:2"}))
	is.Equal(d.Current().Targets, []fireflypath.Target{{Name: "a", Pool: "q", Addr: "127.0.0.1:2"}})
	applyChanges(t, f, d, registration("b", 12, fireflypath.Target{Pool: "q", Addr: "127.0.0.1:2"}))
	is.Equal(targetNames(d.Current()), "a b")
}

// A fleet starts, and each daemon writes its record next to the targets. Followers must not
// be woken for that: 60 of them polled again eight times a second.
func TestIrrelevantKeysDoNotWakeFollowers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d, _ := newDirectory(t, config(t, 1, 5))
		f.watchTime = 10 * time.Millisecond
		result := make(chan fireflypath.Listing, 1)
		go func() {
			l, err := d.WaitForChanges(t.Context(), directory.Wait{After: 10, Hold: 500 * time.Millisecond, MaxAge: time.Second})
			is.NoErr(err)
			result <- l
		}()
		synctest.Wait()
		record := fireflypath.Entry{Key: "members/x", Value: []byte("{}"), Revision: 11}
		f.changes = fireflypath.Listing{Entries: []fireflypath.Entry{record}, Revision: 11}
		is.NoErr(d.Step(t.Context()))
		synctest.Wait()
		is.Equal(len(result), 0)
		applyChanges(t, f, d, target("a", 12))
		l := <-result
		is.Equal(len(l.Entries), 1)
		is.Equal(l.Revision, uint64(12))
	})
}

// A daemon that starts reads all keys and knows no other daemon yet. If it watched the store at
// once, so would each of hundreds that start together, until each has found its watcher.
func TestFirstWatchIsDelayed(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := &fakeFeed{clock: clock, snapshot: fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5)}, Revision: 10}}
	f.changes = fireflypath.Listing{Revision: 10}
	d := directory.New(f, testkit.Codec{}, clock, &testkit.BootClock{Clock: clock}, tally.NoopScope, zap.NewNop())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	is.NoErr(clock.BlockUntilContext(ctx, 1))
	is.Equal(f.reads, 1)
	is.Equal(f.watches, 0)
	cancel()
	is.True(errors.Is(<-done, context.Canceled))
}

// The store drops its history while hundreds of daemons follow this one. They must continue
// with its view and learn about removals from the difference. Before, each of them read all
// keys again, most of them from the store, which refused their calls.
func TestCompactedHistoryIsHiddenFromFollowers(t *testing.T) {
	is := is.New(t)
	f, d, _ := newDirectory(t, config(t, 1, 5), target("a", 6), target("b", 7))
	applyChanges(t, f, d, target("c", 11))
	f.err = fireflypath.ErrCompacted
	is.NoErr(d.Step(t.Context()))
	l, err := d.WaitForChanges(t.Context(), directory.Wait{After: 10, MaxAge: time.Second})
	is.NoErr(err)
	is.Equal(len(l.Entries), 1) // as known before

	f.err = nil
	f.snapshot = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5), target("a", 6), target("e", 20)}, Revision: 21}
	is.NoErr(d.Step(t.Context()))
	l, err = d.WaitForChanges(t.Context(), directory.Wait{After: 11, MaxAge: time.Second})
	is.NoErr(err)
	is.Equal(l.Revision, uint64(21))
	var deleted, present []string
	for _, e := range l.Entries {
		if e.Deleted {
			deleted = append(deleted, e.Key)
		} else {
			present = append(present, e.Key)
		}
	}
	slices.Sort(deleted)
	is.Equal(deleted, []string{"targets/b", "targets/c"})
	is.Equal(present, []string{"targets/e"})
	all, err := d.WaitForChanges(t.Context(), directory.Wait{After: 0, MaxAge: time.Second})
	is.NoErr(err)
	is.Equal(len(all.Entries), 3)
}

// The records of the daemons are read along with everything else, so that a daemon that
// starts knows the others without a further call. Keys of others must not be among them.
func TestReadPassesRecords(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := &fakeFeed{clock: clock, snapshot: fireflypath.Listing{Revision: 10, Entries: []fireflypath.Entry{
		config(t, 1, 5), target("a", 6), {Key: "members/d1", Revision: 7}, {Key: "members/d2", Revision: 8}, {Key: "other/x", Revision: 9},
	}}}
	d := directory.New(f, testkit.Codec{}, clock, &testkit.BootClock{Clock: clock}, tally.NoopScope, zap.NewNop())
	var keys []string
	d.OnRead("members/", func(entries []fireflypath.Entry) {
		for _, e := range entries {
			keys = append(keys, e.Key)
		}
	})
	is.NoErr(d.Step(t.Context()))
	is.Equal(keys, []string{"members/d1", "members/d2"})
	is.Equal(targetNames(d.Current()), "a")
}
