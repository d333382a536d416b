package exchange_test

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
	"github.com/fireflypath/fireflypath/internal/exchange"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// site is one daemon with a route that only holds numbers.
type site struct {
	members *member.Membership
	peers   *peer.Endpoint
	x       *exchange.Exchange
	stop    func()

	mu      sync.Mutex
	demand  fireflypath.Demand
	part    float64
	targets int
	// cfg takes the place of config; added is the demand and part of a pool in it.
	cfg    *fireflypath.Config
	added  fireflypath.Demand
	beside float64
}

func (s *site) Demands() []fireflypath.Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	return []fireflypath.Demand{s.demand, s.added}
}

func (s *site) set(waiting, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.demand = fireflypath.Demand{Pool: "chat", Slots: 96, Requests: []int{waiting}, Busy: []int{busy}}
}

func (s *site) ApplyShare(pool string, sh fireflypath.Share) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if pool == "added" || pool == rules.DemandKey("team") {
		s.beside = sh.Default
		return
	}
	s.part, s.targets = sh.Default, len(sh.Part)
	for _, p := range sh.Part {
		s.part = p
	}
}

func (s *site) inUse() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.part
}

func (*site) Relieve(string, int, int) int { return 0 }
func (*site) TargetLeaving(string, string) {}
func (*site) TargetBack(string)            {}
func (s *site) Current() *fireflypath.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg != nil {
		return s.cfg
	}
	return config
}

func (*site) Changed(uint64) <-chan struct{} { return nil }

var config = &fireflypath.Config{
	Generation: 1,
	Pools:      []fireflypath.Pool{{Name: "chat"}},
	Targets:    []fireflypath.Target{{Name: "t1", Pool: "chat"}, {Name: "t2", Pool: "chat"}},
}

type sites []*site

func start(t *testing.T, net *testkit.Network, n int) sites {
	var all sites
	for i := range n {
		s := &site{}
		s.set(0, 0)
		name := fmt.Sprint("d", i)
		clock, log := clockwork.NewRealClock(), zap.NewNop()
		self := fireflypath.Member{Name: name, Peer: name + ":1", Incarnation: 1}
		s.members = member.New(self, nil, []string{"d0:1"}, time.Second, clock, tally.NoopScope, log)
		s.peers = peer.New(net.Host(name), nil, s.members.Self, time.Second, clock, tally.NoopScope, log)
		s.members.Attach(s.peers)
		s.x = exchange.New(s.members, s.peers, s, s, false, clock, tally.NoopScope)
		l, err := net.Host(name).Listen(self.Peer)
		if err != nil {
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(context.Background())
		var wg sync.WaitGroup
		wg.Go(func() { _ = s.peers.Serve(l) })
		wg.Go(func() { _ = s.members.Run(ctx) })
		wg.Go(func() { _ = s.x.Run(ctx) })
		s.stop = func() { net.Kill(name); cancel(); s.peers.Close(); wg.Wait() }
		all = append(all, s)
	}
	return all
}

func (all sites) sum() float64 {
	v := 0.0
	for _, s := range all {
		v += s.inUse()
	}
	return v
}

// pass lets time go by and looks at the sum of the parts of all daemons.
func (all sites) pass(t *testing.T, d time.Duration) {
	const most = 1.001 // the windows, and rounding
	t.Helper()
	for ; d > 0; d -= 20 * time.Millisecond {
		time.Sleep(20 * time.Millisecond)
		if v := all.sum(); v > most {
			t.Fatalf("parts in use sum to %.3f", v)
		}
	}
}

// All load comes to one daemon of nine, then to another one. The part must
// follow within seconds, and at no time may the parts sum to more than the
// windows: targets would get more than they can do. No line is late here.
func TestPartsFollowTheLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := start(t, testkit.NewNetwork(), 9)
		defer func() {
			for _, s := range all {
				s.stop()
			}
		}()
		all.pass(t, 10*time.Second) // also while they join
		is.True(all.sum() > 0.99)
		all[3].set(500, 11)
		all.pass(t, 600*time.Millisecond)
		is.True(all[3].inUse() > 0.3) // by loans, or by an exchange that came just then
		all.pass(t, 3*time.Second)
		is.True(all[3].inUse() > 0.85)
		is.True(all[7].inUse() > 0.001) // the others keep something to start with
		all[3].set(0, 0)
		all[7].set(500, 2)
		all.pass(t, 5*time.Second)
		is.True(all[7].inUse() > 0.85)
	})
}

