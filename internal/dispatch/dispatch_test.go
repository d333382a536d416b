package dispatch_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

const slotsEach = 3

var cfg = fireflypath.Pool{Name: "p", Kind: fireflypath.KindEngine, Stride: 3}

// net is a few daemons that call each other without a network.
type net struct {
	mu    sync.Mutex
	nodes map[string]*node
	// silent daemons take calls and never answer; gone ones refuse them.
	silent, gone map[string]bool
	leaving      map[string]bool
	// cut names pairs that do not reach each other.
	cut map[[2]string]bool
	// held counts requests at targets, most the most there were.
	held, most map[string]int
}

type node struct {
	n       *net
	name    string
	methods map[string]peer.Method
	d       *dispatch.Dispatch
	pool    *pool.Pool
}

func (n *node) Handle(method string, m peer.Method) { n.methods[method] = m }

func (n *node) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	n.n.mu.Lock()
	o, gone, silent := n.n.nodes[to.Name], n.n.gone[to.Name] || n.n.gone[n.name], n.n.silent[to.Name]
	gone = gone || n.n.cut[[2]string{n.name, to.Name}] || n.n.cut[[2]string{to.Name, n.name}]
	n.n.mu.Unlock()
	if gone {
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
	time.Sleep(time.Millisecond)
	out, err := o.methods[method](ctx, n.name, b)
	if err != nil {
		return err
	}
	if b, err = json.Marshal(out); err != nil {
		return err
	}
	return json.Unmarshal(b, result)
}

// Live lists the daemons by age: the membership takes seconds to find one dead.
func (n *node) Live() []fireflypath.Member {
	n.n.mu.Lock()
	defer n.n.mu.Unlock()
	var out []fireflypath.Member
	for i := range len(n.n.nodes) {
		name := fmt.Sprintf("d%d", i)
		out = append(out, fireflypath.Member{Name: name, Incarnation: uint64(i + 1), Leaving: n.n.leaving[name]})
	}
	return out
}

func (n *node) Layout() *cell.Layout {
	var names []string
	for _, m := range n.Live() {
		names = append(names, m.Name)
	}
	return cell.New(names)
}

func start(t *testing.T, daemons, targets int) *net {
	t.Helper()
	n := &net{
		nodes: map[string]*node{}, silent: map[string]bool{}, gone: map[string]bool{}, leaving: map[string]bool{},
		cut:  map[[2]string]bool{},
		held: map[string]int{}, most: map[string]int{},
	}
	clock := clockwork.NewRealClock()
	all := fireflypath.Config{Pools: []fireflypath.Pool{cfg}}
	for i := range targets {
		all.Targets = append(all.Targets, fireflypath.Target{
			Name: fmt.Sprintf("t%d", i), Pool: "p", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: slotsEach,
		})
	}
	for i := range daemons {
		d := &node{n: n, name: fmt.Sprintf("d%d", i), methods: map[string]peer.Method{}}
		n.nodes[d.name] = d
		d.d = dispatch.New(d.name, d, d, clock, tally.NoopScope, zap.NewNop(), func(p fireflypath.Pool) dispatcher.Scheduler {
			return slots.New(p, 1, slots.DispatcherTuning())
		})
	}
	for _, d := range n.nodes {
		sched := remote.New(slots.New(cfg, 1, slots.StandaloneTuning()))
		d.pool = pool.New("p", clock, sched, nil)
		d.pool.SetTargets(all.Targets)
		d.d.Apply(&all)
		d.d.Place(d.pool, cfg, sched)
	}
	stop := make(chan struct{})
	go n.gossip(stop)
	t.Cleanup(func() {
		close(stop)
		for _, d := range n.nodes {
			d.pool.Close(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
			d.d.Close()
		}
	})
	return n
}

// gossip has all daemons hear what the others have in flight.
func (n *net) gossip(stop <-chan struct{}) {
	t := time.NewTicker(30 * time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		for _, d := range n.nodes {
			var mates []fireflypath.Mate
			for _, o := range n.nodes {
				if o != d && !n.lost(o.name) {
					m := fireflypath.NewMate(o.name)
					o.pool.Report(&m)
					m.Apart = m.Apart || o.d.Partial()
					mates = append(mates, m)
				}
			}
			d.pool.Hear(mates)
			d.d.UpdatePeers(mates)
		}
	}
}

func (n *net) lost(name string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.gone[name]
}

// send has a daemon serve a request that takes a target for so long; it reports
// whether the request got one.
func (n *net) send(d *node, id string, takes time.Duration) bool {
	now := time.Now()
	r := &request.Request{
		Work: fireflypath.Work{
			ID: id, Rank: 1, Pool: "p", Weight: 1, Arrived: now, Deadline: now.Add(10 * time.Second),
			Goal: now.Add(time.Second), Leaves: now.Add(4 * time.Second), Cost: fireflypath.Cost{Prompt: 100, Output: 10},
		},
		Config: &fireflypath.Config{}, Turn: make(chan request.Turn, 1),
	}
	r.Owner = d.pool
	if err := d.pool.Wait(context.Background(), r); err != nil {
		return false
	}
	name := r.Target.Name
	n.mu.Lock()
	n.held[name]++
	n.most[name] = max(n.most[name], n.held[name])
	n.mu.Unlock()
	time.Sleep(takes / 2)
	d.pool.Tell(r, fireflypath.EventFirst, -1)
	time.Sleep(takes / 2)
	n.mu.Lock()
	n.held[name]--
	n.mu.Unlock()
	d.pool.Tell(r, fireflypath.EventDone, -1)
	return true
}

// burst sends so many requests at each daemon that still runs, and returns how many
// got a target.
func (n *net) burst(each int, takes time.Duration) int {
	var wg sync.WaitGroup
	var served atomic.Int32
	for _, d := range n.nodes {
		if n.lost(d.name) {
			continue
		}
		for i := range each {
			wg.Go(func() {
				if n.send(d, fmt.Sprintf("%s-%d", d.name, i), takes) {
					served.Add(1)
				}
			})
		}
	}
	wg.Wait()
	return int(served.Load())
}

// A burst comes to all daemons at once. No target ever has more than it has slots, and
// none stands idle: all requests are served in as many turns as there are places.
func TestBurstAtAllDaemonsFillsNoTargetTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := start(t, 4, 2)
		time.Sleep(time.Second)
		began := time.Now()
		is.Equal(n.burst(6, 200*time.Millisecond), 24)
		is.True(time.Since(began) < 1100*time.Millisecond) // four turns of six
		for _, most := range n.most {
			is.Equal(most, slotsEach)
		}
	})
}

