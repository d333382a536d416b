package follow_test

import (
	"context"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/follow"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// fakeStore holds entries. A watch returns at once.
type fakeStore struct {
	clock    *clockwork.FakeClock
	entries  []fireflypath.Entry
	revision uint64
	err      error
	calls    int
	// lastWait is the wait of the last watch.
	lastWait time.Duration
	// responseTime is how long a watch takes. arriving is true while a response is being
	// received.
	responseTime time.Duration
	arriving     bool
}

func (s *fakeStore) ReceivedWithin(time.Duration) bool { return s.arriving }

func (s *fakeStore) Snapshot(context.Context, string) (fireflypath.Listing, error) {
	s.calls++
	return fireflypath.Listing{Entries: s.entries, Revision: s.revision}, s.err
}

func (s *fakeStore) Follow(_ context.Context, _ string, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	s.calls++
	s.lastWait = wait
	s.clock.Advance(s.responseTime)
	var l fireflypath.Listing
	for _, e := range s.entries {
		if e.Revision > after {
			l.Entries = append(l.Entries, e)
		}
	}
	l.Revision = s.revision
	return l, s.err
}

func (s *fakeStore) putTarget(name string) {
	s.revision++
	s.entries = append(s.entries, fireflypath.Entry{Key: "targets/" + name, Value: []byte(`{"pool":"p"}`), Revision: s.revision})
}

// fakeNetwork connects the feeds of several daemons, except for the disconnected ones.
type fakeNetwork struct {
	clock *clockwork.FakeClock
	// methods holds the handlers of each daemon, by daemon and method.
	methods      map[string]map[string]peer.Handler
	disconnected map[string]bool
	// bandwidth is that of each daemon's link in bytes a second. 0 means unlimited.
	bandwidth float64
	// maxMessageSize is the size of the largest message that daemons accept, in bytes.
	maxMessageSize int
	// bytesTo counts the bytes sent to each daemon.
	bytesTo map[string]int
	// busyUntil is when the link of a daemon has carried what was sent to it before.
	busyUntil map[string]time.Time
}

// deliver advances the clock by the time that the bytes need on the link of a daemon. Bytes
// that nobody waits for any longer use the link too. timeout is the time left when the call
// was made: the time that the handler took is not counted, as a busy machine would otherwise
// decide the result of the test.
func (n *fakeNetwork) deliver(timeout time.Duration, to string, bytes int) error {
	if bytes > n.maxMessageSize {
		return peer.ErrUnreachable
	}
	n.bytesTo[to] += bytes
	if n.bandwidth == 0 {
		return nil
	}
	now := n.clock.Now()
	end := n.busyUntil[to]
	if end.Before(now) {
		end = now
	}
	end = end.Add(time.Duration(float64(bytes) / n.bandwidth * float64(time.Second)))
	n.busyUntil[to] = end
	if timeout < end.Sub(now) {
		n.clock.Advance(timeout)
		return context.DeadlineExceeded
	}
	n.clock.Advance(end.Sub(now))
	return nil
}

type fakeEndpoint struct {
	network *fakeNetwork
	name    string
}

func (e fakeEndpoint) Handle(method string, m peer.Handler) {
	if e.network.methods[e.name] == nil {
		e.network.methods[e.name] = map[string]peer.Handler{}
	}
	e.network.methods[e.name][method] = m
}

func (e fakeEndpoint) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	timeout := time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		timeout = time.Until(deadline)
	}
	if e.network.disconnected[to.Name] {
		return peer.ErrUnreachable
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := e.network.methods[to.Name][method](ctx, e.name, b)
	if err != nil {
		return err
	}
	b, err = json.Marshal(out)
	if err != nil {
		return err
	}
	if err := e.network.deliver(timeout, e.name, len(b)); err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

func (e fakeEndpoint) Connected() []string { return nil }

type staticMembers []fireflypath.Member

func (m staticMembers) Live() []fireflypath.Member { return m }

type daemon struct {
	name  string
	store *fakeStore
	feed  *follow.Feed
	view  *directory.Directory
}

func (d *daemon) targetNames() string {
	var out []string
	for _, t := range d.view.Current().Targets {
		out = append(out, t.Name)
	}
	return strings.Join(out, " ")
}

// newDaemons returns three daemons of one failure domain.
func newDaemons(t *testing.T) ([]*daemon, *fakeNetwork, *clockwork.FakeClock) {
	t.Helper()
	return newDaemonsOf(t, staticMembers{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}})
}

