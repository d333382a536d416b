package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// peerSource is another registry asked without a network.
type peerSource struct {
	r     *Registry
	asked int
}

func (p *peerSource) Update(_ context.Context, have uint64) (Update, error) {
	return p.r.Update(have), nil
}

func (p *peerSource) Chunks(_ context.Context, ds []string) ([]json.RawMessage, error) {
	p.asked += len(ds)
	return p.r.Chunks(ds), nil
}

func bigConfig(n int) *fireflypath.Config {
	c := &fireflypath.Config{Tiers: []fireflypath.Tier{{Name: "trader"}}}
	for i := range n {
		c.Teams = append(c.Teams, fireflypath.Team{
			Name: fmt.Sprintf("team-%05d", i), Tiers: []string{"trader"}, Weight: 1 + i%9,
			Keys: []fireflypath.Key{{Hash: fmt.Sprintf("%064x", i)}},
		})
	}
	return c
}

// The letter's 29,000 teams do not fit in one value. A daemon that joins must
// get all of them, and a change of one team must move one chunk, not all.
func TestLargeConfiguration(t *testing.T) {
	is := is.New(t)
	store := newStore()
	clock := clockwork.NewRealClock()
	r1 := New(store, bigConfig(29_000), "d1", clock, tally.NoopScope, zap.NewNop())
	is.NoErr(r1.Poll(t.Context()))
	for _, e := range store.Snapshot() {
		is.True(len(e.Value) < fireflypath.MaxValue/4)
	}
	r2 := New(store, nil, "d2", clock, tally.NoopScope, zap.NewNop())
	src := &peerSource{r: r1}
	is.NoErr(r2.Pull(t.Context(), src))
	is.Equal(r2.Current(), r1.Current())
	// A list that grew chunk by chunk held a fifth more than its teams, for as
	// long as the daemon ran; an operator saw its memory above what he planned.
	is.True(cap(r2.Current().Teams) < 29_000*101/100)

	_, err := r1.Commit(t.Context(), fireflypath.Change{
		ID: "c1", Apply: func(old *fireflypath.Config) (*fireflypath.Config, error) {
			next := *old
			next.Teams = append([]fireflypath.Team(nil), old.Teams...)
			next.Teams[14_000].Weight = 77
			return &next, nil
		},
	})
	is.NoErr(err)
	src.asked = 0
	is.NoErr(r2.Pull(t.Context(), src))
	is.Equal(src.asked, 1)
	is.Equal(r2.Current().Teams[14_000].Weight, 77)
	diff, err := json.Marshal(r1.Update(1))
	is.NoErr(err)
	is.True(len(diff) < 500)
}

// The service comes back from an old copy. The accepted change must stay in
// force everywhere, and the service must get it back, so that the next change
// does not start from the old state.
func TestServiceBackWithOlderData(t *testing.T) {
	for _, wiped := range []bool{false, true} {
		t.Run(fmt.Sprint("wiped ", wiped), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore()
				r := newRegistry("d1", store)
				is.NoErr(r.Poll(t.Context()))
				old := store.Snapshot()
				if wiped {
					old = nil
				}
				_, err := r.Commit(t.Context(), addTeam("a", 0))
				is.NoErr(err)
				store.Restore(old)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_ = r.Run(ctx) // one watch that finds nothing, then the read that finds the old data
				is.Equal(teams(r.Current()), "a ")

				late := newRegistry("d2", store)
				is.NoErr(late.Poll(t.Context()))
				is.Equal(teams(late.Current()), "a ")
				_, err = late.Commit(t.Context(), addTeam("b", 0))
				is.NoErr(err)
				is.Equal(late.Generation(), uint64(3))
			})
		})
	}
}

// A daemon dies after it wrote its chunks and before it swapped the manifest.
// Nobody may see the change, and the chunks are removed after a while, but not
// those of a change that is being committed at that moment.
func TestHalfWrittenChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		r := newRegistry("d1", store)
		is.NoErr(r.Poll(t.Context()))
		before := len(store.Snapshot())
		store.SetFault(func(op, key string) testkit.Fault {
			if op == "put" && key == manifestKey {
				return testkit.Fault{Before: fireflypath.ErrUnavailable}
			}
			return testkit.Fault{}
		})
		_, err := r.Commit(t.Context(), addTeam("half", 0))
		is.True(errors.Is(err, fireflypath.ErrUnavailable))
		store.SetFault(nil)
		late := newRegistry("d2", store)
		is.NoErr(late.Poll(t.Context()))
		is.Equal(teams(late.Current()), "")
		is.Equal(len(store.Snapshot()), before+1)
		collect := func() {
			for range len(shards) + 1 {
				is.NoErr(late.CollectGarbage(t.Context()))
			}
		}
		collect()
		is.Equal(len(store.Snapshot()), before+1) // seen for the first time
		time.Sleep(collectGrace)
		collect()
		is.Equal(len(store.Snapshot()), before)
		_, err = late.Commit(t.Context(), addTeam("half", 0))
		is.NoErr(err)
	})
}

