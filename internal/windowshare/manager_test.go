package windowshare_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/rules"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/testkit"
	"github.com/fireflypath/fireflypath/internal/windowshare"
)

// daemon is a Manager with its peers. It is also the fake cluster that the shares are
// applied to.
type daemon struct {
	members *member.Membership
	peers   *peer.Endpoint
	shares  *windowshare.Manager
	stop    func()

	mu       sync.Mutex
	demand   fireflypath.Demand
	fraction float64
	targets  int
	// cfg replaces config if it is set. added is the demand for an additional pool or
	// limit in it, addedFraction the fraction of it that is in use.
	cfg           *fireflypath.Config
	added         fireflypath.Demand
	addedFraction float64
}

func (d *daemon) Demands() []fireflypath.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	return []fireflypath.Demand{d.demand, d.added}
}

func (d *daemon) set(waiting, busy int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demand = fireflypath.Demand{Pool: "chat", Slots: 96, WaitingRequests: []int{waiting}, RunningRequests: []int{busy}}
}

func (d *daemon) ApplyShare(pool string, sh fireflypath.Share) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if pool == "added" || pool == rules.DemandKey("team") {
		d.addedFraction = sh.Default
		return
	}
	d.fraction, d.targets = sh.Default, len(sh.Fractions)
	for _, f := range sh.Fractions {
		d.fraction = f
	}
}

func (d *daemon) inUse() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fraction
}

func (*daemon) Relieve(string, int, int) int { return 0 }
func (*daemon) TargetLeaving(string, string) {}
func (*daemon) TargetStaying(string)         {}
func (d *daemon) Current() *fireflypath.Config {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cfg != nil {
		return d.cfg
	}
	return config
}

func (*daemon) Changed(uint64) <-chan struct{} { return nil }

var config = &fireflypath.Config{
	Generation: 1,
	Pools:      []fireflypath.Pool{{Name: "chat"}},
	Targets:    []fireflypath.Target{{Name: "t1", Pool: "chat"}, {Name: "t2", Pool: "chat"}},
}

type daemons []*daemon

func start(t *testing.T, net *testkit.Network, n int) daemons {
	var all daemons
	for i := range n {
		d := &daemon{}
		d.set(0, 0)
		name := fmt.Sprint("d", i)
		clock, log := clockwork.NewRealClock(), zap.NewNop()
		self := fireflypath.Member{Name: name, PeerAddr: name + ":1", Incarnation: 1}
		d.members = member.New(self, nil, []string{"d0:1"}, time.Second, clock, tally.NoopScope, log)
		d.peers = peer.New(net.Host(name), nil, d.members.Self, time.Second, clock, tally.NoopScope, log)
		d.members.Attach(d.peers)
		d.shares = windowshare.New(d.members, d.peers, d, d, false, clock, tally.NoopScope)
		l, err := net.Host(name).Listen(self.PeerAddr)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = d.peers.Serve(l) })
		wg.Go(func() { _ = d.members.Run(ctx) })
		wg.Go(func() { _ = d.shares.Run(ctx) })
		d.stop = func() { net.Kill(name); cancel(); d.peers.Close(); wg.Wait() }
		all = append(all, d)
	}
	return all
}

func (all daemons) sum() float64 {
	v := 0.0
	for _, d := range all {
		v += d.inUse()
	}
	return v
}

// run lets time pass and checks that the fractions of all daemons sum to 1 at most.
func (all daemons) run(t *testing.T, duration time.Duration) {
	const maxSum = 1.001 // 1 and rounding
	t.Helper()
	for ; duration > 0; duration -= 20 * time.Millisecond {
		time.Sleep(20 * time.Millisecond)
		if v := all.sum(); v > maxSum {
			t.Fatalf("fractions in use sum to %.3f", v)
		}
	}
}

// One daemon of nine receives all load, then another one. Its fraction must follow within
// seconds. The fractions must never sum to more than 1, or targets would be overloaded.
// No demand message is late here.
func TestFractionsFollowLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := start(t, testkit.NewNetwork(), 9)
		defer func() {
			for _, d := range all {
				d.stop()
			}
		}()
		all.run(t, 10*time.Second) // including the time in which they join
		is.True(all.sum() > 0.99)
		all[3].set(500, 11)
		all.run(t, 600*time.Millisecond)
		is.True(all[3].inUse() > 0.3) // by loans, or by an announcement in that time
		all.run(t, 3*time.Second)
		is.True(all[3].inUse() > 0.85)
		is.True(all[7].inUse() > 0.001) // the others keep the floor
		all[3].set(0, 0)
		all[7].set(500, 2)
		all.run(t, 5*time.Second)
		is.True(all[7].inUse() > 0.85)
	})
}

