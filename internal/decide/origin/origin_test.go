package origin_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/origin"
)

var start = time.Unix(1000, 0)

// Guards against a guess: where nobody can know at which version a stream began, it must not go on.
func TestInferGuessesNothing(t *testing.T) {
	v1, v2 := origin.Origin{Pool: "p", Version: "v1"}, origin.Origin{Pool: "p", Version: "v2"}
	found := func(o origin.Origin) origin.Evidence { return origin.Evidence{Found: true, Origin: o} }
	seen := func(complete bool, versions ...string) origin.Evidence {
		return origin.Evidence{Versions: versions, Complete: complete}
	}
	one, two := []string{"p"}, []string{"p", "q"}
	for _, c := range []struct {
		name  string
		pools []string
		all   []origin.Evidence
		want  origin.Origin
		ok    bool
	}{
		{"a record", one, []origin.Evidence{seen(true, "v1", "v2"), found(v2)}, v2, true},
		{"a record against the only version seen", one, []origin.Evidence{seen(true, "v1"), found(v2)}, v2, true},
		{"records that agree", one, []origin.Evidence{found(v1), found(v1)}, v1, true},
		{"records that differ", one, []origin.Evidence{found(v1), found(v2)}, origin.Origin{}, false},
		{"a daemon with records that differ", one, []origin.Evidence{found(v1), {Conflicting: true}}, origin.Origin{}, false},
		{"the only version", one, []origin.Evidence{seen(true, "v1"), seen(false, "v1")}, v1, true},
		{"two versions", one, []origin.Evidence{seen(true, "v1"), seen(true, "v1", "v2")}, origin.Origin{}, false},
		{"another version at a daemon that has just started", one, []origin.Evidence{seen(true, "v1"), seen(false, "v2")}, origin.Origin{}, false},
		{"only daemons that have just started", one, []origin.Evidence{seen(false, "v1"), seen(false, "v1")}, origin.Origin{}, false},
		{"no target", one, []origin.Evidence{seen(true)}, origin.Origin{}, false},
		{"two pools", two, []origin.Evidence{seen(true, "v1")}, origin.Origin{}, false},
		{"two pools, a record", two, []origin.Evidence{seen(true, "v1"), found(v1)}, v1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := origin.Infer(c.pools, c.all)
			is.Equal(ok, c.ok)
			is.Equal(got, c.want)
		})
	}
}

// Guards against records that stand for another stream: of another team, of two requests with one id, or
// of a target that brought no event.
func TestRecordsTellStreamsApart(t *testing.T) {
	is := is.New(t)
	var table origin.Table
	v1, v2 := origin.Origin{Pool: "p", Version: "v1"}, origin.Origin{Pool: "p", Version: "v2"}
	key := origin.KeyOf("red", "id-1")
	table.Record(start, key, "a", v1)
	is.Equal(table.Find(key), origin.Evidence{Found: true, Origin: v1})
	is.Equal(table.Find(origin.KeyOf("blue", "id-1")), origin.Evidence{})
	is.Equal(table.Find(origin.KeyOf("red", "")), origin.Evidence{})
	table.Record(start, key, "a", v2) // the first target gave up before the first event
	is.Equal(table.Find(key), origin.Evidence{Found: true, Origin: v2})
	table.Record(start, key, "b", v2) // another daemon goes on
	is.Equal(table.Find(key), origin.Evidence{Found: true, Origin: v2})
	table.Record(start, key, "c", v1)
	is.True(table.Find(key).Conflicting)
}

// Guards against records that fill the memory, and against those that are dropped while their stream is
// still resumed.
func TestRecordsEndWithTheirStreams(t *testing.T) {
	is := is.New(t)
	var table origin.Table
	o := origin.Origin{Pool: "p", Version: "v1"}
	old, renewed := origin.KeyOf("red", "old"), origin.KeyOf("red", "renewed")
	table.Record(start, old, "a", o)
	table.Record(start, renewed, "a", o)
	table.Record(start.Add(5*time.Second), renewed, "b", o)
	table.Prune(start.Add(3 * time.Second))
	is.True(!table.Find(old).Found)
	is.True(table.Find(renewed).Found)
	for i := range 1 << 17 {
		table.Record(start, origin.Key(i+1), "a", o)
	}
	kept := 0
	table.Each("p", "a", func(origin.Key, origin.Origin) { kept++ })
	is.True(kept <= 1<<16)
	is.True(kept > 1<<15)
}

func config(versions ...string) *fireflypath.Config {
	cfg := &fireflypath.Config{Generation: 1, Routes: []fireflypath.Route{{Resumable: true, Timeout: fireflypath.Duration(6 * time.Second)}}}
	for i, v := range versions {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{Name: fmt.Sprint(i), Pool: "p", Version: v})
	}
	return cfg
}

// Guards against a version that is taken for the only one while streams of another one may come back.
func TestHistoryCoversLifeOfStreams(t *testing.T) {
	is := is.New(t)
	h := origin.NewHistory()
	is.Equal(len(h.Observe(start, &fireflypath.Config{})), 0)
	is.True(!h.Complete(start.Add(time.Hour)))
	is.Equal(len(h.Observe(start, config("v1", "v1"))), 0)
	is.True(!h.Complete(start.Add(7 * time.Second)))
	is.True(h.Complete(start.Add(8 * time.Second)))
	now := start.Add(20 * time.Second)
	is.Equal(h.Observe(now, config("v1", "v2")), []string{"p"}) // from here records are needed
	is.Equal(len(h.Observe(now, config("v1", "v2", "v2"))), 0)
	h.Observe(now, config("v2", "v2")) // the last target of v1 has gone
	is.Equal(h.Versions(now.Add(7*time.Second), "p"), []string{"v1", "v2"})
	is.Equal(h.Versions(now.Add(9*time.Second), "p"), []string{"v2"})
	is.True(!h.Mixed(now.Add(9*time.Second), "p"))
}

// Guards against records that are lost with one failure domain, and against daemons that look for them
// elsewhere than where they are.
func TestHoldersAreFoundByAll(t *testing.T) {
	is := is.New(t)
	for _, n := range []int{2, 9, 370} {
		var members []fireflypath.Member
		for i := range n {
			members = append(members, fireflypath.Member{Name: fmt.Sprint("d", i), Domain: fmt.Sprint("z", i%3)})
		}
		for key := origin.Key(1); key < 200; key++ {
			from, at := members[int(key)%n], members[int(key*7+1)%n]
			holders := origin.Candidates(members, from.Name, key)
			holders = holders[:min(len(holders), origin.Copies(n))]
			is.True(len(holders) > 0)
			if n > 2 {
				is.True(holders[0].Domain != holders[1].Domain)
			}
			asked := map[string]bool{at.Name: true}
			for _, m := range origin.Candidates(members, at.Name, key) {
				asked[m.Name] = true
			}
			for _, m := range holders {
				is.True(asked[m.Name])
			}
		}
	}
}
