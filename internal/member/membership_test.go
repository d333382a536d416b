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

// inFleet runs a test on nine daemons in virtual time.
func inFleet(t *testing.T, test func(is *is.I, f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		test(is.New(t), f)
	})
}

func addTeam(id string) fireflypath.Change {
	return fireflypath.Change{ID: id, Who: "ana", Words: "add", Apply: func(old *fireflypath.Config) (*fireflypath.Config, error) {
		next := *old
		next.Teams = append(old.Teams[:len(old.Teams):len(old.Teams)], fireflypath.Team{Name: id})
		return &next, nil
	}}
}

func (f *fleet) everywhere(g uint64) func() bool {
	return func() bool {
		for _, d := range f.daemons {
			if d.configs.Generation() < g {
				return false
			}
		}
		return true
	}
}

// A daemon is killed. Its peers must stop counting on it within seconds, or a
// relief round would wait for it until the requests' deadlines.
func TestDaemonKilled(t *testing.T) {
	inFleet(t, func(is *is.I, f *fleet) {
		f.kill("d4")
		f.await(6*time.Second, "the others see the death", f.agree)
	})
}

// A daemon is killed and started again at the same address at once. The others
// must take the new incarnation and not mourn the old one.
func TestDaemonRestarted(t *testing.T) {
	inFleet(t, func(is *is.I, f *fleet) {
		f.kill("d4")
		time.Sleep(300 * time.Millisecond)
		d := f.start("d4")
		f.await(8*time.Second, "the new incarnation is seen", func() bool {
			for _, o := range f.daemons {
				for _, m := range o.members.Live() {
					if m.Name == "d4" && m.Incarnation < d.members.Self().Incarnation {
						return false
					}
				}
			}
			return f.agree()
		})
	})
}

// A daemon stands still for twenty seconds, longer than its lease, and wakes
// up. The others let it go and take it back; itself it must not take the whole
// fleet for dead because it heard nobody while it stood.
func TestDaemonPaused(t *testing.T) {
	inFleet(t, func(is *is.I, f *fleet) {
		f.pause("d4")
		f.await(10*time.Second, "the others let it go", func() bool {
			return len(f.daemons["d0"].members.Live()) == 8 && len(f.daemons["d8"].members.Live()) == 8
		})
		f.pass(10 * time.Second)
		for _, n := range []string{"d0", "d1", "d2", "d3", "d5", "d6", "d7", "d8"} {
			f.always[n] = true
		}
		f.resume("d4")
		f.await(10*time.Second, "it is back", f.agree)
		is.True(counter(f.daemons["d4"], "member.refuted") > 0)
	})
}

// Something between two daemons loses track of their open connection, one way
// or both ways, while new connections work. It must be replaced within three
// seconds, and the peer must stay a member for everybody all the time.
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
			inFleet(t, func(is *is.I, f *fleet) {
				f.pass(2 * time.Second)
				for n := range f.daemons {
					f.always[n] = true
				}
				for _, w := range tt.ways {
					f.net.Silence(w[0], w[1])
				}
				d1, d2 := f.daemons["d1"], f.daemons["d2"]
				f.pass(200 * time.Millisecond) // what was under way has arrived
				silenced := time.Now()
				f.await(3*time.Second, "both hear each other again", func() bool {
					h1, ok1 := d1.peers.LastReceived("d2")
					h2, ok2 := d2.peers.LastReceived("d1")
					return ok1 && ok2 && h1.After(silenced) && h2.After(silenced) &&
						counter(d1, "peer.silent")+counter(d2, "peer.silent") > 0
				})
				f.pass(10 * time.Second)
			})
		})
	}
}

// Messages between two daemons are lost, one way or both ways, for a minute,
// also on new connections. All others reach both, so both stay members.
func TestLinkCut(t *testing.T) {
	for _, both := range []bool{false, true} {
		t.Run(fmt.Sprint("both ways ", both), func(t *testing.T) {
			inFleet(t, func(is *is.I, f *fleet) {
				for n := range f.daemons {
					f.always[n] = true
				}
				f.net.Cut("d1", "d2")
				if both {
					f.net.Cut("d2", "d1")
				}
				f.pass(time.Minute)
				f.net.HealBoth("d1", "d2")
				f.await(8*time.Second, "they are connected again", func() bool {
					_, ok := f.daemons["d1"].peers.LastReceived("d2")
					return ok
				})
			})
		})
	}
}

