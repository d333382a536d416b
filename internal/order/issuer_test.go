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

func TestMain(m *testing.M) { testkit.RunWithFixedSeed(m) }

// fleet is a set of daemons that send orders to two targets: "fenced" checks fencing numbers,
// "unfenced" ignores them. It implements the interfaces that the issuers need.
type fleet struct {
	store   *testkit.MapStore
	issuers map[string]*Issuer
	cancels map[string]context.CancelFunc

	mu        sync.Mutex
	lastFence map[string]uint64
	received  []fireflypath.Order
	// down holds the daemons that peers cannot reach.
	down map[string]bool
	// receivedStale is true once the unfenced target received an order with a lower fencing
	// number than one before it.
	receivedStale bool
}

func newFleet(n int) *fleet {
	f := &fleet{
		store: testkit.NewMapStore(clockwork.NewRealClock()), issuers: map[string]*Issuer{},
		cancels: map[string]context.CancelFunc{}, lastFence: map[string]uint64{}, down: map[string]bool{},
	}
	for i := range n {
		f.start(fmt.Sprint("d", i))
	}
	return f
}

func (f *fleet) start(name string) {
	issuer := New(name, f.store, f, f, f, f, WeightReadInterval, clockwork.NewRealClock(), tally.NoopScope, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	f.issuers[name], f.cancels[name] = issuer, cancel
	go func() { _ = issuer.Run(ctx) }()
}

// kill stops a daemon without releasing its lease.
func (f *fleet) kill(name string) {
	f.mu.Lock()
	f.down[name] = true
	f.mu.Unlock()
	f.issuers[name].setLease(nil)
	f.cancels[name]()
}

func (f *fleet) close() {
	for _, cancel := range f.cancels {
		cancel()
	}
}

func (*fleet) Current() *fireflypath.Config {
	return &fireflypath.Config{Targets: []fireflypath.Target{{Name: "fenced", Fenced: true}, {Name: "unfenced"}}}
}
func (*fleet) Changed(uint64) <-chan struct{} { return nil }

func (f *fleet) Live() []fireflypath.Member {
	var out []fireflypath.Member
	for name := range f.issuers {
		out = append(out, fireflypath.Member{Name: name})
	}
	return out
}

func (f *fleet) Call(ctx context.Context, to fireflypath.Member, _ string, params, result any) error {
	f.mu.Lock()
	down := f.down[to.Name]
	f.mu.Unlock()
	if down {
		return errors.New("connection refused")
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	out, err := f.issuers[to.Name].handleOrder(ctx, "", b)
	if err == nil {
		*result.(*forwardResponse) = out.(forwardResponse)
	}
	return err
}

// Order implements Sender in place of the targets.
func (f *fleet) Order(_ context.Context, t fireflypath.Target, o fireflypath.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o.Fence < f.lastFence[t.Name] {
		if t.Fenced {
			return fireflypath.ErrFenced
		}
		f.receivedStale = true
	}
	f.lastFence[t.Name] = o.Fence
	f.received = append(f.received, o)
	return nil
}

func roleOrder(id, target string) fireflypath.Order {
	return fireflypath.Order{ID: id, Kind: fireflypath.OrderRole, Target: target, Value: "prefill"}
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	t.Cleanup(cancel)
	return ctx
}

// Orders are given to all daemons. One of them must send all under one lease, and no order
// may wait for a lease to expire.
func TestOnlyHolderSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(3)
		defer f.close()
		for i := range 9 {
			is.NoErr(f.issuers[fmt.Sprint("d", i%3)].Order(withTimeout(t, time.Second), roleOrder(fmt.Sprint(i), "unfenced")))
		}
		is.Equal(len(f.received), 9)
		for _, o := range f.received {
			is.Equal(o.Fence, uint64(1))
		}
	})
}