// Daemons die, and the rest takes their parts over. If most of the fleet is out
// of reach, this daemon is more likely cut off itself and must not take all.
func TestPartsOfTheDead(t *testing.T) {
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
				for _, s := range all[9-tt.dead:] {
					s.stop()
				}
				rest := all[:9-tt.dead]
				defer func() {
					for _, s := range rest {
						s.stop()
					}
				}()
				rest.pass(t, 15*time.Second)
				is.True(rest.sum() > tt.sum-0.01)
				is.True(rest.sum() < tt.sum+0.01)
			})
		})
	}
}

// add lets the daemon know of one more pool, with work that waits.
func (s *site) add(waiting int) {
	cfg := *config
	cfg.Generation++
	cfg.Pools = append([]fireflypath.Pool{{Name: "added"}}, cfg.Pools...)
	cfg.Targets = append([]fireflypath.Target{{Name: "t3", Pool: "added"}}, cfg.Targets...)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cfg = &cfg
	s.added = fireflypath.Demand{Pool: "added", Slots: 8, Requests: []int{waiting}, Busy: []int{0}}
}

func (s *site) partOfAdded() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.beside
}

// An operator adds a pool, and the daemons get to know it one after the other.
// A daemon that starts such a pool with nothing sheds the first requests as
// "full" before idle targets; one that starts it with more than the others left
// it overfills them, and so does one that forgets what it heard too early.
func TestAddedPoolStartsAtTheFloor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := start(t, testkit.NewNetwork(), 3)
		defer func() {
			for _, s := range all {
				s.stop()
			}
		}()
		time.Sleep(10 * time.Second)
		watch := func(d time.Duration, known int) {
			for ; d > 0; d -= 20 * time.Millisecond {
				time.Sleep(20 * time.Millisecond)
				sum := 0.0
				for i, s := range all {
					sum += s.partOfAdded()
					if i < known && s.partOfAdded() < 0.033 {
						t.Fatalf("daemon %d has %.3f of the new pool", i, s.partOfAdded())
					}
				}
				if sum > 1.001 {
					t.Fatalf("parts in use sum to %.3f", sum)
				}
			}
		}
		first := func(known, waiting int) {
			all[known-1].add(waiting)
			is.True(all[known-1].x.Begin("added").Default > 0.033)
			time.Sleep(100 * time.Millisecond) // the next step
			watch(4*time.Second, known)
		}
		first(1, 500)
		is.True(all[0].partOfAdded() > 0.9)
		first(2, 0)
		first(3, 0)
		is.True(all[0].partOfAdded() > 0.9)
	})
}

// A team comes through one daemon of nine, and then through another one. With
// an even split it would be refused at a ninth of what the operator has granted
// it. Its part must follow it within seconds, and at no time may the parts sum
// to more than the limit.
func TestLimitFollowsItsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		all := start(t, testkit.NewNetwork(), 9)
		defer func() {
			for _, s := range all {
				s.stop()
			}
		}()
		time.Sleep(10 * time.Second)
		cfg := *config
		cfg.Generation++
		cfg.Rules = []fireflypath.Rule{{Name: "team", Act: fireflypath.RuleLimit, Limit: 1000}}
		come := func(s *site, rate int) {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.cfg = &cfg
			s.added = fireflypath.Demand{Pool: rules.DemandKey("team"), Slots: 1000, Busy: []int{rate}}
		}
		watch := func(d time.Duration) {
			for ; d > 0; d -= 20 * time.Millisecond {
				time.Sleep(20 * time.Millisecond)
				sum := 0.0
				for _, s := range all {
					sum += s.partOfAdded()
				}
				if sum > 1.001 {
					t.Fatalf("parts of the limit sum to %.3f", sum)
				}
			}
		}
		for _, s := range all {
			come(s, 0)
		}
		watch(3 * time.Second)
		is.True(all[3].partOfAdded() > 0.11 && all[3].partOfAdded() < 0.112)
		come(all[3], 950)
		watch(3 * time.Second)
		is.True(all[3].partOfAdded() > 0.9)
		is.True(all[7].partOfAdded() > 0.01) // enough to begin with
		come(all[3], 0)
		come(all[7], 2000)
		watch(3 * time.Second)
		is.True(all[7].partOfAdded() > 0.9)
	})
}
