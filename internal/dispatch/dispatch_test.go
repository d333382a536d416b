package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/request"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

const slotsPerTarget = 3

var cfg = fireflypath.Pool{Name: "p", Kind: fireflypath.KindEngine, Stride: 3}

// cluster is a few daemons that call each other directly, without a network.
type cluster struct {
	mu    sync.Mutex
	nodes map[string]*node
	// silent daemons accept calls and never respond. Killed ones are unreachable.
	silent, killed map[string]bool
	leaving        map[string]bool
	// cpu is the processor time of each host, in cores.
	cpu map[string]float64
	// startedAt, if set, is when all daemons started again. Until confirmed is true, each
	// knows the others only from their records of before.
	startedAt uint64
	confirmed bool
	// running holds the daemons that have started again and that the others have heard from.
	running map[string]bool
	// changed is closed at the next change of running; nil if nothing changes.
	changed chan struct{}
	// cut holds the pairs of daemons that cannot reach each other.
	cut map[[2]string]bool
	// delay is how much later the calls of a daemon, and those to it, arrive. They arrive even if their
	// callers no longer wait for them.
	delay map[string]time.Duration
	calls sync.WaitGroup
	// inFlight counts the requests at each target, maxInFlight is its highest value.
	inFlight, maxInFlight map[string]int
}

type node struct {
	cluster  *cluster
	name     string
	methods  map[string]peer.Handler
	dispatch *dispatch.Dispatch
	pool     *pool.Pool
}

func (n *node) Handle(method string, m peer.Handler) { n.methods[method] = m }

func (n *node) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	n.cluster.mu.Lock()
	receiver, unreachable, silent := n.cluster.nodes[to.Name], n.cluster.killed[to.Name] || n.cluster.killed[n.name], n.cluster.silent[to.Name]
	unreachable = unreachable || n.cluster.cut[[2]string{n.name, to.Name}] || n.cluster.cut[[2]string{to.Name, n.name}]
	delay := n.cluster.delay[n.name] + n.cluster.delay[to.Name]
	n.cluster.mu.Unlock()
	if unreachable {
		return peer.ErrUnreachable
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer := make(chan callResult, 1)
	n.cluster.calls.Go(func() {
		time.Sleep(time.Millisecond + delay)
		out, err := receiver.methods[method](context.WithoutCancel(ctx), n.name, b)
		answer <- callResult{out, err}
	})
	select {
	case <-ctx.Done():
		return ctx.Err()
	case a := <-answer:
		if a.err != nil {
			return a.err
		}
		if b, err = json.Marshal(a.out); err != nil {
			return err
		}
		return json.Unmarshal(b, result)
	}
}

type callResult struct {
	out any
	err error
}