// newDaemonsOf returns daemons that know each other. Each has its own access to the store.
func newDaemonsOf(t *testing.T, ms staticMembers) ([]*daemon, *fakeNetwork, *clockwork.FakeClock) {
	t.Helper()
	return newDaemonsWithLimit(t, ms, slowLinkLimit)
}

// newDaemonsWithLimit returns daemons with the given propagation limit.
func newDaemonsWithLimit(t *testing.T, ms staticMembers, propagationLimit time.Duration) ([]*daemon, *fakeNetwork, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	n := &fakeNetwork{
		clock: clock, methods: map[string]map[string]peer.Handler{}, disconnected: map[string]bool{},
		maxMessageSize: 1 << 20, bytesTo: map[string]int{}, busyUntil: map[string]time.Time{},
	}
	shared := &fakeStore{clock: clock, revision: 5}
	shared.putTarget("t1")
	var ds []*daemon
	for _, m := range ms {
		own := *shared
		d := &daemon{name: m.Name, store: &own}
		d.feed = follow.New(m.Name, m.Domain, propagationLimit, d.store, fakeEndpoint{n, m.Name}, ms, clock, tally.NoopScope, zap.NewNop())
		d.view = directory.New(d.feed, testkit.Codec{}, clock, &testkit.BootClock{Clock: clock}, tally.NoopScope, zap.NewNop())
		d.feed.Serve(d.view)
		ds = append(ds, d)
	}
	return ds, n, clock
}

// While one of three daemons watches the store, the two others never call the store and
// still learn the changes and the age of the view.
func TestFollowersReadFromWatcher(t *testing.T) {
	is := is.New(t)
	ds, n, clock := newDaemons(t)
	watcher, followers := findWatcher(t, ds)
	is.NoErr(watcher.view.Step(t.Context()))
	for _, d := range followers {
		d.store.err = errors.New("must not be called")
		n.disconnected[d.name] = true
	}
	for _, d := range followers {
		is.NoErr(d.view.Step(t.Context()))
		is.Equal(d.targetNames(), "t1")
	}
	watcher.store.putTarget("t2")
	is.NoErr(watcher.view.Step(t.Context()))
	for _, d := range followers {
		is.NoErr(d.view.Step(t.Context()))
		is.Equal(d.targetNames(), "t1 t2")
	}
	clock.Advance(200 * time.Millisecond)
	before := followers[0].view.Age()
	watcher.store.putTarget("t3")
	is.NoErr(watcher.view.Step(t.Context()))
	is.NoErr(followers[0].view.Step(t.Context()))
	is.True(followers[0].view.Age() < before)
	is.True(followers[0].view.Age() >= watcher.view.Age())
}

// The watcher is cut off from the store without having noticed it. Its followers must not
// take its view for recent, or a revoked key would stay valid.
func TestStaleWatcherViewIsNotUsed(t *testing.T) {
	is := is.New(t)
	ds, _, clock := newDaemons(t)
	watcher, followers := findWatcher(t, ds)
	is.NoErr(watcher.view.Step(t.Context()))
	d := followers[0]
	is.NoErr(d.view.Step(t.Context()))
	clock.Advance(3 * time.Second)
	calls := d.store.calls
	d.store.putTarget("t2")
	is.NoErr(d.view.Step(t.Context()))
	is.True(d.store.calls > calls) // read from the store
	is.Equal(d.targetNames(), "t1 t2")
}

// Guards against a daemon whose listing never ends, because it repeats a page or always has another one:
// its follower reads until its memory is used up, and follows nothing meanwhile.
func TestListingWithoutEndIsGivenUp(t *testing.T) {
	for name, next := range map[string]func(revision uint64) uint64{
		"repeated page":     func(revision uint64) uint64 { return revision },
		"pages without end": func(revision uint64) uint64 { return revision + 1 },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			watcher, d, n, clock := newWatcherAndFollower(t)
			revision, pages := uint64(1000), 0
			n.methods[watcher.name]["follow"] = func(context.Context, string, json.RawMessage) (any, error) {
				if pages++; pages > 10_000 {
					return nil, errors.New("too many pages were asked for")
				}
				revision = next(revision)
				return map[string]any{"e": []fireflypath.Entry{{Key: "x", Revision: revision}}, "r": 1 << 20, "m": true}, nil
			}
			d.store.putTarget("t2")
			is.NoErr(d.view.Step(t.Context()))
			is.True(pages < 1000)
			clock.Advance(slowLinkLimit / 3)
			is.NoErr(d.view.Step(t.Context()))
			is.Equal(d.targetNames(), "t1 t2") // read from the store instead
		})
	}
}

