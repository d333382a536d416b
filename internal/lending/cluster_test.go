package lending_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/dispatch"
	"github.com/fireflypath/fireflypath/internal/lending"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/route/pool"
	"github.com/fireflypath/fireflypath/internal/route/request"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

const (
	slotsPerTarget = 4
	// detectionTime is how long a dead daemon stays a member.
	detectionTime = 2 * time.Second
	// requestTime is how long a target takes for a request.
	requestTime = 400 * time.Millisecond
)

var engines = fireflypath.Pool{Name: "p", Kind: fireflypath.KindEngine, Stride: 3}

// cluster is the daemons of several cells, which call each other without a network, and their targets.
type cluster struct {
	t       *testing.T
	logs    *testkit.Logs
	lends   bool
	mu      sync.Mutex
	nodes   map[string]*node
	targets []fireflypath.Target
	// killed holds when daemons were killed. Calls of and to delayed ones are late by the given time.
	killed map[string]time.Time
	delay  map[string]time.Duration
	// cut reports whether two daemons cannot reach each other.
	cut func(a, b string) bool
	// running counts the requests at each target, mostRunning is its highest value.
	running, mostRunning map[string]int
	// arrivals holds when requests reached each target, by cell.
	arrivals map[string][]arrival
	bytes    int
	messages int
	// live and layout are the present members and their cells. They change only as a whole, as those of
	// package member do.
	live      []fireflypath.Member
	layout    *cell.Layout
	allCells  *cell.Layout
	lastFleet *cell.Layout
	calls     sync.WaitGroup
}

type arrival struct {
	at   time.Time
	cell int
	rank int
}

type node struct {
	c        *cluster
	name     string
	methods  map[string]peer.Handler
	dispatch *dispatch.Dispatch
	pool     *pool.Pool
	stopped  chan struct{}
}

func (n *node) Handle(method string, m peer.Handler) { n.methods[method] = m }

