package origins_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/origin"
	"github.com/fireflypath/fireflypath/internal/origins"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// lifetime is for how long a stream of the tests' route may come back.
const lifetime = 8 * time.Second

// fleet connects registries. Daemons that are down neither make nor take calls.
type fleet struct {
	t       *testing.T
	members []fireflypath.Member
	daemons map[string]*daemon

	mu   sync.Mutex
	down map[string]bool
}

// daemon is one daemon with its own view of the targets.
type daemon struct {
	*origins.Registry
	fleet    *fleet
	name     string
	handlers map[string]peer.Handler

	mu      sync.Mutex
	age     time.Duration
	config  *fireflypath.Config
	changed chan struct{}
}

func (f *fleet) Live() []fireflypath.Member { return f.members }

func (f *fleet) isDown(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[name]
}

func (f *fleet) daemon(name string) *daemon {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.daemons[name]
}

func (f *fleet) setDown(names ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, name := range names {
		f.down[name] = true
	}
}

func (d *daemon) Handle(method string, h peer.Handler) { d.handlers[method] = h }

func (d *daemon) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	if d.fleet.isDown(d.name) || d.fleet.isDown(to.Name) {
		<-ctx.Done()
		return ctx.Err()
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	time.Sleep(time.Millisecond)
	out, err := d.fleet.daemon(to.Name).handlers[method](ctx, d.name, b)
	if err != nil {
		return err
	}
	if b, err = json.Marshal(out); err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

func (d *daemon) ConfigAge() time.Duration { return d.Age() }

func (d *daemon) Age() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.age
}

func (d *daemon) Current() *fireflypath.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config
}

func (d *daemon) Changed(generation uint64) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config.Generation > generation {
		closed := make(chan struct{})
		close(closed)
		return closed
	}
	return d.changed
}

// setVersions sets the versions that the daemon sees in the pool.
func (d *daemon) setVersions(versions ...string) {
	cfg := &fireflypath.Config{
		Routes: []fireflypath.Route{{Resumable: true, Timeout: fireflypath.Duration(lifetime - 2*time.Second)}},
	}
	for i, v := range versions {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{Name: fmt.Sprint(i), Pool: "p", Version: v})
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.config != nil {
		cfg.Generation = d.config.Generation
	}
	cfg.Generation++
	d.config = cfg
	if d.changed != nil {
		close(d.changed)
	}
	d.changed = make(chan struct{})
}

func (d *daemon) setAge(age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.age = age
}

// start starts a daemon that sees the versions. A daemon that is started again has forgotten all.
func (f *fleet) start(ctx context.Context, name string, versions ...string) *daemon {
	d := &daemon{fleet: f, name: name, handlers: map[string]peer.Handler{}}
	d.setVersions(versions...)
	d.Registry = origins.New(origins.Deps{
		Self: name, Peers: d, Members: f, Configs: d, Freshness: d, Clock: clockwork.NewRealClock(), Scope: tally.NoopScope, Log: zap.NewNop(),
	})
	f.mu.Lock()
	f.daemons[name] = d
	delete(f.down, name)
	f.mu.Unlock()
	go d.Run(ctx)
	return d
}

// withFleet runs a test with six daemons in three failure domains that have seen v1 for longer than a
// stream lasts.
func withFleet(t *testing.T, test func(ctx context.Context, is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{t: t, daemons: map[string]*daemon{}, down: map[string]bool{}}
		for i := range 6 {
			f.members = append(f.members, fireflypath.Member{Name: fmt.Sprint("d", i), Domain: fmt.Sprint("z", i%3)})
		}
		for _, m := range f.members {
			f.start(ctx, m.Name, "v1")
		}
		time.Sleep(lifetime + time.Second)
		test(ctx, is.New(t), f)
		cancel()
		time.Sleep(time.Second) // calls that are under way end
		synctest.Wait()
	})
}

// seeAll has all daemons see the versions.
func (f *fleet) seeAll(versions ...string) {
	for _, d := range f.daemons {
		d.setVersions(versions...)
	}
	synctest.Wait()
}

var v1, v2 = origin.Origin{Pool: "p", Version: "v1"}, origin.Origin{Pool: "p", Version: "v2"}

// begin begins n streams at a daemon.
func begin(d *daemon, name string, n int, o origin.Origin) []origin.Key {
	var keys []origin.Key
	for i := range n {
		key := origin.KeyOf("red", fmt.Sprint(name, i))
		d.Began(key, o, true)
		keys = append(keys, key)
	}
	time.Sleep(50 * time.Millisecond)
	return keys
}

// found returns how many streams go on at a daemon, all of which have to be of the origin.
func found(ctx context.Context, is *is.I, d *daemon, keys []origin.Key, want origin.Origin) int {
	n := 0
	for _, key := range keys {
		if o, ok := d.Find(ctx, key, []string{"p"}); ok {
			is.Equal(o, want)
			n++
		}
	}
	return n
}

