package usage_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/cell"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/usage"
)

// daemon is a Usage and a fake of everything it depends on.
type daemon struct {
	name      string
	usage     *usage.Usage
	source    peer.Source
	sink      peer.Sink
	onConnect func(fireflypath.Member)

	report    fireflypath.PeerLoad
	used      map[string]float64
	peers     []fireflypath.PeerLoad
	remoteUse map[string]float64
	fraction  float64
	reachable float64
	// withoutContact is the result of TimeWithoutContact.
	withoutContact time.Duration
	adopted        map[string]float64
	live           []fireflypath.Member
	missing        int
	// version grows with each call of Version, so that each report is read, unless idle is
	// set.
	version uint64
	idle    bool
	// The number of calls of FlushTo, Report and UpdatePeers.
	flushed, reports, updates int
	// layout is computed from live if it is nil.
	layout *cell.Layout
}

func (d *daemon) AddSource(s peer.Source)               { d.source = s }
func (d *daemon) AddSink(s peer.Sink)                   { d.sink = s }
func (d *daemon) OnConnect(up func(fireflypath.Member)) { d.onConnect = up }
func (d *daemon) FlushTo([]string)                      { d.flushed++ }
func (d *daemon) Live() []fireflypath.Member            { return d.live }
func (d *daemon) Missing() int                          { return d.missing }
func (d *daemon) Report() fireflypath.PeerLoad          { d.reports++; return d.report }
func (d *daemon) UpdatePeers(ms []fireflypath.PeerLoad) { d.peers = ms; d.updates++ }
func (d *daemon) Used() map[string]float64              { return d.used }
func (d *daemon) SetLargeFleet(time.Time, int)          {}
func (d *daemon) Levels(time.Time) map[string]float64   { return map[string]float64{"red": 7} }

func (d *daemon) Version() uint64 {
	if !d.idle {
		d.version++
	}
	return d.version
}

func (d *daemon) AdoptLevels(_ time.Time, levels map[string]float64) {
	if len(levels) > 0 {
		d.adopted = levels
	}
}
func (d *daemon) DeductRemoteUse(_ time.Time, team string, n float64) { d.remoteUse[team] += n }
func (d *daemon) SetFleet(_ time.Time, _ int, fraction float64)       { d.fraction = fraction }
func (d *daemon) SetReachable(_ time.Time, fraction float64)          { d.reachable = fraction }
func (d *daemon) TimeWithoutContact(int) time.Duration                { return d.withoutContact }

func (d *daemon) Layout() *cell.Layout {
	if d.layout != nil {
		return d.layout
	}
	var names []string
	for _, m := range d.live {
		names = append(names, m.Name)
	}
	return cell.New(names)
}

func pair() ([]*daemon, *clockwork.FakeClock) {
	clock := clockwork.NewFakeClock()
	var live []fireflypath.Member
	for i := range 2 {
		live = append(live, fireflypath.Member{Name: fmt.Sprint("d", i), Incarnation: 1})
	}
	var out []*daemon
	for i := range 2 {
		d := &daemon{name: fmt.Sprint("d", i), live: live, used: map[string]float64{}, remoteUse: map[string]float64{}}
		d.report = fireflypath.PeerLoad{InFlight: map[string]int{}, WaitingRanks: map[string]int{}}
		d.usage = usage.New(d.name, d, d, d, d, clock, tally.NoopScope)
		out = append(out, d)
	}
	return out, clock
}

// deliver sends a heartbeat from one daemon to the other.
func deliver(from, to *daemon) {
	from.usage.Step()
	var b peer.Heartbeat
	from.source(to.name, &b)
	to.sink(from.name, &b)
	to.usage.Step()
}

func TestInFlightWorkIsReceived(t *testing.T) {
	is := is.New(t)
	ds, _ := pair()
	a, b := ds[0], ds[1]
	a.report.InFlight = map[string]int{"t1": 3}
	a.report.WaitingRanks = map[string]int{"p": 2}
	deliver(a, b)
	is.Equal(b.peers[0].InFlight, map[string]int{"t1": 3})
	is.Equal(b.peers[0].WaitingRanks, map[string]int{"p": 2})
	a.report.InFlight = map[string]int{"t2": 1}
	a.report.WaitingRanks = map[string]int{}
	deliver(a, b)
	is.Equal(b.peers[0].InFlight["t1"], 0)
	is.Equal(b.peers[0].InFlight["t2"], 1)
	is.Equal(len(b.peers[0].WaitingRanks), 0)
}

// Guards against daemons that are cut off from each other and each go on to grant all of a team's quota,
// and against one that is taken for cut off because nothing of its state changes.
func TestSilentPeerIsNotReachable(t *testing.T) {
	is := is.New(t)
	ds, clock := pair()
	a, b := ds[0], ds[1]
	b.withoutContact = 200 * time.Millisecond
	a.used["red"] = 10
	deliver(a, b)
	is.Equal(b.reachable, 1.0)
	flushed := a.flushed
	for range 20 {
		clock.Advance(30 * time.Millisecond)
		deliver(a, b)
		is.Equal(b.reachable, 1.0)
	}
	is.True(a.flushed > flushed)          // sent although nothing changed
	clock.Advance(160 * time.Millisecond) // what is allowed, less a step
	b.usage.Step()
	is.Equal(b.reachable, 1.0)
	clock.Advance(20 * time.Millisecond)
	b.usage.Step()
	is.Equal(b.reachable, 0.5)
	deliver(a, b)
	is.Equal(b.reachable, 1.0)
}

