package quarantine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/keeper"
	decide "github.com/fireflypath/fireflypath/internal/decide/quarantine"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/quarantine"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

const (
	deadly  = digest.Digest(1)
	healthy = digest.Digest(2)
	// stepTime is between two steps of all daemons; a beat crosses one connection in it.
	stepTime = 50 * time.Millisecond
	// knownIn is how soon after the third target has ended all daemons have to know.
	knownIn = 3 * time.Second
	// degree is how many others each daemon has a connection with.
	degree = 6
)

// fleet joins daemons by calls and beats without a network.
type fleet struct {
	t       *testing.T
	is      *is.I
	clock   *clockwork.FakeClock
	store   *testkit.MapStore
	daemons []*daemon
	calls   atomic.Int32
	// dead daemons are out of reach; seen is what the store held when it was last read.
	dead map[string]bool
	seen map[string]fireflypath.Entry
}

// daemon stands for a daemon's endpoint and its membership.
type daemon struct {
	f      *fleet
	name   string
	q      *quarantine.Quarantine
	method peer.Method
	source peer.Source
	sink   peer.Sink
	up     func(fireflypath.Member)
}

func (d *daemon) Handle(_ string, m peer.Method)    { d.method = m }
func (d *daemon) AddSource(s peer.Source)           { d.source = s }
func (d *daemon) AddSink(s peer.Sink)               { d.sink = s }
func (d *daemon) AddUp(up func(fireflypath.Member)) { d.up = up }
func (d *daemon) Flush()                            {}