// The service is down when the daemon starts, and peers hold a generation. The
// daemon must take theirs and not its settings', which may be out of date.
func TestStartWhileServiceIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		r1 := newRegistry("d1", store)
		_, err := r1.Commit(t.Context(), addTeam("a", 0))
		is.NoErr(err)
		store.SetFault(func(string, string) testkit.Fault {
			return testkit.Fault{Before: fireflypath.ErrUnavailable}
		})
		r2 := newRegistry("d2", store)
		is.True(r2.Poll(t.Context()) != nil)
		is.Equal(r2.Generation(), uint64(0))
		is.NoErr(r2.Pull(t.Context(), &peerSource{r: r1}))
		is.Equal(teams(r2.Current()), "a ")
	})
}

// A chunk arrives torn or forged from a peer. It must not come into force.
func TestForgedChunkIsNotApplied(t *testing.T) {
	is := is.New(t)
	r1 := newRegistry("d1", newStore())
	_, err := r1.Commit(t.Context(), addTeam("a", 0))
	is.NoErr(err)
	r2 := newRegistry("d2", newStore())
	err = r2.Pull(t.Context(), forger{&peerSource{r: r1}})
	is.True(errors.Is(err, ErrIncomplete))
	is.Equal(r2.Generation(), uint64(0))
}

type forger struct{ *peerSource }

func (f forger) Chunks(ctx context.Context, ds []string) ([]json.RawMessage, error) {
	out, err := f.peerSource.Chunks(ctx, ds)
	for i := range out {
		out[i] = bytes.ReplaceAll(out[i], []byte("a"), []byte("b"))
	}
	return out, err
}

// The trail is longer than a manifest may be. Every line must still be found,
// in order, and an id far back must still be recognised.
func TestLongTrail(t *testing.T) {
	is := is.New(t)
	store := newStore()
	r := newRegistry("d1", store)
	const n = 300
	for i := range n {
		is.NoErr(r.Note(t.Context(), fireflypath.AuditLine{ID: fmt.Sprint("n", i), Words: "order"}))
	}
	lines, err := newRegistry("d2", store).Trail(t.Context(), 1000)
	is.NoErr(err)
	is.Equal(len(lines), n+1)
	is.Equal(lines[0].ID, "n299")
	is.Equal(lines[n].ID, "initial")
	_, err = r.Settle(t.Context(), "n3")
	is.NoErr(err)
	e, err := store.Get(t.Context(), manifestKey)
	is.NoErr(err)
	is.True(len(e.Value) < 2*tailBytes)
}

func TestMain(m *testing.M) { testkit.Seeded(m) }

// Drawn by rapid: three daemons commit, follow, pull from each other, are
// paused (keep an old view) and meet a store that loses answers or shows an
// older copy. Over the trace of all daemons no generation may fall, one
// generation has one content, and an accepted change is never missing later.
func TestGenerationsNeverFall(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		clock := clockwork.NewFakeClock()
		store := testkit.NewMapStore(clock)
		var rs []*Registry
		for i := range 3 {
			rs = append(rs, New(store, nil, fmt.Sprint("d", i), clock, tally.NoopScope, zap.NewNop()))
		}
		last := make([]uint64, len(rs))
		content := map[uint64]string{}
		accepted := map[string]uint64{}
		pick := func() *Registry { return rs[rapid.IntRange(0, len(rs)-1).Draw(rt, "daemon")] }
		loseNext, n := false, 0
		store.SetFault(func(op, key string) testkit.Fault {
			if op == "put" && key == manifestKey && loseNext {
				loseNext = false
				return testkit.Fault{After: fireflypath.ErrUnknown}
			}
			return testkit.Fault{}
		})
		commit := func(r *Registry) {
			n++
			id := fmt.Sprint("t", n)
			done := make(chan struct{})
			go advance(clock, done)
			got, err := r.Commit(ctx, addTeam(id, 0))
			close(done)
			if err == nil {
				accepted[id] = got.Generation
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"commit": func(*rapid.T) { commit(pick()) },
			"commit, answer lost": func(*rapid.T) {
				loseNext = true
				commit(pick())
				loseNext = false
			},
			"follow": func(*rapid.T) { _, _, _ = pick().fresh(ctx) },
			"pull":   func(*rapid.T) { _ = pick().Pull(ctx, &peerSource{r: pick()}) },
			"older data": func(*rapid.T) {
				newest := rs[0]
				for _, r := range rs {
					if r.Generation() > newest.Generation() {
						newest = r
					}
				}
				store.Restore(nil)
				_, _, _ = newest.fresh(ctx) // a watcher that is up to date is first to look
			},
			"": func(rt *rapid.T) {
				for i, r := range rs {
					g, c := r.Generation(), r.Current()
					if g < last[i] || c.Generation != g && g > 0 {
						rt.Fatalf("daemon %d fell from %d to %d", i, last[i], g)
					}
					last[i] = g
					text := teams(c)
					if old, ok := content[g]; ok && old != text && g > 0 {
						rt.Fatalf("generation %d is both %q and %q", g, old, text)
					}
					content[g] = text
					for id, at := range accepted {
						if g >= at && !bytes.Contains([]byte(" "+text), []byte(" "+id+" ")) {
							rt.Fatalf("daemon %d at %d lost accepted %s of %d", i, g, id, at)
						}
					}
				}
			},
		})
	})
}

// advance moves a fake clock on whenever something waits on it.
func advance(clock *clockwork.FakeClock, done <-chan struct{}) {
	for {
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			select {
			case <-done:
				cancel()
			case <-ctx.Done():
			}
		}()
		err := clock.BlockUntilContext(ctx, 1)
		cancel()
		if err != nil {
			return
		}
		clock.Advance(time.Second)
	}
}
