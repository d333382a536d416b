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
	"github.com/fireflypath/fireflypath/internal/decide/coordinator"
	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/quarantine"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

const (
	poisonRequest = digest.Digest(1)
	healthy       = digest.Digest(2)
	// stepInterval is the time between two steps of all daemons, in which a heartbeat crosses
	// one connection.
	stepInterval = 50 * time.Millisecond
	// spreadTime is the time after the third crash within which all daemons must hold the
	// request.
	spreadTime = 3 * time.Second
	// peersPerDaemon is how many connections each daemon opens.
	peersPerDaemon = 6
)

// fleet connects daemons by direct calls and heartbeats instead of a network.
type fleet struct {
	t       *testing.T
	is      *is.I
	clock   *clockwork.FakeClock
	store   *testkit.MapStore
	daemons []*daemon
	calls   atomic.Int32
	// unreachable daemons take no calls or heartbeats; storeSeen is what the store held when
	// it was last read.
	unreachable map[string]bool
	storeSeen   map[string]fireflypath.Entry
}

// daemon fakes a daemon's peer endpoint and membership.
type daemon struct {
	fleet       *fleet
	name        string
	q           *quarantine.Quarantine
	method      peer.Handler
	source      peer.Source
	sink        peer.Sink
	onConnected func(fireflypath.Member)
}

func (d *daemon) Handle(_ string, m peer.Handler)       { d.method = m }
func (d *daemon) AddSource(s peer.Source)               { d.source = s }
func (d *daemon) AddSink(s peer.Sink)                   { d.sink = s }
func (d *daemon) OnConnect(up func(fireflypath.Member)) { d.onConnected = up }
func (d *daemon) Flush()                                {}

func (d *daemon) Call(ctx context.Context, to fireflypath.Member, _ string, params, _ any) error {
	d.fleet.calls.Add(1)
	if d.fleet.unreachable[to.Name] || d.fleet.unreachable[d.name] {
		return peer.ErrUnreachable
	}
	b, err := json.Marshal(params)
	if err != nil {
		return err
	}
	_, err = d.fleet.find(to.Name).method(ctx, d.name, b)
	return err
}

func (d *daemon) Live() []fireflypath.Member {
	var out []fireflypath.Member
	for _, o := range d.fleet.daemons {
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
		unreachable: map[string]bool{}, storeSeen: map[string]fireflypath.Entry{},
	}
	f.start(n)
	return f
}

// start starts n daemons without state.
func (f *fleet) start(n int) {
	f.daemons, f.storeSeen = nil, map[string]fireflypath.Entry{}
	for i := range n {
		d := &daemon{fleet: f, name: fmt.Sprint("d", i)}
		d.q = quarantine.New(poison.Config{MinCrashes: 3, HoldTime: time.Hour}, quarantine.Deps{
			Self: d.name, Peers: d, Members: d, Store: f.store, PoolSize: func(string) int { return 12 },
			Clock: f.clock, Scope: tally.NoopScope, Log: zap.NewNop(),
		})
		f.daemons = append(f.daemons, d)
	}
}

// step advances the clock, lets all daemons step, save and exchange heartbeats, and delivers
// store changes.
func (f *fleet) step() {
	f.clock.Advance(stepInterval)
	for _, d := range f.daemons {
		if !f.unreachable[d.name] {
			d.q.Step(f.t.Context())
			d.q.Save(f.t.Context())
		}
	}
	for i, d := range f.daemons {
		for k := range peersPerDaemon {
			o := f.daemons[(i+1+k*k*7)%len(f.daemons)]
			f.sendHeartbeat(d, o)
			f.sendHeartbeat(o, d)
		}
	}
	f.deliverStoreChanges()
}

func (f *fleet) sendHeartbeat(from, to *daemon) {
	if from == to || f.unreachable[from.name] || f.unreachable[to.name] {
		return
	}
	var b peer.Heartbeat
	from.source(to.name, &b)
	to.sink(from.name, &b)
}

