package order

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
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

func TestMain(m *testing.M) { testkit.Seeded(m) }

// site is a fleet of daemons that send orders to two targets: one heeds fencing
// numbers, "loose" ignores them.
type site struct {
	store *testkit.MapStore
	all   map[string]*Issuer
	stops map[string]context.CancelFunc

	mu    sync.Mutex
	seen  map[string]uint64
	taken []fireflypath.Order
	dead  map[string]bool
	// stale is an order that reached the loose target behind a newer holder's.
	stale bool
}

func newSite(n int) *site {
	s := &site{
		store: testkit.NewMapStore(clockwork.NewRealClock()), all: map[string]*Issuer{},
		stops: map[string]context.CancelFunc{}, seen: map[string]uint64{}, dead: map[string]bool{},
	}
	for i := range n {
		s.start(fmt.Sprint("d", i))
	}
	return s
}

func (s *site) start(name string) {
	o := New(name, s.store, s, s, s, s, WeightReadInterval, clockwork.NewRealClock(), tally.NoopScope, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	s.all[name], s.stops[name] = o, cancel
	go func() { _ = o.Run(ctx) }()
}

// kill ends a daemon without a release.
func (s *site) kill(name string) {
	s.mu.Lock()
	s.dead[name] = true
	s.mu.Unlock()
	s.all[name].hold(nil)
	s.stops[name]()
}

func (s *site) close() {
	for _, stop := range s.stops {
		stop()
	}
}

func (*site) Current() *fireflypath.Config {
	return &fireflypath.Config{Targets: []fireflypath.Target{{Name: "strict", Fenced: true}, {Name: "loose"}}}
}
func (*site) Changed(uint64) <-chan struct{} { return nil }

func (s *site) Live() []fireflypath.Member {
	var out []fireflypath.Member
	for n := range s.all {
		out = append(out, fireflypath.Member{Name: n})
	}
	return out
}

func (s *site) Call(ctx context.Context, to fireflypath.Member, _ string, params, result any) error {
	s.mu.Lock()
	dead := s.dead[to.Name]
	s.mu.Unlock()
	if dead {
		return errors.New("connection refused")
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := s.all[to.Name].answer(ctx, "", b)
	if err == nil {
		*result.(*outcome) = out.(outcome)
	}
	return err
}

// Order is the targets.
func (s *site) Order(_ context.Context, t fireflypath.Target, o fireflypath.Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.Fence < s.seen[t.Name] {
		if t.Fenced {
			return fireflypath.ErrFenced
		}
		s.stale = true
	}
	s.seen[t.Name] = o.Fence
	s.taken = append(s.taken, o)
	return nil
}

func role(id, target string) fireflypath.Order {
	return fireflypath.Order{ID: id, Kind: fireflypath.OrderRole, Target: target, Value: "prefill"}
}

func within(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// Orders come in through all daemons. One of them holds the lease and sends
// all; nobody waits for a lease to lapse.
func TestOneHolderSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(3)
		defer s.close()
		for i := range 9 {
			is.NoErr(s.all[fmt.Sprint("d", i%3)].Order(within(t, time.Second), role(fmt.Sprint(i), "loose")))
		}
		is.Equal(len(s.taken), 9)
		for _, o := range s.taken {
			is.Equal(o.Fence, uint64(1))
		}
	})
}

// The holder is killed. The next one waits for the lease to lapse, has a higher
// number, and waits the old lease out before it sends to a target that ignores
// numbers, because an order of the dead may still be under way.
func TestHolderKilled(t *testing.T) {
	for _, target := range []string{"strict", "loose"} {
		t.Run(target, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(2)
				defer s.close()
				is.NoErr(s.all["d0"].Order(within(t, time.Second), role("a", target)))
				s.kill("d0")
				began := time.Now()
				is.NoErr(s.all["d1"].Order(within(t, time.Minute), role("b", target)))
				is.Equal(s.taken[1].Fence, uint64(2))
				took := time.Since(began)
				is.True(took >= leaseTime-time.Second)
				is.Equal(target == "loose", took >= 2*leaseTime-time.Second)
			})
		})
	}
}

// A planned stop hands the lease over: no order waits for it to lapse.
func TestHolderReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2)
		defer s.close()
		is.NoErr(s.all["d0"].Order(within(t, time.Second), role("a", "loose")))
		s.all["d0"].Release(t.Context())
		is.NoErr(s.all["d1"].Order(within(t, time.Second), role("b", "loose")))
		is.Equal(s.taken[1].Fence, uint64(2))
	})
}

// The holder stands still for longer than its lease while it waits for the
// weight store's rate, and another daemon becomes the holder. When the first one
// wakes up it still believes that it holds the lease. It must look again before
// it sends, or the target gets its order behind the newer holder's.
func TestHolderPausedBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2)
		defer s.close()
		d0 := s.all["d0"]
		is.NoErr(d0.Order(within(t, time.Second), role("a", "loose")))
		d0.turn <- struct{}{} // stands still: renews nothing
		time.Sleep(leaseTime + time.Second)
		s.mu.Lock()
		s.dead["d0"] = true
		s.mu.Unlock()
		is.NoErr(s.all["d1"].Order(within(t, time.Minute), role("b", "loose")))
		<-d0.turn
		is.NoErr(d0.Order(within(t, time.Minute), role("c", "loose"))) // by way of d1
		is.Equal(s.taken[2].Fence, uint64(2))
		is.True(!s.stale)
	})
}