func (n *node) Call(ctx context.Context, to fireflypath.Member, method string, params, result any) error {
	n.c.mu.Lock()
	receiver := n.c.nodes[to.Name]
	_, dead := n.c.killed[to.Name]
	_, selfDead := n.c.killed[n.name]
	unreachable := dead || selfDead || n.c.cut != nil && n.c.cut(n.name, to.Name)
	delay := 2*time.Millisecond + n.c.delay[n.name] + n.c.delay[to.Name]
	n.c.mu.Unlock()
	if unreachable || receiver == nil {
		return peer.ErrUnreachable
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer := make(chan callResult, 1)
	n.c.calls.Go(func() {
		time.Sleep(delay)
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
		out, err := json.Marshal(a.out)
		if err != nil {
			return err
		}
		if method == "lend" {
			n.c.mu.Lock()
			n.c.messages++
			n.c.bytes += len(b) + len(out)
			n.c.mu.Unlock()
		}
		return json.Unmarshal(out, result)
	}
}

type callResult struct {
	out any
	err error
}

// Live lists the daemons that are not known to be dead. The number in its name is the order in which a
// daemon started.
func (n *node) Live() []fireflypath.Member {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.live
}

func (n *node) Layout() *cell.Layout {
	n.c.mu.Lock()
	defer n.c.mu.Unlock()
	return n.c.layout
}

// updateFleet removes daemons that have been dead for long.
func (c *cluster) updateFleet() {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []fireflypath.Member
	var names []string
	for i := range len(c.nodes) {
		name := fmt.Sprint("d", i)
		if at, dead := c.killed[name]; dead && time.Since(at) > detectionTime {
			continue
		}
		live = append(live, fireflypath.Member{Name: name, Incarnation: uint64(i+1) * 10_000})
		names = append(names, name)
	}
	if len(live) == len(c.live) {
		return
	}
	slices.SortFunc(live, func(a, b fireflypath.Member) int { return strings.Compare(a.Name, b.Name) })
	c.live, c.layout = live, cell.New(names)
	if c.allCells == nil {
		c.allCells = c.layout
	}
}

// start starts the daemons of a fleet, all at once.
func start(t *testing.T, daemons, targets int, lends bool) *cluster {
	t.Helper()
	c := &cluster{
		t: t, logs: testkit.NewLogs(t), lends: lends, nodes: map[string]*node{}, killed: map[string]time.Time{}, delay: map[string]time.Duration{},
		running: map[string]int{}, mostRunning: map[string]int{}, arrivals: map[string][]arrival{},
	}
	for i := range targets {
		c.targets = append(c.targets, fireflypath.Target{
			Name: fmt.Sprintf("t%02d", i), Pool: "p", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: slotsPerTarget,
		})
	}
	for i := range daemons {
		c.nodes[fmt.Sprint("d", i)] = &node{c: c, name: fmt.Sprint("d", i), methods: map[string]peer.Handler{}, stopped: make(chan struct{})}
	}
	c.updateFleet()
	ctx, cancel := context.WithCancel(context.Background())
	var background sync.WaitGroup
	var starts []func()
	for _, d := range c.nodes {
		starts = append(starts, c.newNode(ctx, &background, d))
	}
	for _, start := range starts { // all have registered their methods
		start()
	}
	c.updateShares()
	background.Go(func() { c.gossip(ctx) })
	t.Cleanup(func() {
		cancel()
		for _, d := range c.nodes {
			d.pool.Close(fireflypath.Refusal{Code: fireflypath.ReasonStopping})
			d.dispatch.Close()
		}
		background.Wait()
		c.calls.Wait()
	})
	return c
}

// newNode creates a daemon and returns what starts it.
func (c *cluster) newNode(ctx context.Context, background *sync.WaitGroup, d *node) (start func()) {
	clock := clockwork.NewRealClock()
	alone, shared := slots.StandaloneTuning(), slots.DispatcherTuning()
	alone.UseTargetReports, alone.Lend, shared.Lend = true, c.lends, c.lends
	d.dispatch = dispatch.New(d.name, d, d, clock, &testkit.BootClock{Clock: clock}, tally.NoopScope, c.logs.Logger(d.name), func(p fireflypath.Pool) dispatcher.Scheduler {
		return slots.New(p, 1, shared)
	})
	l := lending.New(d.name, d, d.dispatch, clock, tally.NoopScope, c.logs.Logger(d.name))
	sched := remote.New(slots.New(engines, 1, alone))
	d.pool = pool.New("p", clock, sched, nil)
	d.pool.SetTargets(c.targets)
	d.dispatch.Apply(&fireflypath.Config{Pools: []fireflypath.Pool{engines}, Targets: c.targets})
	return func() {
		d.dispatch.AddPool(d.pool, engines, sched)
		background.Go(func() {
			lendCtx, cancel := context.WithCancel(ctx)
			defer cancel()
			go func() {
				select {
				case <-d.stopped:
					cancel()
				case <-lendCtx.Done():
				}
			}()
			l.Run(lendCtx)
		})
	}
}

// isCut reports whether two daemons cannot reach each other.
func (c *cluster) isCut(a, b string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cut != nil && c.cut(a, b)
}

// traffic returns the number of requests for slots that were answered, and their bytes.
func (c *cluster) traffic() (messages, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.messages, c.bytes
}

// updateShares tells the daemons their targets if the fleet has changed.
func (c *cluster) updateShares() {
	c.updateFleet()
	layout := c.nodes["d0"].Layout()
	if layout == c.lastFleet {
		return
	}
	c.lastFleet = layout
	var names []string
	for _, t := range c.targets {
		names = append(names, t.Name)
	}
	for _, d := range c.nodes {
		assigned, peers := layout.AssignedTargets(d.name, names)
		share := fireflypath.Share{Fractions: map[string]float64{}, Senders: len(peers), Index: slices.Index(peers, d.name), UnknownSenders: len(peers) > len(layout.Members(d.name))}
		for _, t := range assigned {
			share.Fractions[t] = 1
		}
		d.pool.SetShare(share)
		d.dispatch.SetShare("p", share)
	}
}

// gossip exchanges reports within the cells and applies changes of the fleet.
func (c *cluster) gossip(ctx context.Context) {
	ticker := time.NewTicker(30 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.updateShares()
		layout := c.nodes["d0"].Layout()
		for _, d := range c.nodes {
			var peers []fireflypath.PeerLoad
			for _, name := range layout.Members(d.name) {
				o := c.nodes[name]
				if o == d || c.isKilled(name) || c.isCut(d.name, name) {
					continue
				}
				m := fireflypath.NewPeerLoad(name)
				o.pool.Report(&m)
				m.PartialView = m.PartialView || o.dispatch.HasPartialView()
				peers = append(peers, m)
			}
			d.pool.UpdatePeers(peers)
			d.dispatch.UpdatePeers(peers)
		}
	}
}

func (c *cluster) isKilled(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, dead := c.killed[name]
	return dead
}

// kill ends a daemon: it sends nothing more, and targets end its work.
func (c *cluster) kill(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed[name] = time.Now()
	close(c.nodes[name].stopped)
}

// drain has targets leave, as their registrations say.
func (c *cluster) drain(names map[string]bool) {
	list := slices.Clone(c.targets)
	for i := range list {
		list[i].Drained = names[list[i].Name]
	}
	for _, d := range c.nodes {
		d.pool.SetTargets(list)
		d.dispatch.Apply(&fireflypath.Config{Pools: []fireflypath.Pool{engines}, Targets: list})
	}
}

// send has a daemon serve a request. It reports whether it was served.
func (c *cluster) send(d *node, id string, rank int) bool {
	now := time.Now()
	r := &request.Request{
		Work: fireflypath.Work{
			ID: id, Rank: rank, Pool: "p", Weight: 1, Arrived: now, Deadline: now.Add(10 * time.Second),
			Goal: now.Add(time.Second), PatienceEnds: now.Add(4 * time.Second), Cost: fireflypath.Cost{Prompt: 100, MaxOutput: 10}, ExpectedOutput: 10,
		},
		Config: &fireflypath.Config{}, WaitResult: make(chan request.WaitResult, 1),
	}
	r.Owner = d.pool
	if err := d.pool.Wait(context.Background(), r); err != nil || c.isKilled(d.name) {
		return false
	}
	name := r.Target.Name
	c.mu.Lock()
	c.running[name]++
	c.mostRunning[name] = max(c.mostRunning[name], c.running[name])
	c.arrivals[name] = append(c.arrivals[name], arrival{time.Now(), c.cellOf(d.name), rank})
	c.mu.Unlock()
	served := c.run(d, requestTime/2)
	if served {
		c.mu.Lock()
		running := c.running[name]
		c.mu.Unlock()
		d.pool.Observe(fireflypath.Event{Kind: fireflypath.EventReport, Target: name, Cached: -1, Report: fireflypath.Report{Running: running}})
		d.pool.Notify(r, fireflypath.EventFirstOutput, -1)
		served = c.run(d, requestTime/2)
	}
	c.mu.Lock()
	c.running[name]--
	c.mu.Unlock()
	if served {
		d.pool.Notify(r, fireflypath.EventDone, -1)
	}
	return served
}

// run waits until the work of a daemon has run for some time. It reports false if the daemon was killed.
func (c *cluster) run(d *node, duration time.Duration) bool {
	select {
	case <-d.stopped:
		return false
	case <-time.After(duration):
		return true
	}
}

// cellOf returns the cell of a daemon in the layout of all daemons. The caller may hold mu.
func (c *cluster) cellOf(name string) int { return c.allCells.ID(name) }

// cells returns the daemons of each cell in the order in which they become dispatcher, by cell.
func (c *cluster) cells() map[int][]*node {
	out := map[int][]*node{}
	for i := range len(c.nodes) {
		d := c.nodes[fmt.Sprint("d", i)]
		id := c.cellOf(d.name)
		out[id] = append(out[id], d)
	}
	return out
}

// owners returns the cell of each target.
func (c *cluster) owners() map[string]int {
	var names []string
	for _, t := range c.targets {
		names = append(names, t.Name)
	}
	return c.allCells.Owners(names)
}

// stream sends requests to the daemons of a cell in turn, at an even pace.
type stream struct {
	sent, served atomic.Int32
	wg           sync.WaitGroup
}

func (c *cluster) stream(daemons []*node, perSecond int, rank int, length time.Duration) *stream {
	s := &stream{}
	s.wg.Go(func() {
		for i := range int(float64(perSecond) * length.Seconds()) {
			if d := daemons[i%len(daemons)]; !c.isKilled(d.name) {
				s.sent.Add(1)
				s.wg.Go(func() {
					if c.send(d, fmt.Sprint(d.name, "-", time.Now().UnixNano(), "-", i), rank) {
						s.served.Add(1)
					}
				})
			}
			time.Sleep(time.Second / time.Duration(perSecond))
		}
	})
	return s
}

// checkSlots fails the test if a target had more requests than slots.
func (c *cluster) checkSlots() {
	c.t.Helper()
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, most := range c.mostRunning {
		if most > slotsPerTarget {
			c.t.Errorf("%d requests at once at %s, which has %d slots", most, target, slotsPerTarget)
		}
	}
}

// borrowedSince returns how many requests reached targets of a cell from other cells since the given
// time.
func (c *cluster) borrowedSince(owner int, from time.Time) int {
	owners, n := c.owners(), 0
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, all := range c.arrivals {
		for _, a := range all {
			if owners[target] == owner && a.cell != owner && !a.at.Before(from) {
				n++
			}
		}
	}
	return n
}