// deliverStoreChanges tells all daemons what changed in the store.
func (f *fleet) deliverStoreChanges() {
	now := map[string]fireflypath.Entry{}
	var changes []fireflypath.Entry
	for _, e := range f.store.Snapshot() {
		now[e.Key] = e
		if f.storeSeen[e.Key].Revision != e.Revision {
			changes = append(changes, e)
		}
	}
	for key := range f.storeSeen {
		if _, ok := now[key]; !ok {
			changes = append(changes, fireflypath.Entry{Key: key, Deleted: true})
		}
	}
	f.storeSeen = now
	for _, e := range changes {
		for _, d := range f.daemons {
			if !f.unreachable[d.name] {
				d.q.ApplyStoreEntry(e)
			}
		}
	}
}

// stepUntil steps until the condition is true, and reports whether it was within spreadTime.
func (f *fleet) stepUntil(done func() bool) bool {
	for range int(spreadTime / stepInterval) {
		f.step()
		if done() {
			return true
		}
	}
	return false
}

func target(name string) fireflypath.Target { return fireflypath.Target{Name: name, Pool: "p"} }

// crashTarget makes a target crash while it runs a daemon's request.
func (f *fleet) crashTarget(d *daemon, request digest.Digest, name string) {
	sent := f.clock.Now()
	f.clock.Advance(stepInterval)
	d.q.TargetCrashed([]digest.Digest{request}, target(name), sent)
	f.step()
}

// countHolding returns the number of reachable daemons that hold the request.
func (f *fleet) countHolding(request digest.Digest) int {
	n := 0
	for _, d := range f.daemons {
		if _, _, held := d.q.Held([]digest.Digest{request}); held && !f.unreachable[d.name] {
			n++
		}
	}
	return n
}

func (f *fleet) allHold() bool {
	return f.countHolding(poisonRequest) == len(f.daemons)-len(f.unreachable)
}

// Each daemon sees one of the crashes that a request causes. All must hold it, in fleets of any
// size: a daemon that does not would send it to the next target.
func TestAllDaemonsHoldPoisonRequest(t *testing.T) {
	for _, n := range []int{1, 2, 9, 64, 295} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			for i := range 3 {
				f.crashTarget(f.daemons[i*(n-1)/2], poisonRequest, fmt.Sprint("t", i))
			}
			f.is.True(f.stepUntil(f.allHold))
			f.is.Equal(f.countHolding(healthy), 0)
			f.is.True(f.calls.Load() <= 3*2) // one report of each daemon to each coordinator
			_, remaining, _ := f.daemons[0].q.Held([]digest.Digest{poisonRequest})
			f.is.True(remaining > 59*time.Minute && remaining <= time.Hour)
		})
	}
}

// A coordinator is lost together with the reports it received.
func TestLostCoordinatorIsReplaced(t *testing.T) {
	f := newFleet(t, 9)
	for i := range 3 {
		f.crashTarget(f.daemons[i], poisonRequest, fmt.Sprint("t", i))
		if i == 1 {
			f.unreachable[coordinator.Choose(f.daemons[0].Live(), 1)[0].Name] = true
		}
	}
	f.is.True(f.stepUntil(f.allHold))
}

// After a power loss of all daemons, a held request must still be held. Without the store,
// three more targets would crash first.
func TestHeldRequestSurvivesFleetRestart(t *testing.T) {
	f := newFleet(t, 9)
	for i := range 3 {
		f.crashTarget(f.daemons[i], poisonRequest, fmt.Sprint("t", i))
	}
	f.is.True(f.stepUntil(f.allHold))
	f.is.True(f.stepUntil(func() bool { return len(f.store.Snapshot()) == 1 }))
	f.is.Equal(f.store.Calls("put"), 1) // one daemon writes, once

	f.start(9)
	f.deliverStoreChanges()
	f.is.True(f.allHold())
}

// While the store is unavailable, daemons still tell each other which requests are held; they
// save them once the store is back.
func TestRequestIsHeldWithoutStore(t *testing.T) {
	f := newFleet(t, 9)
	f.store.SetFault(func(string, string) testkit.Fault { return testkit.Fault{Before: fireflypath.ErrUnavailable} })
	for i := range 3 {
		f.crashTarget(f.daemons[i], poisonRequest, fmt.Sprint("t", i))
	}
	f.is.True(f.stepUntil(f.allHold))
	f.store.SetFault(nil)
	f.is.True(f.stepUntil(func() bool { return len(f.store.Snapshot()) == 1 }))
}