// Live lists all daemons, oldest first. Killed ones stay listed: the membership takes
// seconds to detect a dead daemon.
func (n *node) Live() []fireflypath.Member {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var out []fireflypath.Member
	for i := range len(n.cluster.nodes) {
		name := fmt.Sprintf("d%d", i)
		m := fireflypath.Member{Name: name, Incarnation: uint64(i+1) * 10_000, CPU: n.cluster.cpu[name], Leaving: n.cluster.leaving[name]}
		if n.cluster.startedAt > 0 {
			m.Unconfirmed = name != n.name && !n.cluster.confirmed && !n.cluster.running[name]
			if !m.Unconfirmed {
				m.Incarnation = n.cluster.startedAt + uint64(i)
			}
		}
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b fireflypath.Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Changed returns a channel that is closed at the next change of the fleet.
func (n *node) Changed() <-chan struct{} {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.cluster.changed
}

func (n *node) Layout() *cell.Layout {
	var names []string
	for _, m := range n.Live() {
		names = append(names, m.Name)
	}
	return cell.New(names)
}

func start(t *testing.T, daemons, targets int) *cluster {
	t.Helper()
	return startPool(t, cfg, slots.DispatcherTuning(), daemons, targets)
}

// startPool starts a cluster for one pool, whose dispatcher uses the given tuning.
func startPool(t *testing.T, cfg fireflypath.Pool, tuning slots.Tuning, daemons, targets int) *cluster {
	t.Helper()
	c := &cluster{
		nodes: map[string]*node{}, silent: map[string]bool{}, killed: map[string]bool{}, leaving: map[string]bool{}, cpu: map[string]float64{},
		cut: map[[2]string]bool{}, delay: map[string]time.Duration{},
		inFlight: map[string]int{}, maxInFlight: map[string]int{},
	}
	clock, logs := clockwork.NewRealClock(), testkit.NewLogs(t)
	all := fireflypath.Config{Pools: []fireflypath.Pool{cfg}}
	for i := range targets {
		all.Targets = append(all.Targets, fireflypath.Target{
			Name: fmt.Sprintf("t%d", i), Pool: "p", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: slotsPerTarget,
		})
	}
	for i := range daemons {
		d := &node{cluster: c, name: fmt.Sprintf("d%d", i), methods: map[string]peer.Handler{}}
		c.nodes[d.name] = d
		d.dispatch = dispatch.New(d.name, d, d, clock, &testkit.BootClock{Clock: clock}, tally.NoopScope, logs.Logger(d.name), func(p fireflypath.Pool) dispatcher.Scheduler {
			return slots.New(p, 1, tuning)
		})
	}
	for _, d := range c.nodes {
		sched := remote.New(slots.New(cfg, 1, slots.StandaloneTuning()))
		d.pool = pool.New("p", clock, sched, nil)
		d.pool.SetTargets(all.Targets)
		d.dispatch.Apply(&all)
		d.dispatch.AddPool(d.pool, cfg, sched)
	}
	stop := make(chan struct{})
	go c.gossip(stop)
	t.Cleanup(func() {
		close(stop)
		for _, d := range c.nodes {
			d.pool.Close(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
			d.dispatch.Close()
		}
		c.calls.Wait()
	})
	return c
}

// gossip sends each daemon the in-flight work of the others.
func (c *cluster) gossip(stop <-chan struct{}) {
	t := time.NewTicker(30 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for _, d := range c.nodes {
			var peers []fireflypath.PeerLoad
			for _, o := range c.nodes {
				if o != d && !c.isKilled(o.name) {
					m := fireflypath.NewPeerLoad(o.name)
					o.pool.Report(&m)
					m.PartialView = m.PartialView || o.dispatch.HasPartialView()
					peers = append(peers, m)
				}
			}
			d.pool.UpdatePeers(peers)
			d.dispatch.UpdatePeers(peers)
		}
	}
}

func (c *cluster) isKilled(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.killed[name]
}

// send has a daemon serve a request that occupies a target for the given time. It reports
// whether the request was placed.
func (c *cluster) send(d *node, id string, duration time.Duration) bool {
	now := time.Now()
	r := &request.Request{
		Work: fireflypath.Work{
			ID: id, Rank: 1, Pool: "p", Weight: 1, Arrived: now, Deadline: now.Add(10 * time.Second),
			Goal: now.Add(time.Second), PatienceEnds: now.Add(4 * time.Second), Cost: fireflypath.Cost{Prompt: 100, MaxOutput: 10},
		},
		Config: &fireflypath.Config{}, WaitResult: make(chan request.WaitResult, 1),
	}
	r.Owner = d.pool
	if err := d.pool.Wait(context.Background(), r); err != nil {
		return false
	}
	name := r.Target.Name
	c.mu.Lock()
	c.inFlight[name]++
	c.maxInFlight[name] = max(c.maxInFlight[name], c.inFlight[name])
	c.mu.Unlock()
	time.Sleep(duration / 2)
	d.pool.Notify(r, fireflypath.EventFirstOutput, -1)
	time.Sleep(duration / 2)
	c.mu.Lock()
	c.inFlight[name]--
	c.mu.Unlock()
	d.pool.Notify(r, fireflypath.EventDone, -1)
	return true
}

// burst sends requests to each daemon that is not killed and returns how many were placed.
func (c *cluster) burst(perDaemon int, duration time.Duration) int {
	var wg sync.WaitGroup
	var placed atomic.Int32
	for _, d := range c.nodes {
		if c.isKilled(d.name) {
			continue
		}
		for i := range perDaemon {
			wg.Go(func() {
				if c.send(d, fmt.Sprintf("%s-%d", d.name, i), duration) {
					placed.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return int(placed.Load())
}

// All daemons receive a burst at once. No target may exceed its slots, and none may stay
// idle: the requests are served in the smallest number of rounds.
func TestBurstAtAllDaemonsExceedsNoTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := start(t, 4, 2)
		time.Sleep(time.Second)
		began := time.Now()
		is.Equal(c.burst(6, 200*time.Millisecond), 24)
		is.True(time.Since(began) < 1100*time.Millisecond) // four rounds of six
		for _, most := range c.maxInFlight {
			is.Equal(most, slotsPerTarget)
		}
	})
}

// The dispatcher is killed or hangs during a burst. The other daemons must continue within
// a fraction of a second and serve all their requests.
func TestDispatcherLostDuringBurst(t *testing.T) {
	for _, how := range []string{"killed", "silent"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := start(t, 4, 4)
				time.Sleep(time.Second)
				go func() {
					time.Sleep(100 * time.Millisecond)
					c.mu.Lock()
					defer c.mu.Unlock()
					if how == "killed" {
						c.killed["d0"] = true
						return
					}
					c.silent["d0"] = true
				}()
				began := time.Now()
				placed := c.burst(9, 200*time.Millisecond)
				if how == "killed" {
					is.True(placed >= 27) // those of the three live daemons
				} else {
					is.Equal(placed, 36)
				}
				is.True(time.Since(began) < 2*time.Second)
			})
		})
	}
}

// The dispatcher is shut down gracefully and announces it. The others must switch to the
// next one without delaying a request.
func TestDispatcherLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := start(t, 3, 2)
		time.Sleep(time.Second)
		go func() {
			time.Sleep(100 * time.Millisecond)
			c.mu.Lock()
			c.leaving["d0"] = true
			c.mu.Unlock()
		}()
		is.Equal(c.burst(8, 200*time.Millisecond), 24)
		for _, most := range c.maxInFlight {
			is.True(most <= slotsPerTarget+1)
		}
	})
}

