package member_test

import (
	"context"
	"fmt"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/member"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/spread"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// daemon is the control part of one daemon on an in-memory network.
type daemon struct {
	name    string
	members *member.Membership
	peers   *peer.Endpoint
	configs *configuration.Registry
	scope   tally.TestScope
	clock   *pausable
	cancel  context.CancelFunc
	done    sync.WaitGroup
}

// fleet runs daemons in a synctest bubble and records what all of them see.
type fleet struct {
	t       *testing.T
	net     *testkit.Network
	store   *testkit.MapStore
	seeds   []string
	daemons map[string]*daemon
	starts  uint64
	// always holds names that no daemon may ever lose from its view, once it
	// has joined.
	always map[string]bool
	joined map[string]bool
	last   map[string]uint64
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		t: t, net: testkit.NewNetwork(), store: testkit.NewMapStore(clockwork.NewRealClock()),
		daemons: map[string]*daemon{}, always: map[string]bool{}, joined: map[string]bool{}, last: map[string]uint64{},
	}
	for i := range n {
		f.start(fmt.Sprint("d", i))
	}
	f.await(5*time.Second, "all daemons join", f.agree)
	return f
}

// pausable is a daemon's clock; it stands still while the daemon is paused.
type pausable struct {
	*clockwork.FakeClock
	mu     sync.Mutex
	paused bool
}

func (f *fleet) start(name string) *daemon {
	f.starts++
	d := &daemon{name: name, scope: tally.NewTestScope("", nil)}
	d.clock = &pausable{FakeClock: clockwork.NewFakeClockAt(time.Now())}
	self := fireflypath.Member{
		Name: name, Domain: domain(name), Peer: name + ":1", Incarnation: 1000 * f.starts,
	}
	log := zap.NewNop()
	d.members = member.New(self, f.store, f.seeds, time.Second, d.clock, d.scope, log)
	d.peers = peer.New(f.net.Host(name), nil, d.members.Self, time.Second, d.clock, d.scope, log)
	d.members.Attach(d.peers)
	d.configs = configuration.New(f.store, &fireflypath.Config{}, name, d.clock, d.scope, log)
	s := spread.New(d.configs, d.members, d.peers, log)
	l, err := f.net.Host(name).Listen(self.Peer)
	if err != nil {
		f.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.done.Go(func() { _ = d.peers.Serve(l) })
	d.done.Go(func() { _ = d.members.Run(ctx) })
	d.done.Go(func() { _ = d.configs.Run(ctx) })
	d.done.Go(func() { _ = s.Run(ctx) })
	d.done.Go(func() { d.clock.run(ctx) })
	f.daemons[name] = d
	return d
}

// run moves the clock with the bubble's time.
func (p *pausable) run(ctx context.Context) {
	const tick = 50 * time.Millisecond
	for ctx.Err() == nil {
		time.Sleep(tick)
		p.mu.Lock()
		paused := p.paused
		p.mu.Unlock()
		if !paused {
			p.Advance(time.Since(p.Now()))
		}
	}
}

func (f *fleet) pause(name string) {
	f.net.Pause(name)
	f.daemons[name].clock.set(true)
}

func (f *fleet) resume(name string) {
	f.daemons[name].clock.set(false)
	f.net.Resume(name)
}

func (p *pausable) set(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.paused = paused
}

func domain(name string) string { return fmt.Sprint("zone", int(name[len(name)-1])%3) }

// kill ends a daemon without a word.
func (f *fleet) kill(name string) {
	d := f.daemons[name]
	delete(f.daemons, name)
	f.net.Kill(name)
	d.end()
}

func (d *daemon) end() {
	d.clock.set(false)
	d.cancel()
	d.peers.Close()
	d.done.Wait()
}

func (f *fleet) close() {
	for _, d := range f.daemons {
		d.end()
	}
}

func view(d *daemon) string {
	var names []string
	for _, m := range d.members.Live() {
		names = append(names, m.Name)
	}
	return strings.Join(names, " ")
}

func (f *fleet) names() string {
	var names []string
	for n := range f.daemons {
		names = append(names, n)
	}
	sort.Strings(names)
	return strings.Join(names, " ")
}

// agree reports whether all daemons see exactly those that run.
func (f *fleet) agree() bool {
	want := f.names()
	for _, d := range f.daemons {
		if view(d) != want {
			return false
		}
	}
	return true
}

// sample checks the invariants over all daemons at one moment.
func (f *fleet) sample() {
	for n, d := range f.daemons {
		live := map[string]bool{}
		for _, m := range d.members.Live() {
			live[m.Name] = true
		}
		f.joined[n] = f.joined[n] || len(live) >= len(f.daemons)
		for a := range f.always {
			if !live[a] && f.joined[n] {
				f.t.Fatalf("%s lost %s, which was never out of reach of all", n, a)
			}
		}
		g := d.configs.Generation()
		if g < f.last[n] {
			f.t.Fatalf("%s fell from generation %d to %d", n, f.last[n], g)
		}
		f.last[n] = g
	}
}

// pass lets time go by and samples all the while.
func (f *fleet) pass(d time.Duration) {
	const every = 100 * time.Millisecond
	for ; d > 0; d -= every {
		time.Sleep(every)
		f.sample()
	}
}

// await lets time go by until cond holds, and fails after the limit.
func (f *fleet) await(limit time.Duration, what string, cond func() bool) {
	f.t.Helper()
	const every = 50 * time.Millisecond
	for d := time.Duration(0); d <= limit; d += every {
		if cond() {
			return
		}
		time.Sleep(every)
		f.sample()
	}
	for n, d := range f.daemons {
		f.t.Log(n, "sees", view(d), "generation", d.configs.Generation(), "connected", d.peers.Connected())
	}
	f.t.Fatalf("not within %v: %s", limit, what)
}

// counter reads a counter of one daemon.
func counter(d *daemon, name string) int64 {
	for _, c := range d.scope.Snapshot().Counters() {
		if c.Name() == name {
			return c.Value()
		}
	}
	return 0
}