// A request that many callers send ran on every target of a failure domain that is lost, one
// after the other. Other daemons get it served all the while, so it must not be held.
func TestHotRequestIsNotHeld(t *testing.T) {
	for _, servedAfterCrash := range []bool{false, true} {
		t.Run(fmt.Sprint(servedAfterCrash), func(t *testing.T) {
			f := newFleet(t, 9)
			serve := func() { f.daemons[8].q.Served([]digest.Digest{healthy}, target("other"), f.clock.Now()) }
			if !servedAfterCrash {
				serve()
			}
			for i := range 6 {
				f.crashTarget(f.daemons[i%3], healthy, fmt.Sprint("t", i))
				if servedAfterCrash {
					serve() // one that is running when it becomes a suspect is answered
				}
				f.is.Equal(f.countHolding(healthy), 0)
			}
			f.is.True(!f.stepUntil(func() bool { return f.countHolding(healthy) > 0 }))
		})
	}
}

// Connections to healthy targets are reset. The targets answer later requests, so the resets
// must not count as crashes.
func TestConnectionResetsAreNotCrashes(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.crashTarget(f.daemons[0], healthy, fmt.Sprint("t", i))
		f.clock.Advance(stepInterval)
		f.daemons[0].q.Served([]digest.Digest{digest.Digest(10 + i)}, target(fmt.Sprint("t", i)), f.clock.Now())
	}
	f.is.True(!f.stepUntil(func() bool { return f.countHolding(healthy) > 0 }))
}

// An operator releases a request after fixing the cause of the crashes.
func TestReleasedRequestIsServed(t *testing.T) {
	for _, via := range []string{"daemon", "store"} {
		t.Run(via, func(t *testing.T) {
			f := newFleet(t, 9)
			for i := range 3 {
				f.crashTarget(f.daemons[i], poisonRequest, fmt.Sprint("t", i))
			}
			f.is.True(f.stepUntil(func() bool { return f.allHold() && len(f.store.Snapshot()) == 1 }))
			f.is.Equal(len(f.daemons[4].q.List()), 1)
			if via == "daemon" {
				f.is.True(f.daemons[4].q.Release(poisonRequest))
				f.is.True(!f.daemons[4].q.Release(poisonRequest))
			} else {
				f.is.NoErr(f.store.Delete(t.Context(), quarantine.Prefix+poisonRequest.String(), fireflypath.AnyRevision))
			}
			f.is.True(f.stepUntil(func() bool { return f.countHolding(poisonRequest) == 0 && len(f.store.Snapshot()) == 0 }))
			f.is.True(!f.stepUntil(func() bool { return f.countHolding(poisonRequest) > 0 })) // and it is not held again
		})
	}
}

// Reports that fail must be sent again until they are received.
func TestFailedReportsAreRetried(t *testing.T) {
	f := newFleet(t, 9)
	for _, d := range f.daemons {
		f.unreachable[d.name] = true
	}
	f.unreachable["d0"] = false
	for i := range 3 {
		f.crashTarget(f.daemons[0], poisonRequest, fmt.Sprint("t", i))
	}
	f.unreachable = map[string]bool{}
	f.is.True(f.stepUntil(f.allHold))
}

// Keys written under the prefix by other programs are ignored.
func TestForeignStoreEntriesAreIgnored(t *testing.T) {
	f := newFleet(t, 1)
	for _, e := range []fireflypath.Entry{
		{Key: quarantine.Prefix + "x"},
		{Key: quarantine.Prefix + poisonRequest.String(), Value: []byte("{")},
		{Key: quarantine.Prefix + poisonRequest.String(), Deleted: true},
	} {
		f.daemons[0].q.ApplyStoreEntry(e)
	}
	f.is.Equal(f.countHolding(poisonRequest), 0)
	f.is.Equal(len(f.daemons[0].q.List()), 0)
}

// BenchmarkServed measures the cost per answer, BenchmarkRefused that per request.
func BenchmarkServed(b *testing.B) {
	q := newStandalone()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Served([]digest.Digest{digest.Digest(i % 10000)}, target("t"), time.Time{})
	}
}

func BenchmarkRefused(b *testing.B) {
	q := newStandalone()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, _, held := q.Held([]digest.Digest{digest.Digest(i)}); held {
			b.Fatal("held")
		}
	}
}

