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

// addTeam is a change that adds one team.
func addTeam(id string, base uint64) fireflypath.Change {
	return fireflypath.Change{
		ID: id, Who: "ana", Words: "add team " + id, Base: base,
		Apply: func(old *fireflypath.Config) (*fireflypath.Config, error) {
			next := *old
			next.Teams = append(old.Teams[:len(old.Teams):len(old.Teams)], fireflypath.Team{Name: id})
			return &next, nil
		},
	}
}

func teams(c *fireflypath.Config) string {
	out := ""
	for _, t := range c.Teams {
		out += t.Name + " "
	}
	return out
}

func TestCommit(t *testing.T) {
	lost := testkit.Fault{After: errors.Wrap(fireflypath.ErrUnknown, "answer lost")}
	refused := testkit.Fault{Before: fireflypath.ErrUnavailable}
	tests := []struct {
		name  string
		fault func(n int, op, key string) testkit.Fault
		err   error
		teams string
	}{
		{"no fault", nil, nil, "a "},
		// The service takes the swap and the answer is lost on the way back. The
		// operator must hear "done", and the team must be there once.
		{"answer of the swap lost", func(n int, op, key string) testkit.Fault {
			if op == "put" && key == manifestKey && n == 1 {
				return lost
			}
			return testkit.Fault{}
		}, nil, "a "},
		// The swap's answer is lost and the service is down for the next reads.
		// The id settles the outcome when the service is back.
		{"answer lost, then down", func(n int, op, key string) testkit.Fault {
			if op == "put" && key == manifestKey && n == 1 {
				return lost
			}
			if op == "get" && n > 1 && n < 6 {
				return refused
			}
			return testkit.Fault{}
		}, nil, "a "},
		// The service refuses a chunk. Nothing is in force, and the operator
		// hears a certain "no" rather than "unknown".
		{"chunk refused", func(_ int, op, key string) testkit.Fault {
			if op == "put" && key != manifestKey {
				return refused
			}
			return testkit.Fault{}
		}, fireflypath.ErrUnavailable, ""},
		// A chunk's answer is lost: the manifest was not touched, so the fate of
		// the change is certain all the same.
		{"chunk's answer lost", func(_ int, op, key string) testkit.Fault {
			if op == "put" && key != manifestKey {
				return lost
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
					again, err := r.Commit(t.Context(), addTeam("a", 0))
					is.NoErr(err)
					is.True(again.Repeated)
					is.Equal(again.Generation, uint64(2))
					is.Equal(teams(r.Current()), "a ")
				}
			})
		})
	}
}

// The answer of a swap is lost and the service stays down. The operator is told
// that the outcome is not known; asking by the id later gives the truth.
func TestUnknownOutcomeIsSettledLater(t *testing.T) {
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
		is.Equal(teams(r.Current()), "") // not known, so not in force here yet
		store.SetFault(nil)
		done, err := r.Settle(t.Context(), "a")
		is.NoErr(err)
		is.Equal(done.Generation, uint64(2))
		_, err = r.Settle(t.Context(), "never")
		is.True(errors.Is(err, fireflypath.ErrNotFound))
	})
}

// Two operators write changes against the same generation through two daemons.
// One is accepted; the other must hear which change it lost to.
func TestConflictNamesTheWinner(t *testing.T) {
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
		is.Equal(done.Lost, "a")
		is.Equal(teams(r2.Current()), "a ") // the loser sees what it lost to
	})
}

// Many daemons commit at once without a base. Each change must be in force
// once, on every daemon, and each must have its line in the trail.
func TestConcurrentChangesAreAllKept(t *testing.T) {
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

// A refused change must leave nothing behind, and its reason reaches the operator.
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