func (d *daemon) Call(ctx context.Context, to fireflypath.Member, _ string, params, _ any) error {
	d.f.calls.Add(1)
	if d.f.dead[to.Name] || d.f.dead[d.name] {
		return peer.ErrUnreachable
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = d.f.find(to.Name).method(ctx, d.name, b)
	return err
}

func (d *daemon) Live() []fireflypath.Member {
	var out []fireflypath.Member
	for _, o := range d.f.daemons {
		out = append(out, fireflypath.Member{Name: o.name})
	}
	return out
}

func (f *fleet) find(name string) *daemon {
	for _, d := range f.daemons {
		if d.name == name {
			return d
		}
	}
	f.t.Fatalf("no daemon %s", name)
	return nil
}

func newFleet(t *testing.T, n int) *fleet {
	t.Helper()
	clock := clockwork.NewFakeClock()
	f := &fleet{
		t: t, is: is.New(t), clock: clock, store: testkit.NewMapStore(clock),
		dead: map[string]bool{}, seen: map[string]fireflypath.Entry{},
	}
	f.start(n)
	return f
}

// start starts all daemons, with no memory of their own.
func (f *fleet) start(n int) {
	f.daemons, f.seen = nil, map[string]fireflypath.Entry{}
	for i := range n {
		d := &daemon{f: f, name: fmt.Sprint("d", i)}
		d.q = quarantine.New(decide.Config{MinCrashes: 3, HoldTime: time.Hour}, quarantine.Deps{
			Self: d.name, Peers: d, Members: d, Store: f.store, PoolSize: func(string) int { return 12 },
			Clock: f.clock, Scope: tally.NoopScope, Log: zap.NewNop(),
		})
		f.daemons = append(f.daemons, d)
	}
}

// step has all daemons make a step and a beat to their neighbours, and tells them what
// changed in the store.
func (f *fleet) step() {
	f.clock.Advance(stepTime)
	for _, d := range f.daemons {
		if !f.dead[d.name] {
			d.q.Step(f.t.Context())
			d.q.Save(f.t.Context())
		}
	}
	for i, d := range f.daemons {
		for k := range degree {
			o := f.daemons[(i+1+k*k*7)%len(f.daemons)]
			f.beat(d, o)
			f.beat(o, d)
		}
	}
	f.follow()
}

func (f *fleet) beat(from, to *daemon) {
	if from == to || f.dead[from.name] || f.dead[to.name] {
		return
	}
	var b peer.Beat
	from.source(to.name, &b)
	to.sink(from.name, &b)
}

// follow brings all daemons what changed in the store.
func (f *fleet) follow() {
	now := map[string]fireflypath.Entry{}
	var changes []fireflypath.Entry
	for _, e := range f.store.Snapshot() {
		now[e.Key] = e
		if f.seen[e.Key].Revision != e.Revision {
			changes = append(changes, e)
		}
	}
	for key := range f.seen {
		if _, ok := now[key]; !ok {
			changes = append(changes, fireflypath.Entry{Key: key, Deleted: true})
		}
	}
	f.seen = now
	for _, e := range changes {
		for _, d := range f.daemons {
			if !f.dead[d.name] {
				d.q.ApplyStoreEntry(e)
			}
		}
	}
}

// run makes steps until a condition is true, and returns whether it was in time.
func (f *fleet) run(done func() bool) bool {
	for range int(knownIn / stepTime) {
		f.step()
		if done() {
			return true
		}
	}
	return false
}

func target(name string) fireflypath.Target { return fireflypath.Target{Name: name, Pool: "p"} }

// end has a target end under a request of a daemon.
func (f *fleet) end(d *daemon, work digest.Digest, name string) {
	began := f.clock.Now()
	f.clock.Advance(stepTime)
	d.q.TargetCrashed(work, target(name), began)
	f.step()
}

// held counts the daemons that hold the request.
func (f *fleet) held(work digest.Digest) int {
	n := 0
	for _, d := range f.daemons {
		if _, held := d.q.Held(work); held && !f.dead[d.name] {
			n++
		}
	}
	return n
}

func (f *fleet) all() bool { return f.held(deadly) == len(f.daemons)-len(f.dead) }

// Each daemon sees one of the targets that a request ends, in fleets of any size. One
// that is not told sends it to the next target.
func TestAllDaemonsHoldARequestThatEndsTargets(t *testing.T) {
	for _, n := range []int{1, 2, 9, 64, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			for i := range 3 {
				f.end(f.daemons[i*(n-1)/2], deadly, fmt.Sprint("t", i))
			}
			f.is.True(f.run(f.all))
			f.is.Equal(f.held(healthy), 0)
			f.is.True(f.calls.Load() <= 3*2) // one report of each daemon to each keeper
			left, _ := f.daemons[0].q.Held(deadly)
			f.is.True(left > 59*time.Minute && left <= time.Hour)
		})
	}
}

// The daemon that decides is lost with what it was told.
func TestLostKeeperIsReplaced(t *testing.T) {
	f := newFleet(t, 9)
	for i := range 3 {
		f.end(f.daemons[i], deadly, fmt.Sprint("t", i))
		if i == 1 {
			f.dead[keeper.Of(f.daemons[0].Live(), 1)[0].Name] = true
		}
	}
	f.is.True(f.run(f.all))
}

// All daemons lose power at once. They would need three more targets to know.
func TestHeldRequestOutlivesAllDaemons(t *testing.T) {
	f := newFleet(t, 9)
	for i := range 3 {
		f.end(f.daemons[i], deadly, fmt.Sprint("t", i))
	}
	f.is.True(f.run(f.all))
	f.is.True(f.run(func() bool { return len(f.store.Snapshot()) == 1 }))
	f.is.Equal(f.store.Calls("put"), 1) // one daemon writes, once

	f.start(9)
	f.follow()
	f.is.True(f.all())
}

// The store is away while a request ends targets: the daemons tell each other, and what
// they know is written when the store is back.
func TestStoreAwayHoldsAllTheSame(t *testing.T) {
	f := newFleet(t, 9)
	f.store.SetFault(func(string, string) testkit.Fault { return testkit.Fault{Before: fireflypath.ErrUnavailable} })
	for i := range 3 {
		f.end(f.daemons[i], deadly, fmt.Sprint("t", i))
	}
	f.is.True(f.run(f.all))
	f.store.SetFault(nil)
	f.is.True(f.run(func() bool { return len(f.store.Snapshot()) == 1 }))
}