// A daemon dies without notice. If its in-flight work still counted, the slots it used
// would stay empty for good.
func TestInFlightWorkOfSilentDaemonExpires(t *testing.T) {
	is := is.New(t)
	ds, clock := pair()
	a, b := ds[0], ds[1]
	a.report.InFlight = map[string]int{"t1": 3}
	deliver(a, b)
	is.Equal(len(b.peers), 1)
	is.Equal(b.fraction, 1.0)
	clock.Advance(3 * time.Second)
	b.usage.Step()
	is.Equal(len(b.peers), 0)
	is.Equal(b.fraction, 0.5) // the other half of the quotas may be used by the silent daemon
}

// A daemon restarts, and its usage sums start again at zero. Its usage from then on must
// count.
func TestUsageAfterRestartCounts(t *testing.T) {
	is := is.New(t)
	ds, clock := pair()
	a, b := ds[0], ds[1]
	a.used["red"] = 100
	deliver(a, b)
	is.Equal(b.remoteUse["red"], 0.0) // used before b first received its sums
	a.used["red"] = 150
	deliver(a, b)
	is.Equal(b.remoteUse["red"], 50.0)
	clock.Advance(time.Second)
	restarted := &daemon{name: "d0", live: a.live, used: map[string]float64{"red": 30}, remoteUse: map[string]float64{}, report: a.report}
	restarted.usage = usage.New("d0", restarted, restarted, restarted, restarted, clock, tally.NoopScope)
	b.onConnect(fireflypath.Member{Name: "d0", Incarnation: 2})
	deliver(restarted, b)
	is.Equal(b.remoteUse["red"], 80.0)
	a.used["red"] = 500
	deliver(a, b) // a late message from before the restart
	is.Equal(b.remoteUse["red"], 80.0)
}

// A daemon that starts adopts the bucket levels of the others.
func TestLevelsAreAdopted(t *testing.T) {
	is := is.New(t)
	ds, _ := pair()
	deliver(ds[0], ds[1])
	is.Equal(ds[1].adopted, map[string]float64{"red": 7})
}

// An older message arrives late on another connection. It must change nothing.
func TestOlderMessageIsIgnored(t *testing.T) {
	is := is.New(t)
	ds, _ := pair()
	a, b := ds[0], ds[1]
	a.report.InFlight = map[string]int{"t1": 3}
	a.usage.Step()
	var old peer.Heartbeat
	a.source("d1", &old)
	a.report.InFlight = map[string]int{"t1": 1}
	deliver(a, b)
	b.sink("d0", &old)
	b.usage.Step()
	is.Equal(b.peers[0].InFlight["t1"], 1)
}

// Hundreds of daemons are connected to one that watches the store for them, but send work
// to other targets. Iterating over them and all targets thirty times a second took most
// of that daemon's CPU time, although they sent nothing.
func TestOnlyPeersWithSameTargetsAreApplied(t *testing.T) {
	is := is.New(t)
	ds, _ := pair()
	d := ds[0]
	for i := 2; i < 300; i++ {
		d.live = append(d.live, fireflypath.Member{Name: fmt.Sprintf("d%d", i), Incarnation: 1})
	}
	slices.SortFunc(d.live, func(a, b fireflypath.Member) int { return strings.Compare(a.Name, b.Name) })
	for _, m := range d.live {
		if m.Name != d.name {
			d.sink(m.Name, &peer.Heartbeat{})
		}
	}
	d.usage.Step()
	names := d.Layout().Members(d.name)
	is.True(len(names) < 20)
	is.Equal(len(d.peers), len(names)-1)
}

// Nothing changes at a daemon and it receives nothing. It must not read its pools, update
// them or send anything.
func TestIdleDaemonDoesNothing(t *testing.T) {
	is := is.New(t)
	ds, clock := pair()
	a, b := ds[0], ds[1]
	deliver(b, a)
	a.idle = true
	a.usage.Step()
	reports, updates, flushed := a.reports, a.updates, a.flushed
	for range 5 {
		clock.Advance(30 * time.Millisecond)
		a.usage.Step()
	}
	is.Equal(a.reports, reports)
	is.Equal(a.updates, updates)
	is.Equal(a.flushed, flushed)
	a.idle = false
	a.report.InFlight = map[string]int{"t1": 1}
	a.usage.Step()
	is.Equal(a.flushed, flushed+1)
	b.report.InFlight = map[string]int{"t1": 1}
	deliver(b, a)
	is.Equal(a.peers[0].InFlight["t1"], 1)
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{8, 64, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			ds, _ := pair()
			d := ds[0]
			d.live = nil
			for i := range n {
				d.live = append(d.live, fireflypath.Member{Name: fmt.Sprintf("d%03d", i), Incarnation: 1})
			}
			d.layout = d.Layout()
			d.idle = true
			for b.Loop() {
				d.usage.Step()
			}
		})
	}
}
