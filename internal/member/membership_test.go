package member_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// withFleet runs a test with nine daemons in virtual time.
func withFleet(t *testing.T, test func(is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		test(is.New(t), f)
	})
}

func addTeam(id string) fireflypath.Change {
	return fireflypath.Change{ID: id, Operator: "ana", Command: "add", Apply: func(old *fireflypath.Config) (*fireflypath.Config, error) {
		next := *old
		next.Teams = append(old.Teams[:len(old.Teams):len(old.Teams)], fireflypath.Team{Name: id})
		return &next, nil
	}}
}

func (f *fleet) generationReached(g uint64) func() bool {
	return func() bool {
		for _, d := range f.daemons {
			if d.configs.Generation() < g {
				return false
			}
		}
		return true
	}
}

// A daemon is killed. Its peers must declare it dead within seconds. Otherwise a relief round
// would wait for it until the deadlines of the requests.
func TestDaemonKilled(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.kill("d4")
		f.waitFor(6*time.Second, "the others declare it dead", f.converged)
	})
}

// A daemon is killed and restarted at the same address immediately. The others must list the
// new incarnation as live, whatever they know about the old one.
func TestDaemonRestarted(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.kill("d4")
		time.Sleep(300 * time.Millisecond)
		d := f.start("d4")
		f.waitFor(8*time.Second, "the others list the new incarnation", func() bool {
			for _, o := range f.daemons {
				for _, m := range o.members.Live() {
					if m.Name == "d4" && m.Incarnation < d.members.Self().Incarnation {
						return false
					}
				}
			}
			return f.converged()
		})
	})
}

// A daemon is paused for about twenty seconds and resumes. The others declare it dead and
// then live again. The daemon itself received nothing during the pause but must not declare
// the whole fleet dead.
func TestDaemonPaused(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.pause("d4")
		f.waitFor(10*time.Second, "the others declare it dead", func() bool {
			return len(f.daemons["d0"].members.Live()) == 8 && len(f.daemons["d8"].members.Live()) == 8
		})
		f.advance(10 * time.Second)
		for _, n := range []string{"d0", "d1", "d2", "d3", "d5", "d6", "d7", "d8"} {
			f.mustStayLive[n] = true
		}
		f.resume("d4")
		f.waitFor(10*time.Second, "it is live again", f.converged)
		is.True(counter(f.daemons["d4"], "member.refuted") > 0)
	})
}

// A device between two daemons loses track of their open connection, in one direction or in
// both, while new connections work. The connection must be replaced within three seconds, and
// all daemons must stay live for each other all the time.
func TestSilentConnection(t *testing.T) {
	tests := []struct {
		name string
		ways [][2]string
	}{
		{"one way", [][2]string{{"d1", "d2"}}},
		{"other way", [][2]string{{"d2", "d1"}}},
		{"both ways", [][2]string{{"d1", "d2"}, {"d2", "d1"}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withFleet(t, func(is *is.I, f *fleet) {
				f.advance(2 * time.Second)
				for n := range f.daemons {
					f.mustStayLive[n] = true
				}
				for _, w := range tt.ways {
					f.net.Silence(w[0], w[1])
				}
				d1, d2 := f.daemons["d1"], f.daemons["d2"]
				f.advance(200 * time.Millisecond) // messages already sent arrive
				silenced := time.Now()
				f.waitFor(3*time.Second, "both receive messages again", func() bool {
					h1, ok1 := d1.peers.LastReceived("d2")
					h2, ok2 := d2.peers.LastReceived("d1")
					return ok1 && ok2 && h1.After(silenced) && h2.After(silenced) &&
						counter(d1, "peer.silent")+counter(d2, "peer.silent") > 0
				})
				f.advance(10 * time.Second)
			})
		})
	}
}

// Messages between two daemons are lost for a minute, in one direction or in both, on new
// connections as well. All others reach both, so both must stay live.
func TestPathFailure(t *testing.T) {
	for _, both := range []bool{false, true} {
		t.Run(fmt.Sprint("both ways ", both), func(t *testing.T) {
			withFleet(t, func(is *is.I, f *fleet) {
				for n := range f.daemons {
					f.mustStayLive[n] = true
				}
				f.net.Cut("d1", "d2")
				if both {
					f.net.Cut("d2", "d1")
				}
				f.advance(time.Minute)
				f.net.HealBoth("d1", "d2")
				f.waitFor(8*time.Second, "they are connected again", func() bool {
					_, ok := f.daemons["d1"].peers.LastReceived("d2")
					return ok
				})
			})
		})
	}
}