// The daemon that decides for all is killed in the middle of a burst, or stands still
// and answers nothing. The others go on within a fraction of a second, and every
// request of theirs is served.
func TestDispatcherIsLostInABurst(t *testing.T) {
	for _, how := range []string{"killed", "silent"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := start(t, 4, 4)
				time.Sleep(time.Second)
				go func() {
					time.Sleep(100 * time.Millisecond)
					n.mu.Lock()
					defer n.mu.Unlock()
					if how == "killed" {
						n.gone["d0"] = true
						return
					}
					n.silent["d0"] = true
				}()
				began := time.Now()
				served := n.burst(9, 200*time.Millisecond)
				if how == "killed" {
					is.True(served >= 27) // those of the three that live
				} else {
					is.Equal(served, 36)
				}
				is.True(time.Since(began) < 2*time.Second)
			})
		})
	}
}

// The daemon that decides for all is stopped as planned. It says so, and the others
// turn to the next one without a request that waits for longer.
func TestDispatcherThatLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := start(t, 3, 2)
		time.Sleep(time.Second)
		go func() {
			time.Sleep(100 * time.Millisecond)
			n.mu.Lock()
			n.leaving["d0"] = true
			n.mu.Unlock()
		}()
		is.Equal(n.burst(8, 200*time.Millisecond), 24)
		for _, most := range n.most {
			is.True(most <= slotsEach+1)
		}
	})
}

// All daemons but one are out of reach. It decides for itself.
func TestDaemonAloneDecides(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := start(t, 3, 2)
		n.mu.Lock()
		n.gone["d0"], n.gone["d1"] = true, true
		n.mu.Unlock()
		began := time.Now()
		is.True(n.send(n.nodes["d2"], "x", 10*time.Millisecond))
		is.True(time.Since(began) < 500*time.Millisecond)
	})
}

// Two daemons of a group do not reach the one that decides for all, and another one
// decides for them. Each of the two has to know what the other placed: the targets
// would get twice what they can run, and callers would wait in line there, where the
// highest tier is served no sooner than the lowest.
func TestTwoDispatchersKnowOfEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := start(t, 4, 2)
		n.mu.Lock()
		for _, far := range []string{"d2", "d3"} {
			n.cut[[2]string{far, "d0"}] = true
		}
		n.mu.Unlock()
		time.Sleep(5 * time.Second)
		var wg sync.WaitGroup
		for i := range 6 { // all places
			wg.Go(func() { is.True(n.send(n.nodes["d1"], fmt.Sprint("near", i), 2*time.Second)) })
		}
		time.Sleep(200 * time.Millisecond)
		for i := range 6 {
			wg.Go(func() { is.True(n.send(n.nodes["d2"], fmt.Sprint("far", i), 200*time.Millisecond)) })
		}
		wg.Wait()
		for _, most := range n.most {
			is.Equal(most, slotsEach)
		}
	})
}