// Work that many callers ask for was on every target of a failure domain that is lost,
// one after the other. It is served elsewhere all the while, by another daemon.
func TestHotRequestIsHeldNowhere(t *testing.T) {
	for _, late := range []bool{false, true} {
		t.Run(fmt.Sprint(late), func(t *testing.T) {
			f := newFleet(t, 9)
			serve := func() { f.daemons[8].q.Served(healthy, target("other"), f.clock.Now()) }
			if !late {
				serve()
			}
			for i := range 6 {
				f.end(f.daemons[i%3], healthy, fmt.Sprint("t", i))
				if late {
					serve() // what runs when it becomes a suspect is answered
				}
				f.is.Equal(f.held(healthy), 0)
			}
			f.is.True(!f.run(func() bool { return f.held(healthy) > 0 }))
		})
	}
}

// A daemon's connections to healthy targets are reset: they answer what comes next.
func TestResetConnectionsAreNoEnds(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.end(f.daemons[0], healthy, fmt.Sprint("t", i))
		f.clock.Advance(stepTime)
		f.daemons[0].q.Served(digest.Digest(10+i), target(fmt.Sprint("t", i)), f.clock.Now())
	}
	f.is.True(!f.run(func() bool { return f.held(healthy) > 0 }))
}

// An operator has mended what the request ran into.
func TestReleasedRequestRunsAgain(t *testing.T) {
	for _, way := range []string{"daemon", "store"} {
		t.Run(way, func(t *testing.T) {
			f := newFleet(t, 9)
			for i := range 3 {
				f.end(f.daemons[i], deadly, fmt.Sprint("t", i))
			}
			f.is.True(f.run(func() bool { return f.all() && len(f.store.Snapshot()) == 1 }))
			f.is.Equal(len(f.daemons[4].q.List()), 1)
			if way == "daemon" {
				f.is.True(f.daemons[4].q.Release(deadly))
				f.is.True(!f.daemons[4].q.Release(deadly))
			} else {
				f.is.NoErr(f.store.Delete(t.Context(), quarantine.Prefix+deadly.String(), fireflypath.AnyRevision))
			}
			f.is.True(f.run(func() bool { return f.held(deadly) == 0 && len(f.store.Snapshot()) == 0 }))
			f.is.True(!f.run(func() bool { return f.held(deadly) > 0 })) // and stays so
		})
	}
}

// Reports fail for a while, and are made again until they arrive.
func TestReportsAreMadeAgain(t *testing.T) {
	f := newFleet(t, 9)
	for _, d := range f.daemons {
		f.dead[d.name] = true
	}
	f.dead["d0"] = false
	for i := range 3 {
		f.end(f.daemons[0], deadly, fmt.Sprint("t", i))
	}
	f.dead = map[string]bool{}
	f.is.True(f.run(f.all))
}

// Other programs write under the prefix.
func TestStrangeEntriesAreNotUsed(t *testing.T) {
	f := newFleet(t, 1)
	for _, e := range []fireflypath.Entry{
		{Key: quarantine.Prefix + "x"},
		{Key: quarantine.Prefix + deadly.String(), Value: []byte("{")},
		{Key: quarantine.Prefix + deadly.String(), Deleted: true},
	} {
		f.daemons[0].q.ApplyStoreEntry(e)
	}
	f.is.Equal(f.held(deadly), 0)
	f.is.Equal(len(f.daemons[0].q.List()), 0)
}

// BenchmarkServed is what an answer costs, BenchmarkRefused what a request does.
func BenchmarkServed(b *testing.B) {
	q := alone()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Served(digest.Digest(i%10000), target("t"), time.Time{})
	}
}

