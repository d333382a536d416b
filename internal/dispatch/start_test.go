package dispatch_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

const (
	// The hosts of a cell start within powerLossSpread. Each daemon has a configuration
	// configurationTime after its start, and the others have heard from it after heardTime.
	powerLossSpread   = 500 * time.Millisecond
	configurationTime = 40 * time.Millisecond
	heardTime         = 20 * time.Millisecond
)

// startResult is how the daemons of a cell started.
type startResult struct {
	// attached is how long after its start each daemon had its last dispatcher, in order.
	attached []time.Duration
	// served is how long after its start the first request of each daemon was placed, in order.
	served []time.Duration
	// changes is how often a daemon attached, mostRunning the most requests at a target at a time.
	changes, mostRunning int
}

// startAfterPowerLoss starts a cell of n daemons, one after the other, with a wave of callers at each.
// lost daemons do not start.
func startAfterPowerLoss(t *testing.T, n, targets int, lost func(i int) bool) (r startResult) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			nodes: map[string]*node{}, silent: map[string]bool{}, killed: map[string]bool{}, leaving: map[string]bool{}, cpu: map[string]float64{},
			cut: map[[2]string]bool{}, delay: map[string]time.Duration{},
			inFlight: map[string]int{}, maxInFlight: map[string]int{}, startedAt: 1_000_000, running: map[string]bool{},
			changed: make(chan struct{}),
		}
		clock, logs := clockwork.NewRealClock(), testkit.NewLogs(t)
		all := fireflypath.Config{Pools: []fireflypath.Pool{cfg}}
		for i := range targets {
			all.Targets = append(all.Targets, fireflypath.Target{Name: fmt.Sprint("t", i), Pool: "p", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: slotsPerTarget})
		}
		scopes, scheds := map[string]tally.TestScope{}, map[string]*remote.Scheduler{}
		for i := range n {
			d := &node{cluster: c, name: fmt.Sprint("d", i), methods: map[string]peer.Handler{}}
			c.nodes[d.name], c.silent[d.name] = d, true
			scopes[d.name] = tally.NewTestScope("", nil)
			d.dispatch = dispatch.New(d.name, d, d, clock, &testkit.BootClock{Clock: clock}, scopes[d.name], logs.Logger(d.name), func(p fireflypath.Pool) dispatcher.Scheduler {
				return slots.New(p, 1, slots.DispatcherTuning())
			})
			scheds[d.name] = remote.New(slots.New(cfg, 1, slots.StandaloneTuning()))
			d.pool = pool.New("p", clock, scheds[d.name], nil)
			d.pool.SetShare(fireflypath.Share{Default: 1, Senders: n, Index: i})
		}
		stop := make(chan struct{})
		go c.gossip(stop)
		var mu sync.Mutex
		var wg sync.WaitGroup
		attaches := func(d *node) int {
			for _, s := range scopes[d.name].Snapshot().Counters() {
				if s.Name() == "dispatch.attached" {
					return int(s.Value())
				}
			}
			return 0
		}
		for i := range n {
			d := c.nodes[fmt.Sprint("d", i)]
			if lost != nil && lost(i) {
				continue
			}
			wg.Go(func() {
				time.Sleep(time.Duration(i*7%n) * powerLossSpread / time.Duration(n))
				startedAt := time.Now()
				c.setRunning(d.name, true, false)
				time.Sleep(heardTime)
				c.setRunning(d.name, true, true)
				time.Sleep(configurationTime - heardTime)
				d.pool.SetTargets(all.Targets)
				d.dispatch.Apply(&all)
				d.dispatch.SetShare("p", fireflypath.Share{Default: 1, Senders: n, Index: i})
				d.dispatch.AddPool(d.pool, cfg, scheds[d.name])
				for j := range 4 {
					wg.Go(func() {
						c.send(d, fmt.Sprint(d.name, "-", j), 100*time.Millisecond)
						mu.Lock()
						defer mu.Unlock()
						if j == 0 {
							r.served = append(r.served, time.Since(startedAt)-100*time.Millisecond)
						}
					})
				}
				count, last := 0, time.Duration(0)
				for time.Since(startedAt) < 5*time.Second {
					if now := attaches(d); now != count {
						count, last = now, time.Since(startedAt)
					}
					time.Sleep(time.Millisecond)
				}
				mu.Lock()
				defer mu.Unlock()
				r.attached = append(r.attached, last)
				r.changes += count
			})
		}
		wg.Wait()
		close(stop)
		for _, d := range c.nodes {
			d.pool.Close(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
			d.dispatch.Close()
			r.mostRunning = max(r.mostRunning, slices.Max(append(values(c.maxInFlight), 0)))
		}
		c.calls.Wait()
	})
	slices.Sort(r.attached)
	slices.Sort(r.served)
	last := len(r.attached) - 1
	t.Logf("last dispatcher: median %v, nine of ten %v, last %v; first request placed: median %v, nine of ten %v, last %v; %d sessions of %d daemons; at most %d requests at a target with %d slots",
		r.attached[last/2], r.attached[last*9/10], r.attached[last], r.served[last/2], r.served[last*9/10], r.served[last], r.changes, last+1, r.mostRunning, slotsPerTarget)
	return r
}

func values(m map[string]int) (out []int) {
	for _, v := range m {
		out = append(out, v)
	}
	return out
}

// setRunning makes a daemon answer calls, and known to the others.
func (c *cluster) setRunning(name string, answers, heard bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent[name], c.running[name] = !answers, heard
	close(c.changed)
	c.changed = make(chan struct{})
}

// Guards against daemons that wait for each candidate that has no power yet, and against several
// dispatchers that fill the same targets while a cell starts.
func TestDispatcherSoonAfterPowerLoss(t *testing.T) {
	for _, n := range []int{9, 18, 25} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			r := startAfterPowerLoss(t, n, 2*n, nil)
			is.True(r.served[n*9/10] < 150*time.Millisecond)
			is.True(r.attached[(n-1)*9/10] < 450*time.Millisecond) // a better candidate may start 0.5 s later
			is.True(r.changes <= n+n/5)
			// Daemons that place their own work may send a full target two requests more each tier.
			is.True(r.mostRunning <= slotsPerTarget+3)
		})
	}
}

// Guards against a cell whose best candidates never come back and whose other daemons therefore place
// their work alone, or wait for them again and again.
func TestDispatcherIfHalfOfCellStaysDown(t *testing.T) {
	is := is.New(t)
	r := startAfterPowerLoss(t, 18, 36, func(i int) bool { return i%2 == 0 })
	is.True(r.served[len(r.served)-1] < 150*time.Millisecond)
	is.True(r.attached[len(r.attached)-1] < 500*time.Millisecond)
}