// Guards against streams that go on at another version, or nowhere, because the daemon that began them
// has ended, together with half of the others.
func TestOriginOutlivesDaemons(t *testing.T) {
	withFleet(t, func(ctx context.Context, is *is.I, f *fleet) {
		f.seeAll("v1", "v2")
		keys := begin(f.daemons["d0"], "s", 40, v2)
		is.Equal(found(ctx, is, f.daemons["d5"], keys, v2), len(keys)) // asks
		f.setDown("d0")
		is.Equal(found(ctx, is, f.daemons["d5"], keys, v2), len(keys))
		f.setDown("d1", "d2")
		is.True(found(ctx, is, f.daemons["d5"], keys, v2) > len(keys)/2)
		restarted := f.start(ctx, "d1", "v1", "v2")
		synctest.Wait()
		is.True(found(ctx, is, restarted, keys, v2) > len(keys)/2)
		is.Equal(found(ctx, is, restarted, []origin.Key{origin.KeyOf("red", "nobody's")}, v2), 0)
	})
}

// Guards against streams that were begun before there was a doubt and are refused, or go on elsewhere,
// after a second version has appeared.
func TestEarlierStreamsAreRecordedWhenVersionAppears(t *testing.T) {
	withFleet(t, func(ctx context.Context, is *is.I, f *fleet) {
		keys := begin(f.daemons["d0"], "s", 20, v1)
		is.Equal(found(ctx, is, f.daemons["d3"], keys, v1), len(keys)) // there is no other version
		f.seeAll("v1", "v2")
		time.Sleep(50 * time.Millisecond)
		f.setDown("d0")
		is.Equal(found(ctx, is, f.daemons["d3"], keys, v1), len(keys))
	})
}

// Guards against a daemon without peers, or with an old view, that takes the only version it knows for
// the one that began a stream.
func TestIsolatedDaemonGuessesNothing(t *testing.T) {
	withFleet(t, func(ctx context.Context, is *is.I, f *fleet) {
		cut := f.daemons["d5"]
		f.setDown("d5")
		cut.setAge(3 * time.Second)
		for _, d := range f.daemons {
			if d != cut {
				d.setVersions("v1", "v2")
			}
		}
		synctest.Wait()
		keys := begin(f.daemons["d0"], "s", 20, v2)
		is.Equal(found(ctx, is, cut, keys, v1), 0)
		own := begin(cut, "own", 20, v1)
		is.Equal(found(ctx, is, cut, own, v1), len(own)) // what it began itself it knows
	})
}

// Guards against streams that are refused because the daemon that began them has ended while the store was
// out of reach, so that no view was fresh.
func TestStreamsBegunWithOldViewsAreRecorded(t *testing.T) {
	withFleet(t, func(ctx context.Context, is *is.I, f *fleet) {
		for _, d := range f.daemons {
			d.setAge(3 * time.Second)
		}
		keys := begin(f.daemons["d0"], "s", 20, v1)
		f.setDown("d0")
		is.Equal(found(ctx, is, f.daemons["d3"], keys, v1), len(keys))
	})
}

// Guards against a fleet that refuses all resumed streams for a while after a daemon, or all, have
// started, although the service has one version.
func TestStreamsGoOnAfterStarts(t *testing.T) {
	withFleet(t, func(ctx context.Context, is *is.I, f *fleet) {
		keys := begin(f.daemons["d0"], "s", 20, v1)
		restarted := f.start(ctx, "d4", "v1")
		synctest.Wait()
		is.Equal(found(ctx, is, restarted, keys, v1), len(keys)) // the others have seen no other version
		for _, m := range f.members {
			f.start(ctx, m.Name, "v1")
		}
		synctest.Wait()
		is.Equal(found(ctx, is, f.daemons["d1"], keys, v1), 0) // nobody can know any longer
		keys = begin(f.daemons["d0"], "later", 20, v1)
		f.setDown("d0")
		is.Equal(found(ctx, is, f.daemons["d1"], keys, v1), len(keys))
	})
}

// Guards against a version that has gone and whose last streams go on at its successor.
func TestGoneVersionIsRemembered(t *testing.T) {
	withFleet(t, func(ctx context.Context, is *is.I, f *fleet) {
		keys := begin(f.daemons["d0"], "s", 20, v1)
		f.setDown("d0") // its records are lost
		f.seeAll("v2")
		is.Equal(found(ctx, is, f.daemons["d3"], keys, v1), 0)
		time.Sleep(lifetime + time.Second) // no stream of v1 can come back
		is.Equal(found(ctx, is, f.daemons["d3"], []origin.Key{origin.KeyOf("red", "new")}, v2), 1)
	})
}
