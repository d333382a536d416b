package follow_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

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

const (
	// fleetLimit is the propagation limit of the fleets below.
	fleetLimit = 5 * time.Second
	// messageLatency is the time that a message between two daemons takes, storeLatency that of
	// a call to the store.
	messageLatency = time.Millisecond
	storeLatency   = 4 * time.Millisecond
)

// sharedStore is the store of a fleet that runs in virtual time.
type sharedStore struct {
	mu       sync.Mutex
	entries  map[string]fireflypath.Entry
	revision uint64
	changed  chan struct{}
	// rejected holds the daemons that the store turns away.
	rejected map[string]bool
	calls    int
	// snapshots counts the reads of everything.
	snapshots int
}

func (s *sharedStore) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entries[key] = fireflypath.Entry{Key: key, Value: value, Revision: s.revision}
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeClient is the store as seen by one daemon.
type storeClient struct {
	*sharedStore
	name string
}

func (c storeClient) list(after uint64) (fireflypath.Listing, chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := fireflypath.Listing{Revision: c.revision}
	for _, e := range c.entries {
		if e.Revision > after {
			l.Entries = append(l.Entries, e)
		}
	}
	return l, c.changed
}

func (c storeClient) admit() error {
	time.Sleep(storeLatency)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls++
	if c.rejected[c.name] {
		return fireflypath.ErrUnavailable
	}
	return nil
}

func (c storeClient) Snapshot(context.Context, string) (fireflypath.Listing, error) {
	if err := c.admit(); err != nil {
		return fireflypath.Listing{}, err
	}
	l, _ := c.list(0)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshots++
	return l, nil
}

func (c storeClient) Follow(ctx context.Context, _ string, after uint64, wait time.Duration) (fireflypath.Listing, error) {
	if err := c.admit(); err != nil {
		return fireflypath.Listing{}, err
	}
	l, changed := c.list(after)
	if len(l.Entries) > 0 {
		return l, nil
	}
	select {
	case <-changed:
	case <-time.After(wait):
	case <-ctx.Done():
		return fireflypath.Listing{}, ctx.Err()
	}
	l, _ = c.list(after)
	return l, nil
}

// virtualFleet is a fleet of daemons that run in a synctest bubble.
type virtualFleet struct {
	clock   clockwork.Clock
	store   *sharedStore
	members staticMembers
	daemons map[string]*daemon
	// startedWithin is the time until all daemons had a view.
	startedWithin time.Duration

	mu       sync.Mutex
	methods  map[string]map[string]peer.Handler
	silent   map[string]bool
	bytes    map[string]int
	answered map[string]int
}

type virtualEndpoint struct {
	f    *virtualFleet
	name string
}

func (e virtualEndpoint) Handle(method string, h peer.Handler) {
	if e.f.methods[e.name] == nil {
		e.f.methods[e.name] = map[string]peer.Handler{}
	}
	e.f.methods[e.name][method] = h
}

func (e virtualEndpoint) Connected() []string { return nil }

func (e virtualEndpoint) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	time.Sleep(messageLatency)
	e.f.mu.Lock()
	lost, h := e.f.silent[to.Name] || e.f.silent[e.name], e.f.methods[to.Name][method]
	e.f.mu.Unlock()
	if lost {
		<-ctx.Done()
		return peer.ErrUnreachable
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := h(ctx, e.name, b)
	if err != nil {
		return err
	}
	if b, err = json.Marshal(out); err != nil {
		return err
	}
	e.f.mu.Lock()
	e.f.bytes[to.Name] += len(b)
	e.f.answered[to.Name]++
	e.f.mu.Unlock()
	time.Sleep(messageLatency)
	return json.Unmarshal(b, result)
}

const (
	// joinTime is how long daemons look for each other before they read anything, startTime when
	// all of them have read the store or another daemon.
	joinTime  = 2500 * time.Millisecond
	startTime = 8 * time.Second
)

// withVirtualFleet runs a test with n daemons in each of several failure domains. One in twenty
// hosts has a strong link.
func withVirtualFleet(t *testing.T, domains, n int, test func(is *is.I, f *virtualFleet)) {
	t.Helper()
	withVirtualFleetAfter(t, domains, n, func(*virtualFleet) {}, test)
}