// The holder is killed. The next one must wait for the lease to expire and use a higher
// fencing number. Before it sends to a target that ignores fencing numbers it must wait
// another lease duration, because an order of the killed daemon may still arrive.
func TestHolderKilled(t *testing.T) {
	for _, target := range []string{"fenced", "unfenced"} {
		t.Run(target, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(2)
				defer f.close()
				is.NoErr(f.issuers["d0"].Order(withTimeout(t, time.Second), roleOrder("a", target)))
				f.kill("d0")
				start := time.Now()
				is.NoErr(f.issuers["d1"].Order(withTimeout(t, time.Minute), roleOrder("b", target)))
				is.Equal(f.received[1].Fence, uint64(2))
				elapsed := time.Since(start)
				is.True(elapsed >= leaseDuration-time.Second)
				is.Equal(target == "unfenced", elapsed >= 2*leaseDuration-time.Second)
			})
		})
	}
}

// After the holder released the lease on a planned stop, the next order must not wait for
// the lease to expire.
func TestHolderReleases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		defer f.close()
		is.NoErr(f.issuers["d0"].Order(withTimeout(t, time.Second), roleOrder("a", "unfenced")))
		f.issuers["d0"].Release(t.Context())
		is.NoErr(f.issuers["d1"].Order(withTimeout(t, time.Second), roleOrder("b", "unfenced")))
		is.Equal(f.received[1].Fence, uint64(2))
	})
}

// The holder is paused for longer than its lease, for example while it waits for the weight
// store, and another daemon becomes the holder. When the first one resumes, its state still
// says that it holds the lease. It must check the lease before it sends, or its order
// reaches the target after that of the new holder.
func TestHolderPausedBeforeSend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		defer f.close()
		d0 := f.issuers["d0"]
		is.NoErr(d0.Order(withTimeout(t, time.Second), roleOrder("a", "unfenced")))
		d0.sendSlot <- struct{}{} // d0 cannot renew its lease
		time.Sleep(leaseDuration + time.Second)
		f.mu.Lock()
		f.down["d0"] = true
		f.mu.Unlock()
		is.NoErr(f.issuers["d1"].Order(withTimeout(t, time.Minute), roleOrder("b", "unfenced")))
		<-d0.sendSlot
		is.NoErr(d0.Order(withTimeout(t, time.Minute), roleOrder("c", "unfenced"))) // forwarded to d1
		is.Equal(f.received[2].Fence, uint64(2))
		is.True(!f.receivedStale)
	})
}

// The store is slow or down when an order is given. The order must fail with an error that
// says it was not sent, and a lease that took too long to acquire must not be used.
func TestStoreSlowOrDown(t *testing.T) {
	tests := []struct {
		name  string
		fault func(op, key string) testkit.Fault
	}{
		{"down", func(string, string) testkit.Fault { return testkit.Fault{Before: fireflypath.ErrUnavailable} }},
		{"slow", func(op, key string) testkit.Fault {
			if op == "put" && key == fenceKey {
				time.Sleep(leaseDuration)
			}
			return testkit.Fault{}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				f := newFleet(1)
				defer f.close()
				f.store.SetFault(tt.fault)
				err := f.issuers["d0"].Order(withTimeout(t, time.Minute), roleOrder("a", "unfenced"))
				is.True(err != nil && !errors.Is(err, fireflypath.ErrUnknown))
				is.Equal(len(f.received), 0)
			})
		})
	}
}

// The response to the write of the holder record is lost. The daemon must recognize its own
// record and not wait for its own lease to expire.
func TestResponseToHolderWriteLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		defer f.close()
		f.store.SetFault(func(op, key string) testkit.Fault {
			if op == "put" && key == holderKey {
				return testkit.Fault{After: fireflypath.ErrUnknown}
			}
			return testkit.Fault{}
		})
		is.NoErr(f.issuers["d0"].Order(withTimeout(t, time.Second), roleOrder("a", "unfenced")))
	})
}

