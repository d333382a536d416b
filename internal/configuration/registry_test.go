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

// registrySource is a Source that calls another registry directly.
type registrySource struct {
	registry        *Registry
	requestedChunks int
}

func (p *registrySource) Update(_ context.Context, have uint64) (Update, error) {
	return p.registry.Update(have), nil
}

func (p *registrySource) Chunks(_ context.Context, ds []string) ([]json.RawMessage, error) {
	p.requestedChunks += len(ds)
	return p.registry.Chunks(ds), nil
}

func largeConfig(n int) *fireflypath.Config {
	c := &fireflypath.Config{Tiers: []fireflypath.Tier{{Name: "trader"}}}
	for i := range n {
		c.Teams = append(c.Teams, fireflypath.Team{
			Name: fmt.Sprintf("team-%05d", i), Tiers: []string{"trader"}, Weight: 1 + i%9,
			Keys: []fireflypath.Key{{Hash: fmt.Sprintf("%064x", i)}},
		})
	}
	return c
}

// A configuration of 29,000 teams does not fit in one value of the store. A new daemon must
// be able to pull all of it, and a change of one team must transfer one chunk.
func TestLargeConfiguration(t *testing.T) {
	is := is.New(t)
	store := newStore()
	clock := clockwork.NewRealClock()
	r1 := New(store, largeConfig(29_000), "d1", clock, tally.NoopScope, zap.NewNop())
	is.NoErr(r1.Poll(t.Context()))
	for _, e := range store.Snapshot() {
		is.True(len(e.Value) < fireflypath.MaxValue/4)
	}
	r2 := New(store, nil, "d2", clock, tally.NoopScope, zap.NewNop())
	source := &registrySource{registry: r1}
	is.NoErr(r2.Pull(t.Context(), source))
	is.Equal(r2.Current(), r1.Current())
	// Guards against memory above an operator's estimate: a list that was appended to
	// chunk by chunk kept a fifth more capacity than its teams need.
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
	source.requestedChunks = 0
	is.NoErr(r2.Pull(t.Context(), source))
	is.Equal(source.requestedChunks, 1)
	is.Equal(r2.Current().Teams[14_000].Weight, 77)
	update, err := json.Marshal(r1.Update(1))
	is.NoErr(err)
	is.True(len(update) < 500)
}

// The store is restored from an old backup or emptied. An accepted change must stay in
// force, and must be written back to the store, so that the next change is not based on the
// old generation.
func TestStoreRestoredFromOldBackup(t *testing.T) {
	for _, empty := range []bool{false, true} {
		t.Run(fmt.Sprint("empty ", empty), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore()
				r := newRegistry("d1", store)
				is.NoErr(r.Poll(t.Context()))
				old := store.Snapshot()
				if empty {
					old = nil
				}
				_, err := r.Commit(t.Context(), addTeam("a", 0))
				is.NoErr(err)
				store.Restore(old)
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				_ = r.Run(ctx) // a watch without changes, then a read that finds the old data
				is.Equal(teams(r.Current()), "a ")

				other := newRegistry("d2", store)
				is.NoErr(other.Poll(t.Context()))
				is.Equal(teams(other.Current()), "a ")
				_, err = other.Commit(t.Context(), addTeam("b", 0))
				is.NoErr(err)
				is.Equal(other.Generation(), uint64(3))
			})
		})
	}
}

// A daemon fails after it uploaded chunks and before it swapped the manifest. The change
// must not come into force, the chunks must be removed after the grace period, and a later
// commit must be able to upload them again.
func TestUncommittedChunksAreCollected(t *testing.T) {
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
		_, err := r.Commit(t.Context(), addTeam("uncommitted", 0))
		is.True(errors.Is(err, fireflypath.ErrUnavailable))
		store.SetFault(nil)
		other := newRegistry("d2", store)
		is.NoErr(other.Poll(t.Context()))
		is.Equal(teams(other.Current()), "")
		is.Equal(len(store.Snapshot()), before+1)
		collect := func() {
			for range len(shardAlphabet) + 1 {
				is.NoErr(other.CollectGarbage(t.Context()))
			}
		}
		collect()
		is.Equal(len(store.Snapshot()), before+1) // the first pass only records the orphan
		time.Sleep(orphanGracePeriod)
		collect()
		is.Equal(len(store.Snapshot()), before)
		_, err = other.Commit(t.Context(), addTeam("uncommitted", 0))
		is.NoErr(err)
	})
}

// The store is down when the daemon starts, and a peer has a generation. The daemon must use
// that one and not the initial configuration of its settings, which may be outdated.
func TestStartWhileStoreIsDown(t *testing.T) {
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
		is.NoErr(r2.Pull(t.Context(), &registrySource{registry: r1}))
		is.Equal(teams(r2.Current()), "a ")
	})
}