func BenchmarkRefused(b *testing.B) {
	q := alone()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, held := q.Held(digest.Digest(i)); held {
			b.Fatal("held")
		}
	}
}

func alone() *quarantine.Quarantine {
	return quarantine.New(decide.Config{MinCrashes: 3, HoldTime: time.Hour}, quarantine.Deps{
		Self: "d", PoolSize: func(string) int { return 12 }, Clock: clockwork.NewRealClock(), Scope: tally.NoopScope, Log: zap.NewNop(),
	})
}

// BenchmarkBytes tells what one report and one change of the list are on the wire.
func BenchmarkBytes(b *testing.B) {
	var report, beat int
	for b.Loop() {
		f := &fleet{clock: clockwork.NewFakeClock()}
		got := f.single(&report)
		got.q.TargetCrashed(deadly, target("i-0123456789"), f.clock.Now())
		got.q.Step(b.Context())
		var m peer.Beat
		got.q.ApplyStoreEntry(fireflypath.Entry{Key: quarantine.Prefix + deadly.String(), Value: []byte(`{"pool":"pool-name","until":1796288695573,"targets":3,"times":1,"number":2}`)})
		got.source("d1", &m)
		text, err := json.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		beat = len(text)
	}
	b.ReportMetric(float64(report), "B/report")
	b.ReportMetric(float64(beat), "B/change")
}

// BenchmarkMemory tells what a full memory of answers holds.
func BenchmarkMemory(b *testing.B) {
	const answers = 2 * 16384
	b.ReportAllocs()
	for b.Loop() {
		q := alone()
		for i := range answers {
			q.Served(digest.Digest(i), target("t"), time.Time{})
		}
	}
}

// single is one daemon whose reports to another are measured.
func (f *fleet) single(report *int) *daemon {
	d := &daemon{f: f, name: "d0"}
	d.q = quarantine.New(decide.Config{MinCrashes: 3, HoldTime: time.Hour}, quarantine.Deps{
		Self: "d0", Peers: &measured{daemon: d, bytes: report}, Members: d, PoolSize: func(string) int { return 12 },
		Clock: f.clock, Scope: tally.NoopScope, Log: zap.NewNop(),
	})
	f.daemons = []*daemon{d, {f: f, name: "d1"}}
	return d
}

// measured notes how long a report is.
type measured struct {
	*daemon
	bytes *int
}

func (m *measured) Call(_ context.Context, _ fireflypath.Member, _ string, params, _ any) error {
	b, err := json.Marshal(params)
	*m.bytes = len(b)
	return err
}

// The store takes calls and answers none. Daemons that wait for it report nothing
// meanwhile, and the request ends one target after the other.
func TestSilentStoreHoldsUpNoReport(t *testing.T) {
	clock := clockwork.NewRealClock()
	silent := &silentStore{called: make(chan struct{}, 1), end: make(chan struct{})}
	q := quarantine.New(decide.Config{MinCrashes: 2, HoldTime: time.Hour}, quarantine.Deps{
		Self: "d", Store: silent, PoolSize: func(string) int { return 12 }, Clock: clock, Scope: tally.NoopScope, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = q.Run(ctx)
	}()
	end := func(work digest.Digest, name string) {
		began := clock.Now()
		time.Sleep(stepTime)
		q.TargetCrashed(work, target(name), began)
	}
	for i := range 5 {
		end(deadly, fmt.Sprint("t", i))
	}
	<-silent.called // it is held, and being saved
	end(healthy, "t5")
	end(healthy, "t6")
	for len(q.List()) < 2 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	close(silent.end)
	<-ended
}

// silentStore answers no write before its end.
type silentStore struct {
	fireflypath.Store
	called, end chan struct{}
}

func (s *silentStore) Put(ctx context.Context, _ string, _ []byte, _ uint64, _ fireflypath.LeaseID) (uint64, error) {
	select {
	case s.called <- struct{}{}:
	default:
	}
	<-s.end
	return 0, ctx.Err()
}