// A failure domain is cut off for a minute, with the store on the other side. Each side must
// converge to a view of itself. After the partition, all daemons must be live everywhere, and
// a change made meanwhile must be in force on all of them.
func TestDomainPartition(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		sides := map[bool][]string{}
		for n := range f.daemons {
			inside := domain(n) == "zone0"
			sides[inside] = append(sides[inside], n)
		}
		for _, a := range sides[true] {
			for _, b := range sides[false] {
				f.net.CutBoth(a, b)
			}
		}
		f.waitFor(15*time.Second, "each side has a view of itself", func() bool {
			for n, d := range f.daemons {
				if len(d.members.Live()) != len(sides[domain(n) == "zone0"]) {
					return false
				}
			}
			return true
		})
		d := f.daemons[sides[true][0]]
		is.Equal(d.members.Missing(), len(sides[false]))
		done, err := f.daemons[sides[false][0]].configs.Commit(t.Context(), addTeam("a"))
		is.NoErr(err)
		f.advance(40 * time.Second)
		for _, a := range sides[true] {
			for _, b := range sides[false] {
				f.net.HealBoth(a, b)
			}
		}
		f.waitFor(20*time.Second, "all views contain all daemons", f.converged)
		f.waitFor(5*time.Second, "the change is everywhere", f.generationReached(done.Generation))
	})
}

// The store is unavailable for minutes. The membership must not change, and a daemon that
// starts meanwhile must find its peers through the seeds and pull their configuration.
func TestStoreUnavailable(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		done, err := f.daemons["d0"].configs.Commit(t.Context(), addTeam("a"))
		is.NoErr(err)
		f.store.SetFault(func(string, string) testkit.Fault {
			return testkit.Fault{Before: fireflypath.ErrUnavailable}
		})
		for n := range f.daemons {
			f.mustStayLive[n] = true
		}
		f.advance(2 * time.Minute)
		f.seeds = []string{"d3:1"}
		f.start("d9")
		f.waitFor(5*time.Second, "the new daemon joins", f.converged)
		f.waitFor(5*time.Second, "it has the configuration", f.generationReached(done.Generation))
	})
}

// An accepted change must be in force on every daemon within five seconds.
func TestChangeReachesAll(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		for i := range 3 {
			done, err := f.daemons[fmt.Sprint("d", 3*i)].configs.Commit(t.Context(), addTeam(fmt.Sprint("t", i)))
			is.NoErr(err)
			f.waitFor(5*time.Second, "the change is everywhere", f.generationReached(done.Generation))
		}
	})
}

// All nine daemons are replaced one after the other, each after a planned stop. The views must
// converge after each step, and a change made before must still be in force although none of
// the first nine daemons is left.
func TestRollingReplacement(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		done, err := f.daemons["d0"].configs.Commit(t.Context(), addTeam("a"))
		is.NoErr(err)
		for i := range 9 {
			name := fmt.Sprint("d", i)
			d := f.daemons[name]
			d.members.SetLeaving()
			f.advance(200 * time.Millisecond)
			d.members.Leave(context.Background())
			f.kill(name)
			f.waitFor(2*time.Second, "the others remove it", f.converged)
			f.start(fmt.Sprint("e", i))
			f.waitFor(5*time.Second, "the new daemon joins", f.converged)
		}
		f.waitFor(5*time.Second, "the change is everywhere", f.generationReached(done.Generation))
	})
}

// Several faults occur at the same time: the store is unavailable, two daemons are killed, and
// a connection falls silent.
func TestSimultaneousFaults(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		f.store.SetFault(func(string, string) testkit.Fault {
			return testkit.Fault{Before: fireflypath.ErrUnavailable}
		})
		for _, n := range []string{"d0", "d1", "d2", "d3", "d6", "d7", "d8"} {
			f.mustStayLive[n] = true
		}
		f.net.Silence("d1", "d2")
		f.net.Silence("d2", "d1")
		f.kill("d4")
		f.kill("d5")
		f.waitFor(8*time.Second, "the others declare both dead", f.converged)
		f.advance(5 * time.Second)
	})
}

// A daemon knows no others when it starts, and its addresses become known once it listens. If
// it wrote its record at once, with a lease for a small fleet, each start in a large fleet
// would cost the store two leases and two writes.
func TestStartWritesOneRecord(t *testing.T) {
	withFleet(t, func(is *is.I, f *fleet) {
		for _, d := range f.daemons {
			d.members.SetAddresses(d.name+":2", d.name+":3")
		}
		time.Sleep(20 * time.Second)
		is.Equal(f.store.Calls("grant"), len(f.daemons))
	})
}
