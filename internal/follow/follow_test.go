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

// store holds entries; a watch returns at once.
type store struct {
	clock   *clockwork.FakeClock
	entries []fireflypath.Entry
	at      uint64
	err     error
	calls   int
	// held is for how long the last watch was to be held.
	held time.Duration
	// took is how long an answer to a watch takes; arriving is true while one comes in.
	took     time.Duration
	arriving bool
}

func (s *store) Arriving(time.Duration) bool { return s.arriving }

func (s *store) Snapshot(context.Context, string) (fireflypath.Listing, error) {
	s.calls++
	return fireflypath.Listing{Entries: s.entries, Revision: s.at}, s.err
}

func (s *store) Follow(_ context.Context, _ string, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	s.calls++
	s.held = wait
	s.clock.Advance(s.took)
	var l fireflypath.Listing
	for _, e := range s.entries {
		if e.Revision > after {
			l.Entries = append(l.Entries, e)
		}
	}
	l.Revision = s.at
	return l, s.err
}

func (s *store) put(name string) {
	s.at++
	s.entries = append(s.entries, fireflypath.Entry{Key: "targets/" + name, Value: []byte(`{"pool":"p"}`), Revision: s.at})
}

// network joins the feeds of several daemons; cut ones are not reached.
type network struct {
	clock *clockwork.FakeClock
	// methods are those of each daemon by name.
	methods map[string]map[string]peer.Handler
	cut     map[string]bool
	// rate is what each daemon's link carries, in bytes a second; 0 is no bound.
	rate float64
	// largest is the largest message that daemons take, in bytes.
	largest int
	// carried counts the bytes to each daemon.
	carried map[string]int
	// busy is until when a daemon's link carries what was sent to it before.
	busy map[string]time.Time
}

// deliver takes the time that the bytes need on the link of a daemon. Bytes that
// nobody waits for any more use the link like all others. The call was made with the
// given patience; what the other end took to answer is none of the link's time, and
// a busy machine would else decide the test.
func (n *network) deliver(patience time.Duration, to string, bytes int) error {
	if bytes > n.largest {
		return peer.ErrUnreachable
	}
	n.carried[to] += bytes
	if n.rate == 0 {
		return nil
	}
	now := n.clock.Now()
	end := n.busy[to]
	if end.Before(now) {
		end = now
	}
	end = end.Add(time.Duration(float64(bytes) / n.rate * float64(time.Second)))
	n.busy[to] = end
	if patience < end.Sub(now) {
		n.clock.Advance(patience)
		return context.DeadlineExceeded
	}
	n.clock.Advance(end.Sub(now))
	return nil
}

type port struct {
	n    *network
	name string
}

func (p port) Handle(method string, m peer.Handler) {
	if p.n.methods[p.name] == nil {
		p.n.methods[p.name] = map[string]peer.Handler{}
	}
	p.n.methods[p.name][method] = m
}

func (p port) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	patience := time.Hour
	if deadline, ok := ctx.Deadline(); ok {
		patience = time.Until(deadline)
	}
	if p.n.cut[to.Name] {
		return peer.ErrUnreachable
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := p.n.methods[to.Name][method](ctx, p.name, b)
	if err != nil {
		return err
	}
	b, err = json.Marshal(out)
	if err != nil {
		return err
	}
	if err := p.n.deliver(patience, p.name, len(b)); err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

type members []fireflypath.Member

func (m members) Live() []fireflypath.Member { return m }

type daemon struct {
	name  string
	store *store
	feed  *follow.Feed
	view  *directory.Directory
}

func (d *daemon) targets() string {
	var out []string
	for _, t := range d.view.Current().Targets {
		out = append(out, t.Name)
	}
	return strings.Join(out, " ")
}

// fleet makes three daemons of one domain.
func fleet(t *testing.T) ([]*daemon, *network, *clockwork.FakeClock) {
	t.Helper()
	return group(t, members{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}})
}

// group makes daemons that know each other; each has its own way to the store.
func group(t *testing.T, ms members) ([]*daemon, *network, *clockwork.FakeClock) {
	t.Helper()
	return groupIn(t, ms, slowForce)
}

// groupIn makes them where a change has the given time to be in force.
func groupIn(t *testing.T, ms members, force time.Duration) ([]*daemon, *network, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	n := &network{
		clock: clock, methods: map[string]map[string]peer.Handler{}, cut: map[string]bool{},
		largest: 1 << 20, carried: map[string]int{}, busy: map[string]time.Time{},
	}
	shared := &store{clock: clock, at: 5}
	shared.put("t1")
	var ds []*daemon
	for _, m := range ms {
		own := *shared
		d := &daemon{name: m.Name, store: &own}
		d.feed = follow.New(m.Name, m.Domain, force, d.store, port{n, m.Name}, ms, clock, tally.NoopScope, zap.NewNop())
		d.view = directory.New(d.feed, testkit.Codec{}, clock, &testkit.Boot{Clock: clock}, tally.NoopScope, zap.NewNop())
		d.feed.Serve(d.view)
		ds = append(ds, d)
	}
	return ds, n, clock
}

