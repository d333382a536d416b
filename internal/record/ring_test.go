package record_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/record"
	"github.com/fireflypath/fireflypath/internal/record/draft"
)

func newRecord(id string, state fireflypath.State, candidates int) *fireflypath.Record {
	return &fireflypath.Record{
		ID: id, State: state.String(),
		Considered: make([]fireflypath.Candidate, candidates),
	}
}

func TestRingFindsAndLists(t *testing.T) {
	is := is.New(t)
	r := record.New(0)
	for i := range 5 {
		r.Keep(newRecord(fmt.Sprint("d1.", i), fireflypath.StateAnswered, 1))
	}
	r.Keep(newRecord("d1.shed", fireflypath.StateShed, 0))
	is.Equal(r.Find("d1.3").ID, "d1.3")
	is.Equal(r.Find("d1.nobody"), nil)
	var ids []string
	r.Each(func(r *fireflypath.Record) bool {
		ids = append(ids, r.ID)
		return len(ids) < 3
	})
	is.Equal(ids, []string{"d1.shed", "d1.4", "d1.3"})
}

// A burst of answered requests must not evict the records of refused ones: operators ask why a
// request was refused a minute ago.
func TestRingAnsweredDoNotEvictRefused(t *testing.T) {
	is := is.New(t)
	r := record.New(1 << 20)
	r.Keep(newRecord("d1.shed", fireflypath.StateShed, 12))
	for i := range 20_000 {
		r.Keep(newRecord(fmt.Sprint("d1.", i), fireflypath.StateAnswered, 12))
	}
	is.True(r.Dropped() > 0)
	is.True(r.Find("d1.shed") != nil)
	is.Equal(r.Find("d1.0"), nil)
	is.True(r.Find("d1.19999") != nil)
}

// Stores random records, with and without candidates, with repeated ids and past the buffer's
// wrap-around. Memory stays within the limit, and Find returns the record stored last for an id.
func TestRingStaysWithinBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 256 << 10
		r := record.New(limit)
		last := make(map[string]int)
		n := rapid.IntRange(0, 3000).Draw(t, "n")
		ids := rapid.IntRange(1, 2000).Draw(t, "ids")
		seed := rapid.Uint64().Draw(t, "seed")
		rnd := rand.New(rand.NewPCG(seed, seed))
		for i := range n {
			k := newRecord(fmt.Sprint("d1.", rnd.IntN(ids)), fireflypath.StateAnswered, rnd.IntN(40))
			k.Tokens = i
			last[k.ID] = i
			r.Keep(k)
			if i%100 != 0 {
				continue
			}
			if got := r.Find(k.ID); got == nil || got.Tokens != i || len(got.Considered) > 16 {
				t.Fatalf("stored %d, found %+v", i, got)
			}
		}
		if r.Bytes() > limit {
			t.Fatalf("%d bytes allocated, limit %d", r.Bytes(), limit)
		}
		newest := n
		r.Each(func(k *fireflypath.Record) bool {
			if k.Tokens >= newest {
				t.Fatalf("record %d listed after %d", k.Tokens, newest)
			}
			newest = k.Tokens
			if newest%50 != 0 {
				return true
			}
			if found := r.Find(k.ID); found == nil || found.Tokens != last[k.ID] {
				t.Fatalf("listed %s, found %+v", k.ID, found)
			}
			return true
		})
	})
}

func TestCodecKeepsAllFields(t *testing.T) {
	is := is.New(t)
	at := func(s int64) time.Time { return time.Unix(1_000_000+s, 5).UTC() }
	want := fireflypath.Record{
		ID: "d1.X", Team: "traders", Tier: "gold", Pool: "chat", Arrived: at(0), Deadline: at(2),
		Cost: fireflypath.Cost{Prompt: 3, MaxOutput: 4}, Generation: 5, Ahead: 6, Rule: "calm",
		Unsent: []string{"e1", "e2"}, Target: "e3", Dispatched: at(1), FirstOutput: at(3), Ended: at(4),
		Resumes: 7, Relief: "none", Tokens: 8, State: "failed",
		Considered: []fireflypath.Candidate{{
			Target: "e3", InFlight: 9, Reported: 10, Age: -1, Window: 11, CachedPrompt: 12, Score: 0.5, SkipReason: "slow",
		}},
		Refusal: &fireflypath.Refusal{
			Code: fireflypath.ReasonTarget, Tier: "gold", Detail: "cut", Run: fireflypath.RunUnknown,
			RetryAfter: time.Second, RetryMS: 1000, ID: "d1.X", Generation: 5,
		},
	}
	v := reflect.ValueOf(want)
	for i := range v.NumField() {
		is.True(!v.Field(i).IsZero()) // a new field must be added here and to codec.record
	}
	r := record.New(0)
	kept := want
	kept.Considered = slices.Clone(want.Considered)
	r.Keep(&kept)
	is.Equal(*r.Find("d1.X"), want)
}

