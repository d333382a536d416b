package follow_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

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

// until steps a daemon until it has the version, and tells how long that took; it
// gives up after a minute.
func until(t *testing.T, n *network, d *daemon, version uint64) time.Duration {
	t.Helper()
	start := n.clock.Now()
	for d.view.Current().Version != version && n.clock.Since(start) < time.Minute {
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
		is.True(until(t, n, d, 1) < inForce)
	}
	for i, routes := range []int{1400, 2800, 4200, 5600} {
		version := uint64(i + 2)
		watcher.store.configure(configuration(t, version, routes))
		is.NoErr(watcher.view.Step(t.Context()))
		for _, d := range rest {
			took := until(t, n, d, version)
			t.Logf("%d routes: %v", routes, took)
			is.True(took < inForce)
			is.Equal(len(d.view.Current().Routes), routes)
		}
	}
}