// findWatcher returns the watcher and the two other daemons.
func findWatcher(t *testing.T, ds []*daemon) (*daemon, []*daemon) {
	t.Helper()
	var watcher *daemon
	var followers []*daemon
	for _, d := range ds {
		if d.feed.IsWatcher() {
			watcher = d
			continue
		}
		followers = append(followers, d)
	}
	if watcher == nil || len(followers) != 2 {
		t.Fatal("not exactly one daemon is a watcher")
	}
	return watcher, followers
}

// newWatcherAndFollower returns a watcher and one of its followers, both with a current
// view.
func newWatcherAndFollower(t *testing.T) (watcher, follower *daemon, n *fakeNetwork, clock *clockwork.FakeClock) {
	t.Helper()
	ds, n, clock := newDaemons(t)
	watcher, followers := findWatcher(t, ds)
	for _, o := range []*daemon{watcher, followers[0]} {
		if err := o.view.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return watcher, followers[0], n, clock
}

// Daemons that start at once do not know each other yet, and most take the wrong one for
// the watcher, which refuses them. When each of them then read from the store several times
// in its first second, the store refused calls while the whole fleet restarted.
func TestRecentViewDoesNotReadFromStore(t *testing.T) {
	is := is.New(t)
	watcher, d, n, clock := newWatcherAndFollower(t)
	n.disconnected[watcher.name] = true
	calls := d.store.calls
	d.store.putTarget("t2")
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(d.store.calls, calls)
	clock.Advance(slowLinkLimit / 3)
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(d.store.calls, calls+1)
	is.Equal(d.targetNames(), "t1 t2")
}

// slowStoreResponse is how long a large response of the store may take on a slow link.
const slowStoreResponse = 850 * time.Millisecond

// The watcher was cut off from the store just before a change. For every propagation limit
// and its watch timeout, a follower must notice that and read the change from the store in
// time, even if the store's response is slow.
func TestChangeAppliesInTimeIfWatcherLosesStore(t *testing.T) {
	for propagationLimit, watchTimeout := range map[time.Duration]time.Duration{
		2 * time.Second: 750 * time.Millisecond,
		3 * time.Second: 750 * time.Millisecond,
		4 * time.Second: 1500 * time.Millisecond,
		9 * time.Second: 1500 * time.Millisecond,
	} {
		t.Run(propagationLimit.String(), func(t *testing.T) {
			is := is.New(t)
			ds, _, clock := newDaemonsWithLimit(t, staticMembers{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}}, propagationLimit)
			watcher, followers := findWatcher(t, ds)
			d := followers[0]
			is.NoErr(watcher.view.Step(t.Context()))
			is.NoErr(watcher.view.Step(t.Context()))
			is.Equal(watcher.store.lastWait, watchTimeout)
			is.NoErr(d.view.Step(t.Context()))
			start := clock.Now()
			d.store.putTarget("t2")
			for d.targetNames() != "t1 t2" && clock.Since(start) < time.Minute {
				is.NoErr(stepWhileAdvancing(t, clock, d))
				clock.Advance(5 * time.Millisecond)
			}
			is.True(clock.Since(start) <= propagationLimit-slowStoreResponse)
		})
	}
}

// stepWhileAdvancing makes a step and advances the clock while the response is held.
func stepWhileAdvancing(t *testing.T, clock *clockwork.FakeClock, d *daemon) error {
	t.Helper()
	done := make(chan error, 1)
	go func() { done <- d.view.Step(t.Context()) }()
	for {
		ctx, cancel := context.WithCancel(t.Context())
		waits := make(chan error, 1)
		go func() { waits <- clock.BlockUntilContext(ctx, 1) }()
		select {
		case err := <-done:
			cancel()
			return err
		case <-waits:
			clock.Advance(10 * time.Millisecond)
		}
		cancel()
	}
}