func TestCandidateLimitKeepsChosenAndBest(t *testing.T) {
	is := is.New(t)
	r := record.New(0)
	k := newRecord("d1.a", fireflypath.StateAnswered, 0)
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

// The scheduler reuses its slice of candidates for the next request. If the record shared the
// slice, "why" would show the figures of another request.
func TestDraftCopiesCandidates(t *testing.T) {
	is := is.New(t)
	r := record.New(0)
	now := time.Unix(1000, 0)
	p := fireflypath.Placement{Target: "e1", Considered: []fireflypath.Candidate{{Target: "e1", InFlight: 7}}}
	d := draft.New(r, &fireflypath.Work{ID: "d1.x", Team: "traders"}, 9)
	d.Placed(now, &p)
	d.Unsent()
	p.Considered[0].InFlight = 8
	d.Placed(now.Add(time.Second), &p)
	p.Considered[0].InFlight = 99
	d.First(now.Add(2 * time.Second))
	d.End(now.Add(3*time.Second), fireflypath.StateAnswered, 5, nil)
	got := r.Find("d1.x")
	is.Equal(got.Considered[0].InFlight, 8)
	is.Equal(got.Unsent, []string{"e1"})
	is.Equal(got.Target, "e1")
	is.Equal(got.Generation, uint64(9))
	is.Equal(got.State, "answered")
}

// A refused request has no placement. Its record must contain the state of the targets: only that
// distinguishes a full pool from one without usable targets.
func TestDraftOfRefusedRequest(t *testing.T) {
	is := is.New(t)
	r := record.New(0)
	d := draft.New(r, &fireflypath.Work{ID: "d1.x", Cost: fireflypath.Cost{Prompt: 100}}, 9)
	d.Ahead(4)
	d.Refused([]fireflypath.TargetView{
		{Target: "e1", State: "ready", Window: 1000, Share: 0.5, InFlight: 450},
		{Target: "e2", State: "leaving", Window: 1000, Share: 0.5},
		{Target: "e3", State: "ready", Window: 1000, Share: 0.5, InFlight: 300},
	})
	d.End(time.Unix(1000, 0), fireflypath.StateShed, 0, &fireflypath.Refusal{Code: fireflypath.ReasonFull})
	got := r.Find("d1.x")
	is.Equal(got.Ahead, 4)
	is.Equal(got.Considered, []fireflypath.Candidate{
		{Target: "e1", InFlight: 450, Window: 500, SkipReason: "window full"},
		{Target: "e2", Window: 500, SkipReason: "leaving"},
		{Target: "e3", InFlight: 300, Window: 500},
	})
}

// Prints how long a record with 12 considered targets is kept at constant rates. Fails if fewer
// records are kept than OPERATORS.md states.
func TestRetention(t *testing.T) {
	is := is.New(t)
	r := record.New(0)
	for i := range 30_000 {
		r.Keep(typicalRecord(i))
	}
	n := 0
	r.Each(func(*fireflypath.Record) bool { n++; return true })
	t.Logf("%d answered records: %.1f s at 57/s, %.1f s at 2000/s", n, float64(n)/57, float64(n)/2000)
	is.True(n >= 16_000)
}

// typicalRecord returns the record of an answered request as current users send them, with 12
// considered targets and figures of the size seen in trials.
func typicalRecord(i int) *fireflypath.Record {
	at := time.Unix(1_700_000_000, 123_456_789)
	r := &fireflypath.Record{
		ID: fmt.Sprintf("d1.01JE%022d", i), Team: "traders", Tier: "gold", Pool: "chat",
		Arrived: at, Deadline: at.Add(5 * time.Second), Dispatched: at.Add(time.Millisecond),
		FirstOutput: at.Add(time.Second), Ended: at.Add(2 * time.Second), State: "answered", Target: "e03",
		Cost: fireflypath.Cost{Prompt: 900, MaxOutput: 256}, Tokens: 200, Generation: 1200, Ahead: 3,
	}
	for j := range 12 {
		r.Considered = append(r.Considered, fireflypath.Candidate{
			Target: fmt.Sprintf("e%02d", j), InFlight: 1200 + j, Reported: 3400, Age: 700 * time.Millisecond,
			Window: 8192, CachedPrompt: 640, Score: 0.25,
		})
	}
	return r
}

// BenchmarkKeep measures building and storing a record, in parallel on all cores.
func BenchmarkKeep(b *testing.B) {
	to := record.New(0)
	var n atomic.Uint64
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		k := typicalRecord(0)
		p := fireflypath.Placement{Target: k.Target, Considered: k.Considered}
		for pb.Next() {
			w := &fireflypath.Work{ID: "d1.01JE" + strconv.FormatUint(n.Add(1), 36), Team: k.Team, Arrived: k.Arrived}
			d := draft.New(to, w, 1)
			d.Placed(k.Dispatched, &p)
			d.First(k.FirstOutput)
			d.End(k.Ended, fireflypath.StateAnswered, 5, nil)
		}
	})
}
