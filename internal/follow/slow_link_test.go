package follow_test

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// slowForce is the time that a change has in a fleet with slow links.
const slowForce = 3 * time.Second

// inForce is the time that a change may take to be in force everywhere.
const inForce = 2 * time.Second

// slowLink is 10 Mbit/s, what small entry hosts have, in bytes a second.
const slowLink = 10e6 / 8

// configuration makes one with so many routes, about 180 bytes each.
func configuration(t *testing.T, version uint64, routes int) []byte {
	t.Helper()
	cfg := fireflypath.Config{Version: version}
	for i := range routes {
		cfg.Routes = append(cfg.Routes, fireflypath.Route{
			Name: fmt.Sprintf("r-%08x", uint32(i)*2654435761), Host: "shop.example",
			Prefix: fmt.Sprintf("/%08x/", uint32(i)*2246822519), Repeat: fireflypath.RepeatSafe, Form: fireflypath.FormWhole,
			Attempts: 2, Timeout: fireflypath.Duration(12 * time.Second), Goal: fireflypath.Duration(800 * time.Millisecond),
			Split: []fireflypath.Split{{Pool: "p", Weight: 1}},
		})
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func (s *store) configure(value []byte) {
	s.at++
	s.entries = append(s.entries, fireflypath.Entry{Key: "config", Value: value, Revision: s.at})
}

// until steps a daemon, and the one that watches, until the first has the version,
// and tells how long that took; it gives up after a minute.
func until(t *testing.T, n *network, watcher, d *daemon, version uint64) time.Duration {
	t.Helper()
	start := n.clock.Now()
	for d.view.Current().Version != version && n.clock.Since(start) < time.Minute {
		if err := watcher.view.Step(t.Context()); err != nil {
			t.Fatal(err)
		}
		if d.view.Step(t.Context()) != nil {
			n.clock.Advance(50 * time.Millisecond)
		}
	}
	return n.clock.Since(start)
}

// An operator adds some thousand routes. The daemon that watches the store has a
// fast link and the configuration at once; the others have slow links, on which
// the whole of it takes longer than a daemon waited for any answer. Each attempt
// was given up near its end and the next one began anew behind the bytes of the
// last, so none ever succeeded: for as long as the configuration was large, these
// daemons routed by the one before and then lost their readiness. The store cannot
// help; to its followers' links it is as large. What showed the cause was a link
// that was full all the time beside a configuration whose age only rose.
func TestLargeConfigurationReachesSlowLinks(t *testing.T) {
	is := is.New(t)
	ds, n, _ := fleet(t)
	n.rate = slowLink
	watcher, rest := split(t, ds)
	watcher.store.configure(configuration(t, 1, 40))
	is.NoErr(watcher.view.Step(t.Context()))
	for _, d := range rest {
		d.store.err = errors.New("answer does not come in time")
		is.True(until(t, n, watcher, d, 1) < inForce)
	}
	for i, routes := range []int{1400, 2800, 4200, 5600} {
		version := uint64(i + 2)
		watcher.store.configure(configuration(t, version, routes))
		is.NoErr(watcher.view.Step(t.Context()))
		for _, d := range rest {
			took := until(t, n, watcher, d, version)
			t.Logf("%d routes: %v", routes, took)
			is.True(took < inForce)
			is.Equal(len(d.view.Current().Routes), routes)
		}
	}
}

// randomTeams is a configuration whose keys are random, so that it cannot be made
// small: some 30 bytes a team remain.
func randomTeams(t *testing.T, version uint64, teams int) []byte {
	t.Helper()
	r := rand.New(rand.NewSource(11))
	cfg := fireflypath.Config{Version: version}
	for i := range teams {
		hash := make([]byte, 32)
		r.Read(hash)
		cfg.Teams = append(cfg.Teams, fireflypath.Team{
			Name: fmt.Sprintf("t%d", i), Keys: []fireflypath.Key{{Hash: hex.EncodeToString(hash)}},
		})
	}
	b, err := json.Marshal(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// A large configuration is on its way over a link that carries little, and the
// store cannot be reached. A target that leaves meanwhile must not get work until
// the configuration is there: its callers would see their requests broken off.
func TestTargetsChangeWhileALargeConfigurationArrives(t *testing.T) {
	is := is.New(t)
	watcher, d, n, clock := pair(t)
	d.store.err = errors.New("store is away")
	n.rate = slowLink / 10
	watcher.store.configure(randomTeams(t, 2, 7000))
	watcher.store.put("t2")
	is.NoErr(watcher.view.Step(t.Context()))
	start := clock.Now()
	for d.targets() != "t1 t2" && clock.Since(start) < time.Minute {
		_ = d.view.Step(t.Context())
	}
	is.True(clock.Since(start) < time.Second)
	is.Equal(d.view.Current().Version, uint64(0)) // still on its way
	is.True(d.view.Age() > 0)                     // and the view proves nothing yet
	is.True(until(t, n, watcher, d, 2) < 10*time.Second)
	is.Equal(len(d.view.Current().Teams), 7000)
}

// The daemon that watches for a failure domain dies while it hands out a large
// configuration. The next one goes on where it stopped: what arrived already is not
// sent again, and the change is in force in time.
func TestAnotherWatcherGoesOnWithALargeConfiguration(t *testing.T) {
	is := is.New(t)
	ds, n, _ := group(t, members{
		{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "y"},
	})
	var watchers []*daemon
	var d *daemon
	for _, o := range ds {
		if o.feed.Watches() {
			watchers = append(watchers, o)
			continue
		}
		d = o
	}
	is.Equal(len(watchers), 2)
	for _, o := range ds {
		is.NoErr(o.view.Step(t.Context()))
	}
	value := randomTeams(t, 2, 7000)
	for _, w := range watchers {
		w.store.configure(value)
		is.NoErr(w.view.Step(t.Context()))
	}
	d.store.err = errors.New("store is away")
	n.rate = slowLink / 4
	is.NoErr(d.view.Step(t.Context())) // some of the parts
	is.Equal(d.view.Current().Version, uint64(0))
	before := n.carried[d.name]
	is.True(before > 100<<10)
	near, watcher := watchers[0], watchers[1]
	if near.name == "c" {
		near, watcher = watcher, near
	}
	n.cut[near.name] = true
	is.True(until(t, n, watcher, d, 2) < inForce)
	whole := 7000 * 32 * 4 / 3 // the keys in the form in which parts are sent
	is.True(n.carried[d.name] < whole*3/2)
}

// The store loses its history beside 3,000 targets. Their list is a megabyte: a
// daemon with a slow link gets it page by page, each in the time that any answer
// may take, and need not ask the store.
func TestManyTargetsComeInPages(t *testing.T) {
	is := is.New(t)
	watcher, d, n, _ := pair(t)
	n.rate = slowLink
	n.largest = 64 << 10
	const targets = 3000
	for i := range targets {
		watcher.store.put(fmt.Sprintf("target-%04d-%0200d", i, i))
	}
	is.NoErr(watcher.view.Step(t.Context()))
	calls := d.store.calls
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(len(d.view.Current().Targets), targets+1)
	is.Equal(d.store.calls, calls)
}

// Daemons of two versions run side by side while they are replaced one by one. One
// that does not know that large values are fetched by themselves must get them with
// the rest, or it would take the listing for whole and miss the configuration.
func TestOlderFollowersGetLargeValuesWithTheRest(t *testing.T) {
	is := is.New(t)
	ds, n, _ := fleet(t)
	watcher, _ := split(t, ds)
	value := configuration(t, 2, 1400)
	watcher.store.configure(value)
	is.NoErr(watcher.view.Step(t.Context()))
	out, err := n.methods[watcher.name]["follow"](t.Context(), "older", json.RawMessage(`{"a":0,"w":0}`))
	is.NoErr(err)
	b, err := json.Marshal(out)
	is.NoErr(err)
	var got struct {
		Entries []fireflypath.Entry `json:"e"`
	}
	is.NoErr(json.Unmarshal(b, &got))
	is.Equal(len(got.Entries), 2)
	is.Equal(string(got.Entries[1].Value), string(value))
}

// Changes come faster than a follower asks: its own version is not among those that
// the watcher keeps, and it gets the newest one by itself.
func TestFollowerThatMissedManyVersions(t *testing.T) {
	is := is.New(t)
	ds, n, _ := fleet(t)
	watcher, rest := split(t, ds)
	d := rest[0]
	n.rate = slowLink
	watcher.store.configure(configuration(t, 1, 1400))
	is.NoErr(watcher.view.Step(t.Context()))
	is.True(until(t, n, watcher, d, 1) < inForce)
	for version := uint64(2); version < 8; version++ {
		watcher.store.configure(configuration(t, version, 1400+int(version)))
		is.NoErr(watcher.view.Step(t.Context()))
	}
	is.True(until(t, n, watcher, d, 7) < inForce)
	is.Equal(len(d.view.Current().Routes), 1407)
}