// A failure domain is cut off for a minute with the service on the other side.
// Each side goes on by itself; afterwards all see all again, and a change made
// meanwhile is in force everywhere.
func TestDomainCutOff(t *testing.T) {
	inFleet(t, func(is *is.I, f *fleet) {
		zone := map[bool][]string{}
		for n := range f.daemons {
			in := domain(n) == "zone0"
			zone[in] = append(zone[in], n)
		}
		for _, a := range zone[true] {
			for _, b := range zone[false] {
				f.net.CutBoth(a, b)
			}
		}
		f.await(15*time.Second, "each side sees itself", func() bool {
			for n, d := range f.daemons {
				if len(d.members.Live()) != len(zone[domain(n) == "zone0"]) {
					return false
				}
			}
			return true
		})
		inside := f.daemons[zone[true][0]]
		is.Equal(inside.members.Missing(), len(zone[false]))
		done, err := f.daemons[zone[false][0]].configs.Commit(t.Context(), addTeam("a"))
		is.NoErr(err)
		f.pass(40 * time.Second)
		for _, a := range zone[true] {
			for _, b := range zone[false] {
				f.net.HealBoth(a, b)
			}
		}
		f.await(20*time.Second, "all see all", f.agree)
		f.await(5*time.Second, "the change is everywhere", f.everywhere(done.Generation))
	})
}

// The service is down for minutes. The fleet goes on; a daemon that starts
// meanwhile finds its peers by its settings and takes their configuration.
func TestServiceDown(t *testing.T) {
	inFleet(t, func(is *is.I, f *fleet) {
		done, err := f.daemons["d0"].configs.Commit(t.Context(), addTeam("a"))
		is.NoErr(err)
		f.store.SetFault(func(string, string) testkit.Fault {
			return testkit.Fault{Before: fireflypath.ErrUnavailable}
		})
		for n := range f.daemons {
			f.always[n] = true
		}
		f.pass(2 * time.Minute)
		f.seeds = []string{"d3:1"}
		f.start("d9")
		f.await(5*time.Second, "the new daemon joins", f.agree)
		f.await(5*time.Second, "it has the configuration", f.everywhere(done.Generation))
	})
}

// An accepted change must be in force on every daemon within five seconds.
func TestChangeReachesAll(t *testing.T) {
	inFleet(t, func(is *is.I, f *fleet) {
		for i := range 3 {
			done, err := f.daemons[fmt.Sprint("d", 3*i)].configs.Commit(t.Context(), addTeam(fmt.Sprint("t", i)))
			is.NoErr(err)
			f.await(5*time.Second, "the change is everywhere", f.everywhere(done.Generation))
		}
	})
}

// All nine are replaced one after the other, each after a planned stop. Nobody
// who stays may lose anybody who stays, and a change made before must survive
// although no daemon that knew it is left.
func TestAllReplaced(t *testing.T) {
	inFleet(t, func(is *is.I, f *fleet) {
		done, err := f.daemons["d0"].configs.Commit(t.Context(), addTeam("a"))
		is.NoErr(err)
		for i := range 9 {
			name := fmt.Sprint("d", i)
			d := f.daemons[name]
			d.members.SetLeaving()
			f.pass(200 * time.Millisecond)
			d.members.Leave(context.Background())
			f.kill(name)
			f.await(2*time.Second, "the leave is seen", f.agree)
			f.start(fmt.Sprint("e", i))
			f.await(5*time.Second, "the new one joins", f.agree)
		}
		f.await(5*time.Second, "the change is everywhere", f.everywhere(done.Generation))
	})
}

// Two faults at once: the service is down, two daemons are killed, and one
// connection falls silent.
func TestFaultsTogether(t *testing.T) {
	inFleet(t, func(is *is.I, f *fleet) {
		f.store.SetFault(func(string, string) testkit.Fault {
			return testkit.Fault{Before: fireflypath.ErrUnavailable}
		})
		for _, n := range []string{"d0", "d1", "d2", "d3", "d6", "d7", "d8"} {
			f.always[n] = true
		}
		f.net.Silence("d1", "d2")
		f.net.Silence("d2", "d1")
		f.kill("d4")
		f.kill("d5")
		f.await(8*time.Second, "both deaths are seen", f.agree)
		f.pass(5 * time.Second)
	})
}

// A daemon starts alone, and its addresses become known when it listens. With a
// lease for a small fleet and a record written at once, each start of a daemon
// among many cost the store two leases and two writes.
func TestStartWritesOneRecord(t *testing.T) {
	inFleet(t, func(is *is.I, f *fleet) {
		for _, d := range f.daemons {
			d.members.SetAddresses(d.name+":2", d.name+":3")
		}
		time.Sleep(20 * time.Second)
		is.Equal(f.store.Calls("grant"), len(f.daemons))
	})
}