// All daemons but one are unreachable. That one must place its own work.
func TestIsolatedDaemonSchedulesLocally(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := start(t, 3, 2)
		c.mu.Lock()
		c.killed["d0"], c.killed["d1"] = true, true
		c.mu.Unlock()
		began := time.Now()
		is.True(c.send(c.nodes["d2"], "x", 10*time.Millisecond))
		is.True(time.Since(began) < 500*time.Millisecond)
	})
}

// Two daemons of a cell cannot reach its dispatcher and select another one. Each of the
// two dispatchers has to know what the other placed. Otherwise the targets get twice the
// work they can run, and callers wait in the targets' own queues, which serve the highest
// tier no sooner than the lowest.
func TestTwoDispatchersShareInFlightWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := start(t, 4, 2)
		c.mu.Lock()
		for _, isolated := range []string{"d2", "d3"} {
			c.cut[[2]string{isolated, "d0"}] = true
		}
		c.mu.Unlock()
		time.Sleep(5 * time.Second)
		var wg sync.WaitGroup
		for i := range 6 { // all slots
			wg.Go(func() { is.True(c.send(c.nodes["d1"], fmt.Sprint("near", i), 2*time.Second)) })
		}
		time.Sleep(200 * time.Millisecond)
		for i := range 6 {
			wg.Go(func() { is.True(c.send(c.nodes["d2"], fmt.Sprint("far", i), 200*time.Millisecond)) })
		}
		wg.Wait()
		for _, most := range c.maxInFlight {
			is.Equal(most, slotsPerTarget)
		}
	})
}

// A fleet of several cells shares the three targets of a plain service. With a dispatcher for
// each cell, every target would get its slots' worth of requests from each of them.
func TestServicePoolHasOneDispatcherForAllCells(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		service := fireflypath.Pool{Name: "p", Kind: fireflypath.KindService}
		c := startPool(t, service, slots.ServiceDispatcherTuning(), 30, 3)
		c.mu.Lock()
		c.cpu["d7"] = 0.8
		c.mu.Unlock()
		time.Sleep(time.Second)
		is.True(c.nodes["d0"].Layout().CellCount() > 1)
		is.Equal(c.burst(3, 60*time.Millisecond), 90)
		for _, most := range c.maxInFlight {
			is.True(most <= slotsPerTarget+2) // the slots and half as many again
		}
		for _, name := range []string{"d0", "d7", "d29"} {
			is.Equal(c.nodes[name].dispatch.Candidates("p")[0].Name, "d7") // the host with the most processor time
		}
	})
}

// All daemons start at once and know each other only from records of the earlier run. They
// must agree on the dispatcher before they have heard from each other: with the order of the
// earlier run, each daemon that reports its new start would replace the dispatcher.
func TestStartedTogetherAgreeOnDispatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := start(t, 9, 3)
		c.mu.Lock()
		c.startedAt = 1_000_000
		c.mu.Unlock()
		first := c.nodes["d0"].dispatch.Candidates("p")[0].Name
		for _, d := range c.nodes {
			is.Equal(d.dispatch.Candidates("p")[0].Name, first)
		}
		c.mu.Lock()
		c.confirmed = true // all have reported their new start
		c.mu.Unlock()
		for _, d := range c.nodes {
			is.Equal(d.dispatch.Candidates("p")[0].Name, first)
		}
	})
}
