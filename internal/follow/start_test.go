package follow_test

import (
	"context"
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

// powerLossSpread is the time within which the hosts of a fleet start again after a power loss, as in
// the recorded day.
const powerLossSpread = 500 * time.Millisecond

// powerLoss describes how a fleet starts again.
type powerLoss struct {
	daemons, domains int
	// era is the era of the store.
	era uint64
	// watchersLast makes the watchers start after all others. lost daemons never start.
	watchersLast bool
	lost         func(d *daemon) bool
	// rejected daemons are turned away by the store. storeDelay is added to each of its answers.
	rejected   func(d *daemon) bool
	storeDelay time.Duration
	// started, if set, is called 5 s after the last start.
	started func(*virtualFleet)
}

// run starts the fleet and returns how long after its own start each daemon had a view, in order, and
// the number of calls to the store until a second after the last start.
func (p powerLoss) run(t *testing.T) (took []time.Duration, calls int) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &virtualFleet{
			clock:   clockwork.NewRealClock(),
			store:   &sharedStore{entries: map[string]fireflypath.Entry{}, changed: make(chan struct{}), rejected: map[string]bool{}},
			daemons: map[string]*daemon{}, methods: map[string]map[string]peer.Handler{}, silent: map[string]bool{},
			bytes: map[string]int{}, answered: map[string]int{},
		}
		f.store.revision = fireflypath.NewRevision(p.era, 1)
		for i := range p.daemons {
			f.members = append(f.members, fireflypath.Member{Name: fmt.Sprintf("d-%03d", i), Domain: fmt.Sprint("domain-", i%p.domains), CPU: 0.2, Link: 20})
		}
		f.store.put("targets/t1", []byte(`{"pool":"p"}`))
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for _, m := range f.members {
			d := &daemon{name: m.Name}
			d.feed = follow.New(m.Name, m.Domain, fleetLimit, slowStore{storeClient{f.store, m.Name}, p.storeDelay}, virtualEndpoint{f, m.Name}, f.members, f.clock, tally.NoopScope, zap.NewNop())
			d.view = directory.New(d.feed, testkit.Codec{}, f.clock, &testkit.BootClock{Clock: f.clock}, tally.NoopScope, zap.NewNop())
			d.feed.Serve(d.view)
			d.feed.OnStart(func(context.Context) (int, error) {
				time.Sleep(storeLatency)
				return p.daemons / p.domains, nil
			})
			d.feed.OnRecords(func([]fireflypath.Entry) {})
			f.daemons[m.Name], f.silent[m.Name] = d, true
			f.store.rejected[m.Name] = p.rejected != nil && p.rejected(d)
		}
		var mu sync.Mutex
		for i, m := range f.members {
			d := f.daemons[m.Name]
			if p.lost != nil && p.lost(d) {
				continue
			}
			at := time.Duration(i*37%p.daemons) * powerLossSpread / time.Duration(p.daemons)
			if p.watchersLast && d.feed.IsWatcher() {
				at = powerLossSpread
			}
			wg.Go(func() {
				time.Sleep(at)
				startedAt := time.Now()
				f.mu.Lock()
				f.silent[m.Name] = false
				f.mu.Unlock()
				wg.Go(func() { _ = d.view.Run(ctx) })
				select {
				case <-d.view.Changed(0):
				case <-time.After(time.Minute):
				}
				mu.Lock()
				defer mu.Unlock()
				took = append(took, time.Since(startedAt))
			})
		}
		time.Sleep(powerLossSpread + time.Second)
		f.store.mu.Lock()
		calls = f.store.calls
		f.store.mu.Unlock()
		if p.started != nil {
			time.Sleep(4 * time.Second)
			p.started(f)
		}
		time.Sleep(time.Minute)
		cancel()
		wg.Wait()
	})
	slices.Sort(took)
	t.Logf("%d views: median %v, nine of ten %v, last %v; %d calls to the store", len(took), took[len(took)/2], took[len(took)*9/10], took[len(took)-1], calls)
	return took, calls
}

// slowStore is a store whose answers come later.
type slowStore struct {
	storeClient
	delay time.Duration
}

func (s slowStore) Snapshot(ctx context.Context, prefix string) (fireflypath.Listing, error) {
	time.Sleep(s.delay)
	return s.storeClient.Snapshot(ctx, prefix)
}

// Guards against a start after a power loss in which most daemons wait in vain for the one that they
// follow, and then for others that start as well, before they read the store: they refused callers for
// 0.43 s.
func TestViewSoonAfterPowerLoss(t *testing.T) {
	for _, n := range []int{73, 101} {
		for _, watchersLast := range []bool{false, true} {
			t.Run(fmt.Sprint(n, " watchers last ", watchersLast), func(t *testing.T) {
				is := is.New(t)
				took, calls := powerLoss{daemons: n, domains: 4, watchersLast: watchersLast}.run(t)
				is.Equal(len(took), n)
				is.True(took[n*9/10] < 60*time.Millisecond)
				is.True(took[n-1] < 100*time.Millisecond)
				is.True(calls <= n+4) // one read each, and those of the watchers
			})
		}
	}
}

// Guards against a daemon that does not start because the one that it follows never comes back, or half
// of the fleet.
func TestViewIfOthersStayDown(t *testing.T) {
	lost := map[string]func(d *daemon) bool{
		"watchers": func(d *daemon) bool { return d.feed.IsWatcher() },
		"half":     func(d *daemon) bool { return d.name[len(d.name)-1]%2 == 0 },
	}
	for name, lost := range lost {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			took, _ := powerLoss{daemons: 73, domains: 4, lost: lost, started: func(f *virtualFleet) {
				f.mu.Lock()
				defer f.mu.Unlock()
				for _, d := range f.daemons {
					if !f.silent[d.name] {
						is.True(d.view.Age() < fleetLimit)
					}
				}
			}}.run(t)
			is.True(took[len(took)-1] < 100*time.Millisecond)
		})
	}
}

// Guards against daemons that the store turns away and that wait, after one failed call, for the time
// for which a running daemon avoids a source.
func TestViewIfStoreTurnsSomeAway(t *testing.T) {
	is := is.New(t)
	took, _ := powerLoss{daemons: 73, domains: 4, rejected: func(d *daemon) bool {
		return d.name[len(d.name)-1] == '3'
	}}.run(t)
	is.Equal(len(took), 73)
	is.True(took[len(took)*8/10] < 60*time.Millisecond)
	is.True(took[len(took)-1] < 2*powerLossSpread) // their source starts within the spread
}

// Guards against a slow store that keeps daemons from using the view of those that have one.
func TestViewIfStoreIsSlow(t *testing.T) {
	is := is.New(t)
	const delay = 300 * time.Millisecond
	took, _ := powerLoss{daemons: 73, domains: 4, storeDelay: delay}.run(t)
	is.True(took[len(took)*9/10] < delay+60*time.Millisecond)
}

// Guards against a start on a restored store that takes long because the daemons that are asked for
// what they know start as well.
func TestViewIfStoreWasRestored(t *testing.T) {
	is := is.New(t)
	took, _ := powerLoss{daemons: 73, domains: 4, era: 1}.run(t)
	is.Equal(len(took), 73)
	is.True(took[len(took)-1] < time.Second)
}
