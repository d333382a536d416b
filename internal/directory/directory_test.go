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

// feed answers the next call as the test says.
type feed struct {
	clock *clockwork.FakeClock
	// all is the answer to a read.
	all fireflypath.Listing
	// changes is the answer to a watch; it takes took.
	changes fireflypath.Listing
	took    time.Duration
	err     error
	reads   int
	watches int
}

func (f *feed) Snapshot(context.Context, string) (fireflypath.Listing, error) {
	f.reads++
	return f.all, f.err
}

func (f *feed) Follow(_ context.Context, _ string, _ uint64, wait time.Duration) (fireflypath.Listing, error) {
	took := f.took
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

func names(cfg *fireflypath.Config) string {
	var out []string
	for _, t := range cfg.Targets {
		out = append(out, t.Name)
	}
	return strings.Join(out, " ")
}

// start reads all that there is.
func start(t *testing.T, all ...fireflypath.Entry) (*feed, *directory.Directory, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	f := &feed{clock: clock, all: fireflypath.Listing{Entries: all, Revision: 10}}
	d := directory.New(f, testkit.Codec{}, clock, &testkit.Boot{Clock: clock}, tally.NoopScope, zap.NewNop())
	if err := d.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f, d, clock
}

// A watch that ends without a change proves the view only if the store's
// revision is that of the view. A daemon that took any answer for a proof would
// go on with keys that were taken away.
func TestFreshnessNeedsTheStoresRevision(t *testing.T) {
	is := is.New(t)
	f, d, clock := start(t, config(t, 1, 5), target("a", 6))
	clock.Advance(time.Second)
	is.Equal(d.Age(), time.Second)
	f.changes = fireflypath.Listing{Revision: 10}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.Age(), time.Duration(0))

	f.changes = fireflypath.Listing{Revision: 12}
	is.NoErr(d.Step(t.Context()))
	unproved := d.Age()
	is.True(unproved > 0) // a change that the watch did not bring proves nothing

	f.all = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 2, 12), target("a", 6)}, Revision: 12}
	is.NoErr(d.Step(t.Context()))
	is.Equal(f.reads, 2)
	is.Equal(d.Current().Version, uint64(2))
	is.True(d.Age() < unproved)
}

// The store drops its history while a daemon watches. The daemon must read
// everything again, and end the targets that are gone meanwhile.
func TestLostHistoryIsReadAgain(t *testing.T) {
	is := is.New(t)
	f, d, _ := start(t, config(t, 1, 5), target("a", 6), target("b", 7))
	is.Equal(names(d.Current()), "a b")
	f.err = fireflypath.ErrCompacted
	is.NoErr(d.Step(t.Context()))
	f.err = nil
	f.all = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 3, 14), target("b", 7)}, Revision: 15}
	is.NoErr(d.Step(t.Context()))
	is.Equal(names(d.Current()), "b")
	is.Equal(d.Current().Version, uint64(3))
}

// A read that was answered by an older state comes after a newer one. Going back
// would bring a key to life again that was taken away.
func TestViewNeverGoesBack(t *testing.T) {
	is := is.New(t)
	f, d, _ := start(t, config(t, 4, 9))
	f.err = fireflypath.ErrCompacted
	is.NoErr(d.Step(t.Context()))
	f.err = nil
	f.all = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 3, 8)}, Revision: 9}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.Current().Version, uint64(4))
}

// A configuration that cannot be decoded is written. The last good one stays in
// force, and the daemon goes on serving.
func TestMalformedConfigurationIsRefused(t *testing.T) {
	is := is.New(t)
	f, d, _ := start(t, config(t, 4, 9))
	f.changes = fireflypath.Listing{Revision: 11, Entries: []fireflypath.Entry{
		{Key: "config", Value: []byte("{"), Revision: 11},
	}}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.Current().Version, uint64(4))
	f.changes = fireflypath.Listing{Revision: 12, Entries: []fireflypath.Entry{config(t, 5, 12)}}
	is.NoErr(d.Step(t.Context()))
	is.Equal(d.Current().Version, uint64(5))
}

// Registrations lapse while the store is away although the targets live. They
// are back about two seconds after its return; dropped at once, there would be
// no target left for that time.
func TestLapsedRegistrationsAreWaitedFor(t *testing.T) {
	is := is.New(t)
	f, d, clock := start(t, config(t, 1, 5), target("a", 6), target("b", 7))
	f.err = fireflypath.ErrUnavailable
	is.True(errors.Is(d.Step(t.Context()), fireflypath.ErrUnavailable))
	f.err = nil
	f.changes = fireflypath.Listing{Revision: 12, Entries: []fireflypath.Entry{
		{Key: "targets/a", Revision: 11, Deleted: true}, {Key: "targets/b", Revision: 12, Deleted: true},
	}}
	f.took = time.Millisecond
	is.NoErr(d.Step(t.Context()))
	is.Equal(names(d.Current()), "a b")
	f.changes = fireflypath.Listing{Revision: 13, Entries: []fireflypath.Entry{target("a", 13)}}
	is.NoErr(d.Step(t.Context()))
	clock.Advance(3 * time.Second)
	f.changes = fireflypath.Listing{Revision: 13}
	is.NoErr(d.Step(t.Context()))
	is.Equal(names(d.Current()), "a")
}