// Daemons die, and the others take over their fractions. If most of the fleet is
// unreachable, a daemon is more likely to be cut off itself and must not take everything.
func TestFractionsOfDeadDaemons(t *testing.T) {
	tests := []struct {
		dead int
		sum  float64
	}{{2, 1}, {6, 3.0 / 9}}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.dead, " die"), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				all := start(t, testkit.NewNetwork(), 9)
				time.Sleep(8 * time.Second)
				for _, d := range all[9-tt.dead:] {
					d.stop()
				}
				survivors := all[:9-tt.dead]
				defer func() {
					for _, d := range survivors {
						d.stop()
					}
				}()
				survivors.run(t, 15*time.Second)
				is.True(survivors.sum() > tt.sum-0.01)
				is.True(survivors.sum() < tt.sum+0.01)
			})
		})
	}
}

// add gives the daemon a configuration with one more pool, and waiting work for it.
func (d *daemon) add(waiting int) {
	cfg := *config
	cfg.Generation++
	cfg.Pools = append([]fireflypath.Pool{{Name: "added"}}, cfg.Pools...)
	cfg.Targets = append([]fireflypath.Target{{Name: "t3", Pool: "added"}}, cfg.Targets...)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.cfg = &cfg
	d.added = fireflypath.Demand{Pool: "added", Slots: 8, WaitingRequests: []int{waiting}, RunningRequests: []int{0}}
}

func (d *daemon) inUseOfAdded() float64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.addedFraction
}

// An operator adds a pool, and the daemons receive the configuration one after the other.
// A daemon that starts the pool at zero sheds the first requests as "full" although the
// targets are idle. One that starts it with more than the others left over overloads the
// targets, and so does one that drops demands that arrived before the configuration.
func TestAddedPoolStartsAtFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := start(t, testkit.NewNetwork(), 3)
		defer func() {
			for _, d := range all {
				d.stop()
			}
		}()
		time.Sleep(10 * time.Second)
		watch := func(duration time.Duration, known int) {
			for ; duration > 0; duration -= 20 * time.Millisecond {
				time.Sleep(20 * time.Millisecond)
				sum := 0.0
				for i, d := range all {
					sum += d.inUseOfAdded()
					if i < known && d.inUseOfAdded() < 0.033 {
						t.Fatalf("daemon %d uses %.3f of the new pool", i, d.inUseOfAdded())
					}
				}
				if sum > 1.001 {
					t.Fatalf("fractions in use sum to %.3f", sum)
				}
			}
		}
		addNext := func(known, waiting int) {
			all[known-1].add(waiting)
			is.True(all[known-1].shares.InitialShare("added").Default > 0.033)
			time.Sleep(100 * time.Millisecond) // the next step
			watch(4*time.Second, known)
		}
		addNext(1, 500)
		is.True(all[0].inUseOfAdded() > 0.9)
		addNext(2, 0)
		addNext(3, 0)
		is.True(all[0].inUseOfAdded() > 0.9)
	})
}

// A team sends all its requests to one daemon of nine, then to another one. With an even
// split it would be refused at a ninth of the limit that the operator has granted. The
// fraction must follow the team within seconds, and the fractions must never sum to more
// than the limit.
func TestLimitFollowsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := start(t, testkit.NewNetwork(), 9)
		defer func() {
			for _, d := range all {
				d.stop()
			}
		}()
		time.Sleep(10 * time.Second)
		cfg := *config
		cfg.Generation++
		cfg.Rules = []fireflypath.Rule{{Name: "team", Act: fireflypath.RuleLimit, Limit: 1000}}
		setRate := func(d *daemon, rate int) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.cfg = &cfg
			d.added = fireflypath.Demand{Pool: rules.DemandKey("team"), Slots: 1000, RunningRequests: []int{rate}}
		}
		watch := func(duration time.Duration) {
			for ; duration > 0; duration -= 20 * time.Millisecond {
				time.Sleep(20 * time.Millisecond)
				sum := 0.0
				for _, d := range all {
					sum += d.inUseOfAdded()
				}
				if sum > 1.001 {
					t.Fatalf("fractions of the limit sum to %.3f", sum)
				}
			}
		}
		for _, d := range all {
			setRate(d, 0)
		}
		watch(3 * time.Second)
		is.True(all[3].inUseOfAdded() > 0.11 && all[3].inUseOfAdded() < 0.112)
		setRate(all[3], 950)
		watch(3 * time.Second)
		is.True(all[3].inUseOfAdded() > 0.9)
		is.True(all[7].inUseOfAdded() > 0.01) // enough for the first requests
		setRate(all[3], 0)
		setRate(all[7], 2000)
		watch(3 * time.Second)
		is.True(all[7].inUseOfAdded() > 0.9)
	})
}