func newStandalone() *quarantine.Quarantine {
	return quarantine.New(poison.Config{MinCrashes: 3, HoldTime: time.Hour}, quarantine.Deps{
		Self: "d", PoolSize: func(string) int { return 12 }, Clock: clockwork.NewRealClock(), Scope: tally.NoopScope, Log: zap.NewNop(),
	})
}

// BenchmarkMessageSize reports the wire size of one report and of one changed entry.
func BenchmarkMessageSize(b *testing.B) {
	var report, heartbeat int
	for b.Loop() {
		f := &fleet{clock: clockwork.NewFakeClock()}
		d := f.measuredDaemon(&report)
		d.q.TargetCrashed([]digest.Digest{poisonRequest}, target("i-0123456789"), f.clock.Now())
		d.q.Step(b.Context())
		var m peer.Heartbeat
		d.q.ApplyStoreEntry(fireflypath.Entry{Key: quarantine.Prefix + poisonRequest.String(), Value: []byte(`{"pool":"pool-name","until":1796288695573,"targets":3,"times":1,"number":2}`)})
		d.source("d1", &m)
		text, err := json.Marshal(m)
		if err != nil {
			b.Fatal(err)
		}
		heartbeat = len(text)
	}
	b.ReportMetric(float64(report), "B/report")
	b.ReportMetric(float64(heartbeat), "B/change")
}

// BenchmarkAnswerSet measures the memory of a full set of recent answers.
func BenchmarkAnswerSet(b *testing.B) {
	const answers = 2 * 16384
	b.ReportAllocs()
	for b.Loop() {
		q := newStandalone()
		for i := range answers {
			q.Served([]digest.Digest{digest.Digest(i)}, target("t"), time.Time{})
		}
	}
}

// measuredDaemon returns a daemon that stores the size of its reports in report.
func (f *fleet) measuredDaemon(report *int) *daemon {
	d := &daemon{fleet: f, name: "d0"}
	d.q = quarantine.New(poison.Config{MinCrashes: 3, HoldTime: time.Hour}, quarantine.Deps{
		Self: "d0", Peers: &measuringPeers{daemon: d, size: report}, Members: d, PoolSize: func(string) int { return 12 },
		Clock: f.clock, Scope: tally.NoopScope, Log: zap.NewNop(),
	})
	f.daemons = []*daemon{d, {fleet: f, name: "d1"}}
	return d
}

// measuringPeers records the size of the last report.
type measuringPeers struct {
	*daemon
	size *int
}

func (m *measuringPeers) Call(_ context.Context, _ fireflypath.Member, _ string, params, _ any) error {
	b, err := json.Marshal(params)
	*m.size = len(b)
	return err
}