// Twelve orders to load are given at once. The interval between reads from the weight store
// must be kept over the whole fleet, also when the holder changes in between.
func TestWeightReadRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		defer f.close()
		for i := range 12 {
			if i == 6 {
				f.issuers["d0"].Release(t.Context())
			}
			o := fireflypath.Order{ID: fmt.Sprint(i), Kind: fireflypath.OrderLoad, Target: "unfenced"}
			is.NoErr(f.issuers[fmt.Sprint("d", i/6)].Order(withTimeout(t, time.Minute), o))
		}
		for i := range f.received[1:] {
			is.True(f.received[i+1].Sent.Sub(f.received[i].Sent) >= WeightReadInterval)
		}
	})
}

// A target refuses a fencing number as old because it has had a later holder's order. The
// daemon must no longer regard itself as the holder.
func TestFencedOrderEndsLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(1)
		defer f.close()
		f.lastFence["fenced"] = 7
		err := f.issuers["d0"].Order(withTimeout(t, time.Second), roleOrder("a", "fenced"))
		is.True(errors.Is(err, fireflypath.ErrFenced))
		is.True(f.issuers["d0"].currentLease() == nil)
	})
}

// A new holder waits for the previous lease to expire. Meanwhile renewals fail, so that its
// own lease expires during the wait. It must detect this after the wait and acquire the
// lease again, with a new fencing number, before it sends.
func TestLeaseLapsesWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(2)
		defer f.close()
		is.NoErr(f.issuers["d0"].Order(withTimeout(t, time.Second), roleOrder("a", "unfenced")))
		f.kill("d0")
		f.store.SetFault(func(op, _ string) testkit.Fault {
			if op == "renew" {
				return testkit.Fault{Before: fireflypath.ErrUnavailable}
			}
			return testkit.Fault{}
		})
		time.AfterFunc(25*time.Second, func() { f.store.SetFault(nil) })
		is.NoErr(f.issuers["d1"].Order(withTimeout(t, 2*time.Minute), roleOrder("b", "unfenced")))
		is.True(f.received[1].Fence > 2)
		is.True(time.Since(f.received[1].Sent) <= sendTimeout)
	})
}

// A property test: orders are given to three daemons while holders are killed and paused and
// responses of the store are lost, at random. A killed daemon loses its state, can be given
// orders again as after a restart, but is not reachable for its peers. The fencing numbers
// that the unfenced target receives must never decrease.
func TestFencingNumbersNeverDecrease(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		type action struct {
			daemon int
			kind   string
			wait   time.Duration
		}
		var actions []action
		for range rapid.IntRange(2, 12).Draw(rt, "actions") {
			actions = append(actions, action{
				daemon: rapid.IntRange(0, 2).Draw(rt, "daemon"),
				kind:   rapid.SampledFrom([]string{"order", "order", "kill", "pause", "lose responses"}).Draw(rt, "kind"),
				wait:   time.Duration(rapid.IntRange(0, 130).Draw(rt, "tenths")) * 100 * time.Millisecond,
			})
		}
		stale := false
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(3)
			defer f.close()
			var wg sync.WaitGroup
			for i, action := range actions {
				name := fmt.Sprint("d", action.daemon)
				switch action.kind {
				case "order":
					issuer := f.issuers[name]
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(context.Background(), 40*time.Second)
						defer cancel()
						_ = issuer.Order(ctx, roleOrder(fmt.Sprint(i), "unfenced"))
					})
				case "kill":
					f.mu.Lock()
					f.down[name] = true
					f.mu.Unlock()
					f.issuers[name].setLease(nil)
				case "pause":
					issuer := f.issuers[name]
					wg.Go(func() {
						issuer.sendSlot <- struct{}{}
						time.Sleep(action.wait)
						<-issuer.sendSlot
					})
				case "lose responses":
					var n atomic.Int64
					f.store.SetFault(func(op, _ string) testkit.Fault {
						if op == "put" && n.Add(1)%3 == 0 {
							return testkit.Fault{After: fireflypath.ErrUnknown}
						}
						return testkit.Fault{}
					})
				}
				time.Sleep(action.wait)
			}
			wg.Wait()
			f.mu.Lock()
			defer f.mu.Unlock()
			stale = f.receivedStale
		})
		if stale {
			rt.Fatal("the target received an order with a lower fencing number than one before")
		}
	})
}
