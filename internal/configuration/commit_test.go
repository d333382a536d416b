package configuration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

func newRegistry(name string, store fireflypath.Store) *Registry {
	initial := &fireflypath.Config{Tiers: []fireflypath.Tier{{Name: "trader"}}}
	return New(store, initial, name, clockwork.NewRealClock(), tally.NoopScope, zap.NewNop())
}

func newStore() *testkit.MapStore {
	return testkit.NewMapStore(clockwork.NewRealClock())
}

// addTeam returns a change that adds a team named like the change's ID.
func addTeam(id string, base uint64) fireflypath.Change {
	return fireflypath.Change{
		ID: id, Operator: "ana", Command: "add team " + id, Base: base,
		Apply: func(old *fireflypath.Config) (*fireflypath.Config, error) {
			next := *old
			next.Teams = append(old.Teams[:len(old.Teams):len(old.Teams)], fireflypath.Team{Name: id})
			return &next, nil
		},
	}
}

// teams returns the names of the configuration's teams, each followed by a space.
func teams(c *fireflypath.Config) string {
	out := ""
	for _, t := range c.Teams {
		out += t.Name + " "
	}
	return out
}

func TestCommit(t *testing.T) {
	responseLost := testkit.Fault{After: errors.Wrap(fireflypath.ErrUnknown, "response lost")}
	unavailable := testkit.Fault{Before: fireflypath.ErrUnavailable}
	tests := []struct {
		name  string
		fault func(n int, op, key string) testkit.Fault
		err   error
		teams string
	}{
		{"no fault", nil, nil, "a "},
		// The store performs the swap, but its response is lost. The commit must
		// succeed and add the team once.
		{"response to swap lost", func(n int, op, key string) testkit.Fault {
			if op == "put" && key == manifestKey && n == 1 {
				return responseLost
			}
			return testkit.Fault{}
		}, nil, "a "},
		// The response to the swap is lost and the store is down for the next reads.
		// Once it is available again, the ID in the trail shows that the change is done.
		{"response to swap lost, then store down", func(n int, op, key string) testkit.Fault {
			if op == "put" && key == manifestKey && n == 1 {
				return responseLost
			}
			if op == "get" && n > 1 && n < 6 {
				return unavailable
			}
			return testkit.Fault{}
		}, nil, "a "},
		// The store refuses a chunk. The error must say that nothing was changed, not
		// that the outcome is unknown.
		{"chunk refused", func(_ int, op, key string) testkit.Fault {
			if op == "put" && key != manifestKey {
				return unavailable
			}
			return testkit.Fault{}
		}, fireflypath.ErrUnavailable, ""},
		// The response to the write of a chunk is lost. The manifest was not written, so
		// the outcome is known: nothing was changed.
		{"response to chunk write lost", func(_ int, op, key string) testkit.Fault {
			if op == "put" && key != manifestKey {
				return responseLost
			}
			return testkit.Fault{}
		}, fireflypath.ErrUnavailable, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				store := newStore()
				r := newRegistry("d1", store)
				is.NoErr(r.Poll(t.Context()))
				n := map[string]int{}
				var mu sync.Mutex
				store.SetFault(func(op, key string) testkit.Fault {
					mu.Lock()
					defer mu.Unlock()
					n[op+key]++
					if tt.fault == nil {
						return testkit.Fault{}
					}
					return tt.fault(n[op+key], op, key)
				})
				done, err := r.Commit(t.Context(), addTeam("a", 0))
				is.True(errors.Is(err, tt.err))
				is.Equal(teams(r.Current()), tt.teams)
				if tt.err == nil {
					is.Equal(done.Generation, uint64(2))
					store.SetFault(nil)
					repeated, err := r.Commit(t.Context(), addTeam("a", 0))
					is.NoErr(err)
					is.True(repeated.Repeated)
					is.Equal(repeated.Generation, uint64(2))
					is.Equal(teams(r.Current()), "a ")
				}
			})
		})
	}
}

// The response to a swap is lost and the store stays down. Commit must report an unknown
// outcome, and FindCommit must find the change by its ID later.
func TestUnknownOutcomeIsResolvedByID(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		r := newRegistry("d1", store)
		is.NoErr(r.Poll(t.Context()))
		down := false
		store.SetFault(func(op, key string) testkit.Fault {
			if down {
				return testkit.Fault{Before: fireflypath.ErrUnavailable}
			}
			if op == "put" && key == manifestKey {
				down = true
				return testkit.Fault{After: fireflypath.ErrUnknown}
			}
			return testkit.Fault{}
		})
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := r.Commit(ctx, addTeam("a", 0))
		is.True(errors.Is(err, fireflypath.ErrUnknown))
		is.Equal(teams(r.Current()), "") // the outcome is unknown, so the change is not activated
		store.SetFault(nil)
		done, err := r.FindCommit(t.Context(), "a")
		is.NoErr(err)
		is.Equal(done.Generation, uint64(2))
		_, err = r.FindCommit(t.Context(), "never")
		is.True(errors.Is(err, fireflypath.ErrNotFound))
	})
}

// Two changes with the same base generation are committed through two daemons. The first
// succeeds; the second must fail and name the first.
func TestConflictNamesCommittedChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		r1, r2 := newRegistry("d1", store), newRegistry("d2", store)
		is.NoErr(r1.Poll(t.Context()))
		is.NoErr(r2.Poll(t.Context()))
		is.Equal(r1.Current(), r2.Current())
		_, err := r1.Commit(t.Context(), addTeam("a", 1))
		is.NoErr(err)
		done, err := r2.Commit(t.Context(), addTeam("b", 1))
		is.True(errors.Is(err, fireflypath.ErrConflict))
		is.Equal(done.ConflictingID, "a")
		is.Equal(teams(r2.Current()), "a ") // the committed change is in force there too
	})
}

// Several daemons commit changes without a base concurrently. Each change must be in force
// exactly once and have its line in the audit trail.
func TestConcurrentChangesAreAllCommitted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		store := newStore()
		var wg sync.WaitGroup
		for i := range 5 {
			wg.Go(func() {
				r := newRegistry(fmt.Sprint("d", i), store)
				_, err := r.Commit(t.Context(), addTeam(fmt.Sprint("t", i), 0))
				is.NoErr(err)
			})
		}
		wg.Wait()
		r := newRegistry("late", store)
		is.NoErr(r.Poll(t.Context()))
		is.Equal(len(r.Current().Teams), 5)
		is.Equal(r.Generation(), uint64(6))
		lines, err := r.Trail(t.Context(), 100)
		is.NoErr(err)
		is.Equal(len(lines), 6)
		for i, l := range lines {
			is.Equal(l.To, uint64(6-i))
		}
	})
}

// A change that cannot be applied must fail with ErrRefused and leave the generation as it is.
func TestRefusedChange(t *testing.T) {
	is := is.New(t)
	r := newRegistry("d1", newStore())
	c := addTeam("a", 0)
	c.Apply = func(*fireflypath.Config) (*fireflypath.Config, error) {
		return nil, errors.New("tier gold does not exist")
	}
	_, err := r.Commit(t.Context(), c)
	is.True(errors.Is(err, ErrRefused))
	is.Equal(r.Generation(), uint64(1))
}