// A chunk from a peer is damaged or forged. The generation must not be activated.
func TestCorruptedChunkIsNotApplied(t *testing.T) {
	is := is.New(t)
	r1 := newRegistry("d1", newStore())
	_, err := r1.Commit(t.Context(), addTeam("a", 0))
	is.NoErr(err)
	r2 := newRegistry("d2", newStore())
	err = r2.Pull(t.Context(), corruptingSource{&registrySource{registry: r1}})
	is.True(errors.Is(err, ErrIncomplete))
	is.Equal(r2.Generation(), uint64(0))
}

type corruptingSource struct{ *registrySource }

func (s corruptingSource) Chunks(ctx context.Context, ds []string) ([]json.RawMessage, error) {
	out, err := s.registrySource.Chunks(ctx, ds)
	for i := range out {
		out[i] = bytes.ReplaceAll(out[i], []byte("a"), []byte("b"))
	}
	return out, err
}

// The audit trail does not fit in the manifest. Every line must be returned in order, and an
// ID in an older page must be found.
func TestTrailSpansPages(t *testing.T) {
	is := is.New(t)
	store := newStore()
	r := newRegistry("d1", store)
	const n = 300
	for i := range n {
		is.NoErr(r.AppendAudit(t.Context(), fireflypath.AuditLine{ID: fmt.Sprint("n", i), Command: "order"}))
	}
	lines, err := newRegistry("d2", store).Trail(t.Context(), 1000)
	is.NoErr(err)
	is.Equal(len(lines), n+1)
	is.Equal(lines[0].ID, "n299")
	is.Equal(lines[n].ID, "initial")
	_, err = r.FindCommit(t.Context(), "n3")
	is.NoErr(err)
	e, err := store.Get(t.Context(), manifestKey)
	is.NoErr(err)
	is.True(len(e.Value) < 2*maxTailBytes)
}

func TestMain(m *testing.M) { testkit.RunWithFixedSeed(m) }

// A property test: three daemons commit, read the store and pull from each other at random.
// One that is not drawn keeps an old generation, as if it was paused. The store loses
// responses or loses its data. No daemon's generation may decrease, each generation must
// have the same content everywhere, and no accepted change may be missing from a later
// generation.
func TestGenerationsNeverDecrease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx := context.Background()
		clock := clockwork.NewFakeClock()
		store := testkit.NewMapStore(clock)
		var registries []*Registry
		for i := range 3 {
			registries = append(registries, New(store, nil, fmt.Sprint("d", i), clock, tally.NoopScope, zap.NewNop()))
		}
		last := make([]uint64, len(registries))
		content := map[uint64]string{}
		accepted := map[string]uint64{}
		drawRegistry := func() *Registry { return registries[rapid.IntRange(0, len(registries)-1).Draw(rt, "daemon")] }
		loseResponse, n := false, 0
		store.SetFault(func(op, key string) testkit.Fault {
			if op == "put" && key == manifestKey && loseResponse {
				loseResponse = false
				return testkit.Fault{After: fireflypath.ErrUnknown}
			}
			return testkit.Fault{}
		})
		commit := func(r *Registry) {
			n++
			id := fmt.Sprint("t", n)
			done := make(chan struct{})
			go advanceClock(clock, done)
			got, err := r.Commit(ctx, addTeam(id, 0))
			close(done)
			if err == nil {
				accepted[id] = got.Generation
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"commit": func(*rapid.T) { commit(drawRegistry()) },
			"commit, response lost": func(*rapid.T) {
				loseResponse = true
				commit(drawRegistry())
				loseResponse = false
			},
			"fetch from store": func(*rapid.T) { _, _, _ = drawRegistry().syncWithStore(ctx) },
			"pull":             func(*rapid.T) { _ = drawRegistry().Pull(ctx, &registrySource{registry: drawRegistry()}) },
			"older data": func(*rapid.T) {
				newest := registries[0]
				for _, r := range registries {
					if r.Generation() > newest.Generation() {
						newest = r
					}
				}
				store.Restore(nil)
				_, _, _ = newest.syncWithStore(ctx) // an up-to-date watcher is the first to read the store
			},
			"": func(rt *rapid.T) {
				for i, r := range registries {
					g, c := r.Generation(), r.Current()
					if g < last[i] || c.Generation != g && g > 0 {
						rt.Fatalf("daemon %d went back from generation %d to %d", i, last[i], g)
					}
					last[i] = g
					text := teams(c)
					if old, ok := content[g]; ok && old != text && g > 0 {
						rt.Fatalf("generation %d has both the teams %q and %q", g, old, text)
					}
					content[g] = text
					for id, at := range accepted {
						if g >= at && !bytes.Contains([]byte(" "+text), []byte(" "+id+" ")) {
							rt.Fatalf("daemon %d at generation %d lacks change %s accepted in generation %d", i, g, id, at)
						}
					}
				}
			},
		})
	})
}

// advanceClock advances a fake clock by a second whenever something waits on it, until done
// is closed.
func advanceClock(clock *clockwork.FakeClock, done <-chan struct{}) {
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
