package follow_test

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math/rand"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// slowLinkLimit is the propagation limit in a fleet with slow links.
const slowLinkLimit = 3 * time.Second

// defaultLimit is the propagation limit in other fleets.
const defaultLimit = 2 * time.Second

// slowLink is 10 Mbit/s in bytes a second, the bandwidth of small entry hosts.
const slowLink = 10e6 / 8

// configuration returns a configuration with a number of routes of about 180 bytes each.
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

func (s *fakeStore) putConfiguration(value []byte) {
	s.revision++
	s.entries = append(s.entries, fireflypath.Entry{Key: "config", Value: value, Revision: s.revision})
}

// beginEra makes the store one that was restored from an older copy.
func (s *fakeStore) beginEra(era uint64) {
	s.revision = fireflypath.NewRevision(era, s.revision)
	s.entries = slices.Clone(s.entries)
	for i := range s.entries {
		s.entries[i].Revision = fireflypath.NewRevision(era, s.entries[i].Revision)
	}
}

// stepUntilVersion steps a daemon and its watcher until the daemon has a version of the
// configuration, and returns how long that took. It gives up after a minute.
func stepUntilVersion(t *testing.T, n *fakeNetwork, watcher, d *daemon, version uint64) time.Duration {
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

// An operator adds some thousand routes. The watcher has a fast link, but its followers have
// slow links, on which the whole configuration takes longer than the timeout of a call. Each
// attempt timed out near its end, and the next one started over behind the bytes of the one
// before, so that none succeeded. As long as the configuration was large, these daemons used
// the one before and then were no longer ready. Reading from the store does not help because
// it uses the same links. The symptom was a saturated link and a configuration whose age
// kept rising.
func TestLargeConfigurationReachesSlowLinks(t *testing.T) {
	is := is.New(t)
	ds, n, _ := newDaemons(t)
	n.bandwidth = slowLink
	watcher, followers := findWatcher(t, ds)
	watcher.store.putConfiguration(configuration(t, 1, 40))
	is.NoErr(watcher.view.Step(t.Context()))
	for _, d := range followers {
		d.store.err = errors.New("response does not arrive in time")
		is.True(stepUntilVersion(t, n, watcher, d, 1) < defaultLimit)
	}
	for i, routes := range []int{1400, 2800, 4200, 5600} {
		version := uint64(i + 2)
		watcher.store.putConfiguration(configuration(t, version, routes))
		is.NoErr(watcher.view.Step(t.Context()))
		for _, d := range followers {
			took := stepUntilVersion(t, n, watcher, d, version)
			t.Logf("%d routes: %v", routes, took)
			is.True(took < defaultLimit)
			is.Equal(len(d.view.Current().Routes), routes)
		}
	}
}

// randomTeams returns a configuration with random keys, which compresses to some 30 bytes a
// team at best.
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

// A large configuration is being downloaded over a link of little bandwidth, and the store
// is unreachable. A target that leaves meanwhile must not get work until the download ends,
// as its requests would be aborted.
func TestTargetChangesApplyDuringLargeDownload(t *testing.T) {
	is := is.New(t)
	watcher, d, n, clock := newWatcherAndFollower(t)
	d.store.err = errors.New("store is unreachable")
	n.bandwidth = slowLink / 10
	watcher.store.putConfiguration(randomTeams(t, 2, 7000))
	watcher.store.putTarget("t2")
	is.NoErr(watcher.view.Step(t.Context()))
	start := clock.Now()
	for d.targetNames() != "t1 t2" && clock.Since(start) < time.Minute {
		_ = d.view.Step(t.Context())
	}
	is.True(clock.Since(start) < time.Second)
	is.Equal(d.view.Current().Version, uint64(0)) // still being downloaded
	is.True(d.view.Age() > 0)                     // and the view is not confirmed yet
	is.True(stepUntilVersion(t, n, watcher, d, 2) < 10*time.Second)
	is.Equal(len(d.view.Current().Teams), 7000)
}

// The watcher of a failure domain dies while followers download a large configuration from
// it. The download must resume from the next watcher without sending received parts again,
// and the change must be in force in time.
func TestDownloadResumesFromAnotherWatcher(t *testing.T) {
	is := is.New(t)
	ds, n, _ := newDaemonsOf(t, staticMembers{
		{Name: "a", Domain: "x"}, {Name: "b", Domain: "x"}, {Name: "c", Domain: "y"},
	})
	var watchers []*daemon
	var d *daemon
	for _, o := range ds {
		if o.feed.IsWatcher() {
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
		w.store.putConfiguration(value)
		is.NoErr(w.view.Step(t.Context()))
	}
	d.store.err = errors.New("store is unreachable")
	n.bandwidth = slowLink / 4
	is.NoErr(d.view.Step(t.Context())) // some of the parts
	is.Equal(d.view.Current().Version, uint64(0))
	before := n.bytesTo[d.name]
	is.True(before > 100<<10)
	near, watcher := watchers[0], watchers[1]
	if near.name == "c" {
		near, watcher = watcher, near
	}
	n.disconnected[near.name] = true
	is.True(stepUntilVersion(t, n, watcher, d, 2) < defaultLimit)
	whole := 7000 * 32 * 4 / 3 // the keys as encoded in parts
	is.True(n.bytesTo[d.name] < whole*3/2)
}

// The store loses its history while there are 3,000 targets, whose list is a megabyte. A
// daemon with a slow link must receive the list page by page, each within the timeout of a
// call, and must not read from the store.
func TestManyTargetsArePaged(t *testing.T) {
	is := is.New(t)
	watcher, d, n, _ := newWatcherAndFollower(t)
	n.bandwidth = slowLink
	n.maxMessageSize = 64 << 10
	const targets = 3000
	for i := range targets {
		watcher.store.putTarget(fmt.Sprintf("target-%04d-%0200d", i, i))
	}
	is.NoErr(watcher.view.Step(t.Context()))
	calls := d.store.calls
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(len(d.view.Current().Targets), targets+1)
	is.Equal(d.store.calls, calls)
}

// During a rolling upgrade, daemons of two versions run side by side. A follower that does
// not download large values separately must get them inline. Otherwise, it would take the
// listing as complete and miss the configuration.
func TestOlderVersionFollowersGetLargeValuesInline(t *testing.T) {
	is := is.New(t)
	ds, n, _ := newDaemons(t)
	watcher, _ := findWatcher(t, ds)
	value := configuration(t, 2, 1400)
	watcher.store.putConfiguration(value)
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

// Changes come faster than a follower polls: its version is no longer cached by the
// watcher, so that it gets the newest version without a base.
func TestFollowerMissesManyVersions(t *testing.T) {
	is := is.New(t)
	ds, n, _ := newDaemons(t)
	watcher, followers := findWatcher(t, ds)
	d := followers[0]
	n.bandwidth = slowLink
	watcher.store.putConfiguration(configuration(t, 1, 1400))
	is.NoErr(watcher.view.Step(t.Context()))
	is.True(stepUntilVersion(t, n, watcher, d, 1) < defaultLimit)
	for version := uint64(2); version < 8; version++ {
		watcher.store.putConfiguration(configuration(t, version, 1400+int(version)))
		is.NoErr(watcher.view.Step(t.Context()))
	}
	is.True(stepUntilVersion(t, n, watcher, d, 7) < defaultLimit)
	is.Equal(len(d.view.Current().Routes), 1407)
}

// Guards against a daemon that starts after a restore and serves what was revoked, because the newer
// configuration of its peers is large or its link slow.
func TestStartAfterRestoreAwaitsLargeConfiguration(t *testing.T) {
	is := is.New(t)
	ds, n, clock := newDaemons(t)
	watcher, followers := findWatcher(t, ds)
	d := followers[0]
	d.store.putConfiguration(configuration(t, 1, 40))
	d.store.beginEra(1)
	watcher.store.putTarget("t2")
	watcher.store.putConfiguration(randomTeams(t, 2, 8_000))
	is.NoErr(watcher.view.Step(t.Context()))
	clock.Advance(3 * time.Second) // the peers' views are older than an outage of the store
	n.bandwidth = slowLink / 2
	d.feed.OnRecords(func([]fireflypath.Entry) {})
	is.NoErr(d.view.Step(t.Context()))
	is.Equal(d.view.Current().Version, uint64(2))
	is.Equal(d.targetNames(), "t1 t2")
}