// The service is slow or down when an order comes. The operator is told that
// nothing was sent; a lease whose grant took too long is not used.
func TestServiceSlowOrDown(t *testing.T) {
	tests := []struct {
		name  string
		fault func(op, key string) testkit.Fault
	}{
		{"down", func(string, string) testkit.Fault { return testkit.Fault{Before: fireflypath.ErrUnavailable} }},
		{"slow", func(op, key string) testkit.Fault {
			if op == "put" && key == fenceKey {
				time.Sleep(leaseTime)
			}
			return testkit.Fault{}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := newSite(1)
				defer s.close()
				s.store.SetFault(tt.fault)
				err := s.all["d0"].Order(within(t, time.Minute), role("a", "loose"))
				is.True(err != nil && !errors.Is(err, fireflypath.ErrUnknown))
				is.Equal(len(s.taken), 0)
			})
		})
	}
}

// The answer to the write of the holder's record is lost. The daemon must see
// that it is the holder and not wait for itself.
func TestLostAnswerOfTheClaim(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		defer s.close()
		s.store.SetFault(func(op, key string) testkit.Fault {
			if op == "put" && key == holderKey {
				return testkit.Fault{After: fireflypath.ErrUnknown}
			}
			return testkit.Fault{}
		})
		is.NoErr(s.all["d0"].Order(within(t, time.Second), role("a", "loose")))
	})
}

// Twelve targets are told to load at once. The weight store's rate must hold
// over the whole fleet, also when the holder changes on the way.
func TestWeightStoreRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2)
		defer s.close()
		for i := range 12 {
			if i == 6 {
				s.all["d0"].Release(t.Context())
			}
			o := fireflypath.Order{ID: fmt.Sprint(i), Kind: fireflypath.OrderLoad, Target: "loose"}
			is.NoErr(s.all[fmt.Sprint("d", i/6)].Order(within(t, time.Minute), o))
		}
		for i := range s.taken[1:] {
			is.True(s.taken[i+1].Sent.Sub(s.taken[i].Sent) >= WeightReadInterval)
		}
	})
}

// A target refuses the number as old: there was a newer holder. This daemon
// must give its tenure up and not go on.
func TestFencedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		defer s.close()
		s.seen["strict"] = 7
		err := s.all["d0"].Order(within(t, time.Second), role("a", "strict"))
		is.True(errors.Is(err, fireflypath.ErrFenced))
		is.True(s.all["d0"].held() == nil)
	})
}

// A new holder waits the old lease out, and the service fails meanwhile, so that
// its own lease lapses before the wait is over. It must look at the lease after
// the wait and become the holder anew, with another number, before it sends.
func TestLeaseLapsesDuringTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(2)
		defer s.close()
		is.NoErr(s.all["d0"].Order(within(t, time.Second), role("a", "loose")))
		s.kill("d0")
		s.store.SetFault(func(op, _ string) testkit.Fault {
			if op == "renew" {
				return testkit.Fault{Before: fireflypath.ErrUnavailable}
			}
			return testkit.Fault{}
		})
		time.AfterFunc(25*time.Second, func() { s.store.SetFault(nil) })
		is.NoErr(s.all["d1"].Order(within(t, 2*time.Minute), role("b", "loose")))
		is.True(s.taken[1].Fence > 2)
		is.True(time.Since(s.taken[1].Sent) <= sendTime)
	})
}

// Drawn by rapid: orders through three daemons while holders are killed, stand
// still and restart, and answers of the service are lost. Over the trace of
// what the target that ignores numbers took, numbers never fall.
func TestLooseTargetNeverSeesAnOldHolder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type act struct {
			daemon int
			kind   string
			wait   time.Duration
		}
		var acts []act
		for range rapid.IntRange(2, 12).Draw(rt, "acts") {
			acts = append(acts, act{
				daemon: rapid.IntRange(0, 2).Draw(rt, "daemon"),
				kind:   rapid.SampledFrom([]string{"order", "order", "kill", "still", "lose"}).Draw(rt, "kind"),
				wait:   time.Duration(rapid.IntRange(0, 130).Draw(rt, "tenths")) * 100 * time.Millisecond,
			})
		}
		stale := false
		synctest.Test(t, func(t *testing.T) {
			s := newSite(3)
			defer s.close()
			var wg sync.WaitGroup
			for i, a := range acts {
				name := fmt.Sprint("d", a.daemon)
				switch a.kind {
				case "order":
					o := s.all[name]
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
						defer cancel()
						_ = o.Order(ctx, role(fmt.Sprint(i), "loose"))
					})
				case "kill":
					s.mu.Lock()
					s.dead[name] = true
					s.mu.Unlock()
					s.all[name].hold(nil)
				case "still":
					o := s.all[name]
					wg.Go(func() {
						o.turn <- struct{}{}
						time.Sleep(a.wait)
						<-o.turn
					})
				case "lose":
					var n atomic.Int64
					s.store.SetFault(func(op, _ string) testkit.Fault {
						if op == "put" && n.Add(1)%3 == 0 {
							return testkit.Fault{After: fireflypath.ErrUnknown}
						}
						return testkit.Fault{}
					})
				}
				time.Sleep(a.wait)
			}
			wg.Wait()
			s.mu.Lock()
			defer s.mu.Unlock()
			stale = s.stale
		})
		if stale {
			rt.Fatal("the target took an order with a lower number than before")
		}
	})
}