// A target leaves without a word a second after the store's return. If its time
// to come back counted from its removal, it would get work for longer than the
// two seconds in which that must end.
func TestTargetThatLeavesAfterTheReturnIsNotWaitedForAnew(t *testing.T) {
	is := is.New(t)
	f, d, clock := start(t, config(t, 1, 5), target("a", 6), target("b", 7))
	f.err = fireflypath.ErrUnavailable
	is.True(d.Step(t.Context()) != nil)
	f.err, f.took = nil, time.Millisecond
	f.changes = fireflypath.Listing{Revision: 10}
	is.NoErr(d.Step(t.Context()))
	clock.Advance(1500 * time.Millisecond)
	removed := clock.Now()
	f.changes = fireflypath.Listing{Revision: 11, Entries: []fireflypath.Entry{{Key: "targets/b", Revision: 11, Deleted: true}}}
	is.NoErr(d.Step(t.Context()))
	f.changes = fireflypath.Listing{Revision: 11}
	f.took = 300 * time.Millisecond
	for names(d.Current()) != "a" {
		is.NoErr(d.Step(t.Context()))
		is.True(clock.Since(removed) < 1500*time.Millisecond)
	}
}

// A target leaves while the store is well: it gets no more work at once.
func TestRemovedTargetIsGoneAtOnce(t *testing.T) {
	is := is.New(t)
	f, d, _ := start(t, config(t, 1, 5), target("a", 6), target("b", 7))
	f.changes = fireflypath.Listing{Revision: 11, Entries: []fireflypath.Entry{{Key: "targets/b", Revision: 11, Deleted: true}}}
	is.NoErr(d.Step(t.Context()))
	is.Equal(names(d.Current()), "a")
}

// A host is suspended for some seconds, which its steady clock does not count,
// or its time of day jumps back. The view's age must count them: else a key that
// was taken away meanwhile would still work.
func TestSuspendedTimeAgesTheView(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	asleep := &testkit.Boot{Clock: clock}
	f := &feed{clock: clock, all: fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5)}, Revision: 10}}
	d := directory.New(f, testkit.Codec{}, clock, asleep, tally.NoopScope, zap.NewNop())
	is.NoErr(d.Step(t.Context()))
	asleep.Suspended = 6 * time.Second
	is.Equal(d.Age(), 6*time.Second)
}

// register is a registration that says more of the target.
func register(name string, revision uint64, t fireflypath.Target) fireflypath.Entry {
	t.Name = name
	b, err := json.Marshal(t)
	if err != nil {
		panic(err)
	}
	return fireflypath.Entry{Key: "targets/" + name, Value: b, Revision: revision}
}

// change has the watch bring entries.
func change(t *testing.T, f *feed, d *directory.Directory, entries ...fireflypath.Entry) {
	t.Helper()
	f.changes = fireflypath.Listing{Entries: entries, Revision: entries[len(entries)-1].Revision}
	if err := d.Step(t.Context()); err != nil {
		t.Fatal(err)
	}
}

// Another program writes bytes under a target's key that nobody can read. The
// target gets no work until it writes again; the others keep theirs. The daemon
// says so once, however often it reads the entry: a line for each read would fill
// the log of every host.
func TestUnreadableRegistrationNamesNoTarget(t *testing.T) {
	is := is.New(t)
	core, seen := observer.New(zap.WarnLevel)
	clock := clockwork.NewFakeClock()
	f := &feed{clock: clock, all: fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5), target("a", 6), target("b", 7)}, Revision: 10}}
	scope := tally.NewTestScope("", nil)
	d := directory.New(f, testkit.Codec{}, clock, &testkit.Boot{Clock: clock}, scope, zap.New(core))
	is.NoErr(d.Step(t.Context()))
	garbage := fireflypath.Entry{Key: "targets/a", Value: []byte("\xff"), Revision: 11}
	change(t, f, d, garbage)
	is.Equal(names(d.Current()), "b")
	f.all = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5), garbage, target("b", 7)}, Revision: 12}
	f.err = fireflypath.ErrCompacted
	is.NoErr(d.Step(t.Context()))
	f.err = nil
	is.NoErr(d.Step(t.Context())) // everything is read again
	is.Equal(f.reads, 2)
	is.Equal(names(d.Current()), "b")
	is.Equal(seen.FilterMessage("registration is not used").Len(), 1)
	is.Equal(scope.Snapshot().Counters()["directory.unused_registrations+"].Value(), int64(1))
	change(t, f, d, target("a", 13))
	is.Equal(names(d.Current()), "a b")
}

