package record_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/record"
	"github.com/fireflypath/fireflypath/internal/record/draft"
)

func rec(id string, state fireflypath.State, candidates int) *fireflypath.Record {
	return &fireflypath.Record{
		ID: id, State: state.String(),
		Considered: make([]fireflypath.Candidate, candidates),
	}
}

func TestRingFindsAndLists(t *testing.T) {
	is := is.New(t)
	r := record.New(0)
	for i := range 5 {
		r.Keep(rec(fmt.Sprint("d1.", i), fireflypath.StateAnswered, 1))
	}
	r.Keep(rec("d1.shed", fireflypath.StateShed, 0))
	is.Equal(r.Find("d1.3").ID, "d1.3")
	is.Equal(r.Find("d1.nobody"), nil)
	var ids []string
	r.Each(func(r *fireflypath.Record) bool {
		ids = append(ids, r.ID)
		return len(ids) < 3
	})
	is.Equal(ids, []string{"d1.shed", "d1.4", "d1.3"})
}

// A burst of answered requests fills the memory for records. If it pushed out
// the refused ones, an operator who asks why a trader was shed a minute ago
// would read that nothing is known.
func TestRingAnsweredDoNotPushOutRefused(t *testing.T) {
	is := is.New(t)
	r := record.New(1 << 20)
	r.Keep(rec("d1.shed", fireflypath.StateShed, 12))
	for i := range 20_000 {
		r.Keep(rec(fmt.Sprint("d1.", i), fireflypath.StateAnswered, 12))
	}
	is.True(r.Dropped() > 0)
	is.True(r.Find("d1.shed") != nil)
	is.Equal(r.Find("d1.0"), nil)
	is.True(r.Find("d1.19999") != nil)
}

// Whatever is kept, the memory stays within the bound: candidates, sentences
// and repeated ids included.
func TestRingStaysWithinBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 256 << 10
		r := record.New(limit)
		n := rapid.IntRange(0, 600).Draw(t, "n")
		for range n {
			id := fmt.Sprint("d1.", rapid.IntRange(0, 300).Draw(t, "id"))
			r.Keep(rec(id, fireflypath.StateAnswered, rapid.IntRange(0, 40).Draw(t, "candidates")))
		}
		bytes := 0
		r.Each(func(r *fireflypath.Record) bool {
			bytes += 300 + 80*len(r.Considered)
			if len(r.Considered) > 16 {
				t.Fatalf("kept %d candidates", len(r.Considered))
			}
			return true
		})
		if bytes > limit {
			t.Fatalf("%d bytes kept of at most %d", bytes, limit)
		}
	})
}

func TestTrimKeepsChosenAndBest(t *testing.T) {
	is := is.New(t)
	r := record.New(0)
	k := rec("d1.a", fireflypath.StateAnswered, 0)
	k.Target = "e29"
	for i := range 30 {
		k.Considered = append(k.Considered, fireflypath.Candidate{
			Target: fmt.Sprint("e", i), Score: float64(i),
		})
	}
	r.Keep(k)
	got := r.Find("d1.a").Considered
	is.Equal(len(got), 16)
	is.Equal(got[0].Target, "e29")
	is.Equal(got[15].Target, "e14")
}

// The scheduler uses its slice of candidates again for the next request. If
// the record shared it, "why" would show another request's figures.
func TestDraftCopiesCandidates(t *testing.T) {
	is := is.New(t)
	r := record.New(0)
	now := time.Unix(1000, 0)
	p := fireflypath.Placement{Target: "e1", Considered: []fireflypath.Candidate{{Target: "e1", Held: 7}}}
	d := draft.New(r, &fireflypath.Work{ID: "d1.x", Team: "traders"}, 9)
	d.Placed(now, &p)
	d.Unsent()
	p.Considered[0].Held = 8
	d.Placed(now.Add(time.Second), &p)
	p.Considered[0].Held = 99
	d.First(now.Add(2 * time.Second))
	d.End(now.Add(3*time.Second), fireflypath.StateAnswered, 5, nil)
	got := r.Find("d1.x")
	is.Equal(got.Considered[0].Held, 8)
	is.Equal(got.Unsent, []string{"e1"})
	is.Equal(got.Target, "e1")
	is.Equal(got.Generation, uint64(9))
	is.Equal(got.State, "answered")
}

// Records of 12 considered targets are kept at a steady rate; the test prints
// how long one lives, and fails if a figure in OPERATORS.md is no longer held.
func TestRetention(t *testing.T) {
	is := is.New(t)
	r := record.New(0)
	for i := range 60_000 {
		r.Keep(rec(fmt.Sprintf("d1.01JE%022d", i), fireflypath.StateAnswered, 12))
	}
	n := 0
	r.Each(func(*fireflypath.Record) bool { n++; return true })
	t.Logf("%d answered records: %.1f s at 57/s, %.1f s at 2000/s", n, float64(n)/57, float64(n)/2000)
	is.True(n >= 4_700)
}

func BenchmarkKeep(b *testing.B) {
	considered := make([]fireflypath.Candidate, 12)
	for name, to := range map[string]fireflypath.Recorder{"on": record.New(0), "off": nil} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				w := &fireflypath.Work{ID: "d1.01JE0000000000000000000000", Team: "traders"}
				p := fireflypath.Placement{Target: "e1", Considered: considered}
				now := time.Unix(1000, 0)
				for pb.Next() {
					d := draft.New(to, w, 1)
					d.Placed(now, &p)
					d.First(now)
					d.End(now, fireflypath.StateAnswered, 5, nil)
				}
			})
		})
	}
}