// The store accepts calls and never answers. Daemons that waited for it would send no reports
// meanwhile, and the request would crash one target after the other.
func TestUnresponsiveStoreDoesNotDelayReports(t *testing.T) {
	clock := clockwork.NewRealClock()
	store := &unresponsiveStore{called: make(chan struct{}, 1), end: make(chan struct{})}
	q := quarantine.New(poison.Config{MinCrashes: 2, HoldTime: time.Hour}, quarantine.Deps{
		Self: "d", Store: store, PoolSize: func(string) int { return 12 }, Clock: clock, Scope: tally.NoopScope, Log: zap.NewNop(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = q.Run(ctx)
	}()
	crash := func(request digest.Digest, name string) {
		sent := clock.Now()
		time.Sleep(stepInterval)
		q.TargetCrashed([]digest.Digest{request}, target(name), sent)
	}
	for i := range 5 {
		crash(poisonRequest, fmt.Sprint("t", i))
	}
	<-store.called // the request is held and being saved
	crash(healthy, "t5")
	crash(healthy, "t6")
	for len(q.List()) < 2 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	close(store.end)
	<-stopped
}

// unresponsiveStore answers no write until end is closed.
type unresponsiveStore struct {
	fireflypath.Store
	called, end chan struct{}
}

func (s *unresponsiveStore) Put(ctx context.Context, _ string, _ []byte, _ uint64, _ fireflypath.LeaseID) (uint64, error) {
	select {
	case s.called <- struct{}{}:
	default:
	}
	<-s.end
	return 0, ctx.Err()
}

const (
	companionPart = digest.Digest(20)
	crashingPart  = digest.Digest(21)
	soundPart     = digest.Digest(22)
)

// crashPart makes a target crash while it runs a daemon's request, which differs from all others,
// with the parts.
func (f *fleet) crashPart(d *daemon, name string, parts ...digest.Digest) {
	sent := f.clock.Now()
	f.clock.Advance(stepInterval)
	d.q.TargetCrashed(append([]digest.Digest{digest.Digest(100 + sent.UnixMilli())}, parts...), target(name), sent)
	f.step()
}

// holds returns the number of daemons that hold a request with the parts.
func (f *fleet) holds(parts ...digest.Digest) int {
	n := 0
	for _, d := range f.daemons {
		if _, _, held := d.q.Held(append([]digest.Digest{healthy}, parts...)); held {
			n++
		}
	}
	return n
}

// Requests that differ share a crashing part and one that always came with it. All daemons must hold
// those with both, also after all of them restart, and serve one with either. Once one of the parts
// is answered, the other one is held alone.
func TestAllDaemonsHoldParts(t *testing.T) {
	for _, n := range []int{1, 9, 64} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			for i := range 4 {
				f.crashPart(f.daemons[i*(n-1)/3], fmt.Sprint("t", i), companionPart, crashingPart)
			}
			f.is.True(f.stepUntil(func() bool { return f.holds(companionPart, crashingPart) == n }))
			f.is.Equal(f.holds(companionPart, soundPart), 0)
			f.is.Equal(f.holds(soundPart, crashingPart), 0)
			f.is.True(f.stepUntil(func() bool { return len(f.store.Snapshot()) == 1 }))

			f.start(n)
			f.deliverStoreChanges()
			f.is.Equal(f.holds(crashingPart, companionPart), n)
			row := f.daemons[n-1].q.List()[0]
			f.is.Equal(row.Kind, string(poison.KindPart))
			f.is.Equal(len(row.Members), 2)

			f.daemons[n-1].q.Served([]digest.Digest{healthy, companionPart, soundPart}, target("t9"), f.clock.Now())
			f.is.True(f.stepUntil(func() bool { return f.holds(crashingPart, soundPart) == n }))
			f.is.Equal(f.holds(companionPart, soundPart), 0)
			f.is.True(f.stepUntil(func() bool { return len(f.store.Snapshot()) == 1 }))

			f.start(n)
			f.deliverStoreChanges()
			f.is.Equal(f.holds(crashingPart), n)
			f.is.True(f.daemons[0].q.Release(crashingPart))
			f.is.True(f.stepUntil(func() bool { return f.holds(crashingPart) == 0 && len(f.store.Snapshot()) == 0 }))
		})
	}
}

// A sound first part that seldom comes is on each target that crashes, as the crashing part always
// follows it. A daemon that answered it knows that it is sound, so that only the other one is held.
func TestAnsweredPartIsNotHeld(t *testing.T) {
	f := newFleet(t, 9)
	f.daemons[8].q.Served([]digest.Digest{healthy, soundPart}, target("other"), f.clock.Now())
	f.clock.Advance(20 * time.Second)
	for i := range 4 {
		f.crashPart(f.daemons[i], fmt.Sprint("t", i), soundPart, crashingPart)
	}
	f.is.True(f.stepUntil(func() bool { return f.holds(companionPart, crashingPart) == 9 }))
	f.is.Equal(f.holds(soundPart, companionPart), 0)
}

// BenchmarkServedParts measures the cost per answer of a request with two parts, BenchmarkHeldParts
// that per request while parts are held.
func BenchmarkServedParts(b *testing.B) {
	q := newStandalone()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		q.Served([]digest.Digest{digest.Digest(i % 10000), 1, 2, digest.Digest(10 + i%50), digest.Digest(100 + i%50)}, target("t"), time.Time{})
	}
}

func BenchmarkHeldParts(b *testing.B) {
	q := newStandalone()
	q.ApplyStoreEntry(fireflypath.Entry{Key: quarantine.Prefix + "00000000000000aa", Value: []byte(`{"pool":"p","until":4796288695573,"targets":3,"times":1,"number":2,"members":["0000000000000001","00000000000000bb"],"kind":"part"}`)})
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if _, _, held := q.Held([]digest.Digest{digest.Digest(1000 + i), 1, 2, 3, 4}); held {
			b.Fatal("held")
		}
	}
}