// A target crashes and starts again under its name. A registration of the life
// before was held up and reaches the store later: taken over, all requests would
// go to an address where nobody listens, until the target writes again.
func TestRegistrationOfAnEarlierLifeChangesNothing(t *testing.T) {
	is := is.New(t)
	first := fireflypath.Target{Pool: "p", Addr: "127.0.0.1:1", Incarnation: 100}
	second := fireflypath.Target{Pool: "p", Addr: "127.0.0.1:2", Incarnation: 200}
	f, d, _ := start(t, config(t, 1, 5), register("a", 6, first))
	change(t, f, d, register("a", 11, second))
	is.Equal(d.Current().Targets[0].Incarnation, uint64(200))
	change(t, f, d, register("a", 12, first))
	is.Equal(d.Current().Targets[0].Addr, "127.0.0.1:2")
	change(t, f, d, fireflypath.Entry{Key: "targets/a", Revision: 13, Deleted: true})
	change(t, f, d, register("a", 14, first))
	is.Equal(names(d.Current()), "") // also when the newer life has gone meanwhile
}

// A target's registration changes its pool or its address under one name, and two
// names share an address, as when a target starts where another has just crashed.
// Each entry counts as it is written last.
func TestRegistrationsThatChange(t *testing.T) {
	is := is.New(t)
	f, d, _ := start(t, config(t, 1, 5), register("a", 6, fireflypath.Target{Pool: "p", Addr: "127.0.0.1:1"}))
	change(t, f, d, register("a", 11, fireflypath.Target{Pool: "q", Addr: "127.0.0.1:2"}))
	is.Equal(d.Current().Targets, []fireflypath.Target{{Name: "a", Pool: "q", Addr: "127.0.0.1:2"}})
	change(t, f, d, register("b", 12, fireflypath.Target{Pool: "q", Addr: "127.0.0.1:2"}))
	is.Equal(names(d.Current()), "a b")
}

// A fleet starts, and each daemon writes its record beside the targets. Those who
// follow this daemon are not woken for that: 60 of them asked again eight times a
// second.
func TestOtherKeysWakeNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f, d, _ := start(t, config(t, 1, 5))
		f.took = 10 * time.Millisecond
		told := make(chan fireflypath.Listing, 1)
		go func() {
			l, err := d.Since(t.Context(), 10, 500*time.Millisecond, time.Second)
			is.NoErr(err)
			told <- l
		}()
		synctest.Wait()
		record := fireflypath.Entry{Key: "members/x", Value: []byte("{}"), Revision: 11}
		f.changes = fireflypath.Listing{Entries: []fireflypath.Entry{record}, Revision: 11}
		is.NoErr(d.Step(t.Context()))
		synctest.Wait()
		is.Equal(len(told), 0)
		change(t, f, d, target("a", 12))
		l := <-told
		is.Equal(len(l.Entries), 1)
		is.Equal(l.Revision, uint64(12))
	})
}

// A daemon starts and reads everything. It knows no other daemon yet: if it watched the
// store at once, each of hundreds that start together would, until it has met the one
// that watches for it.
func TestStartDoesNotWatchAtOnce(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewFakeClock()
	f := &feed{clock: clock, all: fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5)}, Revision: 10}}
	f.changes = fireflypath.Listing{Revision: 10}
	d := directory.New(f, testkit.Codec{}, clock, &testkit.Boot{Clock: clock}, tally.NoopScope, zap.NewNop())
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

// The store drops its history while hundreds of daemons follow this one. They go on
// with what it knows, and learn what was removed meanwhile from the difference. Each of
// them read everything again, most from the store, which turned them away.
func TestLostHistoryIsNotLostToFollowers(t *testing.T) {
	is := is.New(t)
	f, d, _ := start(t, config(t, 1, 5), target("a", 6), target("b", 7))
	change(t, f, d, target("c", 11))
	f.err = fireflypath.ErrCompacted
	is.NoErr(d.Step(t.Context()))
	l, err := d.Since(t.Context(), 10, 0, time.Second)
	is.NoErr(err)
	is.Equal(len(l.Entries), 1) // what was known before

	f.err = nil
	f.all = fireflypath.Listing{Entries: []fireflypath.Entry{config(t, 1, 5), target("a", 6), target("e", 20)}, Revision: 21}
	is.NoErr(d.Step(t.Context()))
	l, err = d.Since(t.Context(), 11, 0, time.Second)
	is.NoErr(err)
	is.Equal(l.Revision, uint64(21))
	var gone, there []string
	for _, e := range l.Entries {
		if e.Deleted {
			gone = append(gone, e.Key)
		} else {
			there = append(there, e.Key)
		}
	}
	slices.Sort(gone)
	is.Equal(gone, []string{"targets/b", "targets/c"})
	is.Equal(there, []string{"targets/e"})
	all, err := d.Since(t.Context(), 0, 0, time.Second)
	is.NoErr(err)
	is.Equal(len(all.Entries), 3)
}