// withVirtualFleetAfter calls prepare before the daemons start.
func withVirtualFleetAfter(t *testing.T, domains, n int, prepare func(*virtualFleet), test func(is *is.I, f *virtualFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &virtualFleet{
			clock:   clockwork.NewRealClock(),
			store:   &sharedStore{entries: map[string]fireflypath.Entry{}, changed: make(chan struct{}), rejected: map[string]bool{}},
			daemons: map[string]*daemon{}, methods: map[string]map[string]peer.Handler{}, silent: map[string]bool{},
			bytes: map[string]int{}, answered: map[string]int{},
		}
		for d := range domains {
			for i := range n {
				m := fireflypath.Member{Name: fmt.Sprintf("d%d-%04d", d, i), Domain: fmt.Sprint("domain-", d), CPU: 0.2, Link: 20}
				if i%20 == 7 {
					m.CPU, m.Link = 0.8, 200
				}
				f.members = append(f.members, m)
			}
		}
		f.store.put("targets/t1", []byte(`{"pool":"p"}`))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, m := range f.members {
			d := &daemon{name: m.Name}
			d.feed = follow.New(m.Name, m.Domain, fleetLimit, storeClient{f.store, m.Name}, virtualEndpoint{f, m.Name}, f.members, f.clock, tally.NoopScope, zap.NewNop())
			d.view = directory.New(d.feed, testkit.Codec{}, f.clock, &testkit.BootClock{Clock: f.clock}, tally.NoopScope, zap.NewNop())
			d.feed.Serve(d.view)
			d.feed.OnStart(func(context.Context) (int, error) {
				time.Sleep(joinTime)
				return n, nil
			})
			f.daemons[m.Name] = d
		}
		prepare(f)
		for _, d := range f.daemons {
			wg.Go(func() { _ = d.view.Run(ctx) })
		}
		f.startedWithin, _ = f.timeUntilAll(1)
		time.Sleep(max(0, startTime-f.startedWithin))
		test(is.New(t), f)
		cancel()
		wg.Wait()
	})
}

// timeUntilAll returns how long it takes until all daemons but the silent ones have a number of
// targets, and the greatest age of a view meanwhile.
func (f *virtualFleet) timeUntilAll(targets int) (took, oldest time.Duration) {
	startedAt := f.clock.Now()
	missing := func(d *daemon) bool { return len(d.view.Current().Targets) < targets }
	for f.clock.Since(startedAt) < time.Minute {
		done := true
		for name, d := range f.daemons {
			if f.silent[name] {
				continue
			}
			done = done && !missing(d)
			oldest = max(oldest, d.view.Age())
		}
		if done {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return f.clock.Since(startedAt), oldest
}

// cost returns what the busiest daemon answers a second, in calls and bytes, and the calls to the
// store a second.
func (f *virtualFleet) cost(during func()) (answered, bytes, calls float64) {
	f.mu.Lock()
	clear(f.answered)
	clear(f.bytes)
	f.mu.Unlock()
	f.store.mu.Lock()
	before := f.store.calls
	f.store.mu.Unlock()
	startedAt := f.clock.Now()
	during()
	seconds := f.clock.Since(startedAt).Seconds()
	f.mu.Lock()
	defer f.mu.Unlock()
	for name := range f.daemons {
		answered, bytes = max(answered, float64(f.answered[name])/seconds), max(bytes, float64(f.bytes[name])/seconds)
	}
	f.store.mu.Lock()
	defer f.store.mu.Unlock()
	return answered, bytes, float64(f.store.calls-before) / seconds
}

// A deployment of a thousand hosts adds thousands of targets a minute. The one watcher of a
// failure domain must not send each of them to hundreds of daemons: its link is full then, and
// changes reach callers many seconds late.
func TestBusiestDaemonServesFewFollowers(t *testing.T) {
	const small, large = 60, 960
	measure := func(n int) (answered, bytes, calls float64) {
		withVirtualFleet(t, 1, n, func(is *is.I, f *virtualFleet) {
			targets := 1
			answered, bytes, calls = f.cost(func() {
				for range 20 {
					targets++
					f.store.put(fmt.Sprintf("targets/t%d", targets), []byte(`{"pool":"p"}`))
					time.Sleep(200 * time.Millisecond)
				}
			})
			took, oldest := f.timeUntilAll(targets)
			t.Logf("%d daemons: busiest answers %.0f calls, %.0f bytes a second; %.1f calls to the store; all within %v, oldest view %v", n, answered, bytes, calls, took, oldest)
			is.True(took < time.Second)
		})
		return answered, bytes, calls
	}
	answeredSmall, bytesSmall, callsSmall := measure(small)
	answeredLarge, bytesLarge, callsLarge := measure(large)
	is := is.New(t)
	const growth = 4 * 1.5 // the square root of the growth of the fleet, and relays of unequal size
	is.True(answeredLarge/answeredSmall < growth)
	is.True(bytesLarge/bytesSmall < growth)
	is.True(callsLarge/callsSmall < 1.1) // one watcher at any size
}

// All hosts regain power at once. If each daemon reads everything from the store, the bytes grow
// with the square of the fleet and callers are refused until they have crossed the store's link.
func TestStartReadsStoreOncePerDomain(t *testing.T) {
	for _, n := range []int{40, 160, 640} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			withVirtualFleet(t, 2, n, func(is *is.I, f *virtualFleet) {
				is.Equal(f.store.snapshots, 2)
				is.True(f.startedWithin < joinTime+2*time.Second)
			})
		})
	}
}