// Two of three daemons never ask the store while the third watches it, and they
// learn what changed and how old it is.
func TestFollowersAskTheWatcher(t *testing.T) {
	is := is.New(t)
	ds, n, clock := fleet(t)
	watcher, rest := split(t, ds)
	is.NoErr(watcher.view.Step(t.Context()))
	for _, d := range rest {
		d.store.err = errors.New("not to be asked")
		n.cut[d.name] = true
	}
	for _, d := range rest {
		is.NoErr(d.view.Step(t.Context()))
		is.Equal(d.targets(), "t1")
	}
	watcher.store.put("t2")
	is.NoErr(watcher.view.Step(t.Context()))
	for _, d := range rest {
		is.NoErr(d.view.Step(t.Context()))
		is.Equal(d.targets(), "t1 t2")
	}
	clock.Advance(200 * time.Millisecond)
	before := rest[0].view.Age()
	watcher.store.put("t3")
	is.NoErr(watcher.view.Step(t.Context()))
	is.NoErr(rest[0].view.Step(t.Context()))
	is.True(rest[0].view.Age() < before)
	is.True(rest[0].view.Age() >= watcher.view.Age())
}

// The watcher is cut off from the store and does not know it yet. Its followers
// must not take its view for young: a key that was taken away would live on.
func TestOldViewOfAWatcherIsLeft(t *testing.T) {
	is := is.New(t)
	ds, _, clock := fleet(t)
	watcher, rest := split(t, ds)
	is.NoErr(watcher.view.Step(t.Context()))
	d := rest[0]
	is.NoErr(d.view.Step(t.Context()))
	clock.Advance(3 * time.Second)
	calls := d.store.calls
	d.store.put("t2")
	is.NoErr(d.view.Step(t.Context()))
	is.True(d.store.calls > calls) // asked the store itself
	is.Equal(d.targets(), "t1 t2")
}

// split finds the watcher.
func split(t *testing.T, ds []*daemon) (*daemon, []*daemon) {
	t.Helper()
	var watcher *daemon
	var rest []*daemon
	for _, d := range ds {
		if d.feed.Watches() {
			watcher = d
			continue
		}
		rest = append(rest, d)
	}
	if watcher == nil || len(rest) != 2 {
		t.Fatal("not one daemon watches")
	}
	return watcher, rest
}

// pair makes a group and gives the daemon that watches and one that follows it,
// both with all that there is.
func pair(t *testing.T) (watcher, d *daemon, n *network, clock *clockwork.FakeClock) {
	t.Helper()
	ds, n, clock := fleet(t)
	watcher, rest := split(t, ds)
	for _, o := range []*daemon{watcher, rest[0]} {
		if err := o.view.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	return watcher, rest[0], n, clock
}

// All daemons start at once and do not know each other yet: most take the wrong one
// for the watcher, which refuses. Each of them asked the store instead, several times
// in its first second, and the store turned calls away while all machines came back.
func TestYoungViewNeedsNoStore(t *testing.T) {
	is := is.New(t)
	watcher, d, n, clock := pair(t)
	n.cut[watcher.name] = true
	calls := d.store.calls
	d.store.put("t2")
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(d.store.calls, calls)
	clock.Advance(slowForce / 3)
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(d.store.calls, calls+1)
	is.Equal(d.targets(), "t1 t2")
}

// storeAnswer is what the store's own answer may take on a slow link, if it is large.
const storeAnswer = 850 * time.Millisecond

// The watcher was cut off from the store just before a change. However long the time
// for a change is, and however long watches are held for it, a follower finds out and
// has the change from the store in time, also where that takes long to send it.
func TestChangeIsInTimeThoughTheWatcherWasCutOff(t *testing.T) {
	for force, held := range map[time.Duration]time.Duration{
		2 * time.Second: 750 * time.Millisecond,
		3 * time.Second: 750 * time.Millisecond,
		4 * time.Second: 1500 * time.Millisecond,
		9 * time.Second: 1500 * time.Millisecond,
	} {
		t.Run(force.String(), func(t *testing.T) {
			is := is.New(t)
			ds, _, clock := groupIn(t, members{{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "x"}}, force)
			watcher, rest := split(t, ds)
			d := rest[0]
			is.NoErr(watcher.view.Step(t.Context()))
			is.NoErr(watcher.view.Step(t.Context()))
			is.Equal(watcher.store.held, held)
			is.NoErr(d.view.Step(t.Context()))
			start := clock.Now()
			d.store.put("t2")
			for d.targets() != "t1 t2" && clock.Since(start) < time.Minute {
				is.NoErr(waited(t, clock, d))
				clock.Advance(5 * time.Millisecond)
			}
			is.True(clock.Since(start) <= force-storeAnswer)
		})
	}
}

// waited makes a step; while its answer is held back, time passes.
func waited(t *testing.T, clock *clockwork.FakeClock, d *daemon) error {
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