// The watcher of a large domain does not come back after a loss of power, though its record is
// still there. The others must start without it.
func TestStartWithoutWatcher(t *testing.T) {
	withVirtualFleetAfter(t, 1, 100, func(f *virtualFleet) {
		for _, m := range f.members {
			f.silent[m.Name] = f.daemons[m.Name].feed.IsWatcher()
		}
	}, func(is *is.I, f *virtualFleet) {
		is.True(f.startedWithin < joinTime+6*time.Second)
	})
}

// The whole list of targets is sent compressed, page by page, and arrives complete.
func TestManyTargetsArePackedForManyFollowers(t *testing.T) {
	withVirtualFleet(t, 1, 40, func(is *is.I, f *virtualFleet) {
		const targets = 1000
		_, bytes, _ := f.cost(func() {
			f.store.mu.Lock()
			for i := range targets {
				f.store.revision++
				key := fmt.Sprintf("targets/target-%04d", i)
				value := fmt.Sprintf(`{"pool":"p","addr":"10.1.%d.%d:8000","version":"v1"}`, i/250, i%250)
				f.store.entries[key] = fireflypath.Entry{Key: key, Value: []byte(value), Revision: f.store.revision}
			}
			f.store.mu.Unlock()
			f.store.put("targets/last", []byte(`{"pool":"p"}`))
			took, _ := f.timeUntilAll(targets + 2)
			is.True(took < time.Second)
			time.Sleep(time.Second - took)
		})
		const followers, raw = 7 + 1, targets * 100
		is.True(bytes < followers*raw/2)
	})
}

// busiestFollower returns the daemon that has answered the most calls, watchers aside.
func (f *virtualFleet) busiestFollower() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.MaxFunc(f.members, func(a, b fireflypath.Member) int {
		return f.followerScore(a.Name) - f.followerScore(b.Name)
	}).Name
}

// followerScore returns the calls that a daemon has answered, or -1 for a watcher. The caller holds
// mu.
func (f *virtualFleet) followerScore(name string) int {
	if f.daemons[name].feed.IsWatcher() {
		return -1
	}
	return f.answered[name]
}

// A domain's watcher or a relay hangs while changes arrive. Its followers must get them from
// another daemon in time, without all of them reading from the store.
func TestFollowersSurviveSilentWatcherAndRelay(t *testing.T) {
	withVirtualFleet(t, 2, 150, func(is *is.I, f *virtualFleet) {
		var watcher string
		for name, d := range f.daemons {
			if d.feed.IsWatcher() {
				watcher = name
			}
		}
		busy := f.busiestFollower()
		_, _, calls := f.cost(func() {
			f.mu.Lock()
			f.silent[watcher], f.silent[busy] = true, true
			f.mu.Unlock()
			f.store.put("targets/t2", []byte(`{"pool":"p"}`))
			took, oldest := f.timeUntilAll(2)
			is.True(took < fleetLimit-time.Second)
			is.True(oldest < fleetLimit-time.Second) // revoked keys stop working in time
		})
		is.True(calls < 30) // of 300 daemons
	})
}

// The store turns a third of the daemons away, watchers among them, while the others reach it.
// Changes must reach all in time.
func TestChangesReachDaemonsThatStoreTurnsAway(t *testing.T) {
	withVirtualFleet(t, 3, 80, func(is *is.I, f *virtualFleet) {
		f.store.mu.Lock()
		watchers := 0
		for i, m := range f.members {
			if f.daemons[m.Name].feed.IsWatcher() {
				watchers++
				f.store.rejected[m.Name] = watchers < 3
				continue
			}
			f.store.rejected[m.Name] = i%3 == 0
		}
		f.store.mu.Unlock()
		for n := 2; n < 5; n++ {
			f.store.put(fmt.Sprint("targets/t", n), []byte(`{"pool":"p"}`))
			took, oldest := f.timeUntilAll(n)
			is.True(took < fleetLimit-time.Second)
			is.True(oldest < fleetLimit-time.Second)
			time.Sleep(3 * time.Second)
		}
	})
}
