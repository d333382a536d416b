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

// daemon is one Usage with what it is connected to.
type daemon struct {
	name   string
	u      *usage.Usage
	source peer.Source
	sink   peer.Sink
	up     func(fireflypath.Member)

	report  fireflypath.Mate
	used    map[string]float64
	mates   []fireflypath.Mate
	heard   map[string]float64
	part    float64
	adopted map[string]float64
	live    []fireflypath.Member
	missing int
	// moves grows with each look, so that each report is read, unless nothing moves.
	moves                   uint64
	still                   bool
	flushed, reports, hears int
	// layout is worked out anew if it is nil.
	layout *cell.Layout
}

func (d *daemon) AddSource(s peer.Source)             { d.source = s }
func (d *daemon) AddSink(s peer.Sink)                 { d.sink = s }
func (d *daemon) AddUp(up func(fireflypath.Member))   { d.up = up }
func (d *daemon) FlushTo([]string)                    { d.flushed++ }
func (d *daemon) Live() []fireflypath.Member          { return d.live }
func (d *daemon) Missing() int                        { return d.missing }
func (d *daemon) Report() fireflypath.Mate            { d.reports++; return d.report }
func (d *daemon) Hear(ms []fireflypath.Mate)          { d.mates = ms; d.hears++ }
func (d *daemon) Used() map[string]float64            { return d.used }
func (d *daemon) SetDaemons(int)                      {}
func (d *daemon) Levels(time.Time) map[string]float64 { return map[string]float64{"red": 7} }

func (d *daemon) Moves() uint64 {
	if !d.still {
		d.moves++
	}
	return d.moves
}

func (d *daemon) Adopt(_ time.Time, levels map[string]float64) {
	if len(levels) > 0 {
		d.adopted = levels
	}
}
func (d *daemon) Heard(_ time.Time, team string, n float64) { d.heard[team] += n }
func (d *daemon) SetFleet(_ time.Time, _ int, part float64) { d.part = part }

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
		d := &daemon{name: fmt.Sprint("d", i), live: live, used: map[string]float64{}, heard: map[string]float64{}}
		d.report = fireflypath.Mate{Flights: map[string]int{}, Waits: map[string]int{}}
		d.u = usage.New(d.name, d, d, d, d, clock, tally.NoopScope)
		out = append(out, d)
	}
	return out, clock
}

// tell sends a beat from one to the other.
func tell(from, to *daemon) {
	from.u.Step()
	var b peer.Beat
	from.source(to.name, &b)
	to.sink(from.name, &b)
	to.u.Step()
}

func TestFlightsAreHeard(t *testing.T) {
	is := is.New(t)
	ds, _ := pair()
	a, b := ds[0], ds[1]
	a.report.Flights = map[string]int{"t1": 3}
	a.report.Waits = map[string]int{"p": 2}
	tell(a, b)
	is.Equal(b.mates[0].Flights, map[string]int{"t1": 3})
	is.Equal(b.mates[0].Waits, map[string]int{"p": 2})
	a.report.Flights = map[string]int{"t2": 1}
	a.report.Waits = map[string]int{}
	tell(a, b)
	is.Equal(b.mates[0].Flights["t1"], 0)
	is.Equal(b.mates[0].Flights["t2"], 1)
	is.Equal(len(b.mates[0].Waits), 0)
}

// A daemon dies without a word. What it had at the targets is over; counted on,
// its places would stay empty for good.
func TestSilentDaemonsFlightsEnd(t *testing.T) {
	is := is.New(t)
	ds, clock := pair()
	a, b := ds[0], ds[1]
	a.report.Flights = map[string]int{"t1": 3}
	tell(a, b)
	is.Equal(len(b.mates), 1)
	is.Equal(b.part, 1.0)
	clock.Advance(3 * time.Second)
	b.u.Step()
	is.Equal(len(b.mates), 0)
	is.Equal(b.part, 0.5) // half of the quotas may be used where nobody hears of it
}

// A daemon restarts. Its sums begin again at zero, and what it uses from then on
// must count.
func TestRestartedDaemonsUseCounts(t *testing.T) {
	is := is.New(t)
	ds, clock := pair()
	a, b := ds[0], ds[1]
	a.used["red"] = 100
	tell(a, b)
	is.Equal(b.heard["red"], 0.0) // used before b first heard of it
	a.used["red"] = 150
	tell(a, b)
	is.Equal(b.heard["red"], 50.0)
	clock.Advance(time.Second)
	again := &daemon{name: "d0", live: a.live, used: map[string]float64{"red": 30}, heard: map[string]float64{}, report: a.report}
	again.u = usage.New("d0", again, again, again, again, clock, tally.NoopScope)
	b.up(fireflypath.Member{Name: "d0", Incarnation: 2})
	tell(again, b)
	is.Equal(b.heard["red"], 80.0)
	a.used["red"] = 500
	tell(a, b) // a message of the earlier life, late
	is.Equal(b.heard["red"], 80.0)
}

// A daemon that starts takes over what the others' buckets hold.
func TestLevelsAreTakenOver(t *testing.T) {
	is := is.New(t)
	ds, _ := pair()
	tell(ds[0], ds[1])
	is.Equal(ds[1].adopted, map[string]float64{"red": 7})
}

// An older message on another connection comes late: it changes nothing.
func TestOlderMessageIsIgnored(t *testing.T) {
	is := is.New(t)
	ds, _ := pair()
	a, b := ds[0], ds[1]
	a.report.Flights = map[string]int{"t1": 3}
	a.u.Step()
	var old peer.Beat
	a.source("d1", &old)
	a.report.Flights = map[string]int{"t1": 1}
	tell(a, b)
	b.sink("d0", &old)
	b.u.Step()
	is.Equal(b.mates[0].Flights["t1"], 1)
}

// Hundreds of daemons have connections to one that watches the store for them. They
// send work to other targets: counted over all targets thirty times a second, their
// silence took most of that daemon's processor.
func TestOnlyMatesAreCounted(t *testing.T) {
	is := is.New(t)
	ds, _ := pair()
	d := ds[0]
	for i := 2; i < 300; i++ {
		d.live = append(d.live, fireflypath.Member{Name: fmt.Sprintf("d%d", i), Incarnation: 1})
	}
	slices.SortFunc(d.live, func(a, b fireflypath.Member) int { return strings.Compare(a.Name, b.Name) })
	for _, m := range d.live {
		if m.Name != d.name {
			d.sink(m.Name, &peer.Beat{})
		}
	}
	d.u.Step()
	mates := d.Layout().Mates(d.name)
	is.True(len(mates) < 20)
	is.Equal(len(d.mates), len(mates)-1)
}

// Nothing happens at a daemon and nothing is heard. It neither reads its pools nor
// counts over the targets, and tells nobody anything.
func TestIdleDaemonDoesNothing(t *testing.T) {
	is := is.New(t)
	ds, clock := pair()
	a, b := ds[0], ds[1]
	tell(b, a)
	a.still = true
	a.u.Step()
	reports, hears, flushed := a.reports, a.hears, a.flushed
	for range 5 {
		clock.Advance(30 * time.Millisecond)
		a.u.Step()
	}
	is.Equal(a.reports, reports)
	is.Equal(a.hears, hears)
	is.Equal(a.flushed, flushed)
	a.still = false
	a.report.Flights = map[string]int{"t1": 1}
	a.u.Step()
	is.Equal(a.flushed, flushed+1)
	b.report.Flights = map[string]int{"t1": 1}
	tell(b, a)
	is.Equal(a.mates[0].Flights["t1"], 1)
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
			d.still = true
			for b.Loop() {
				d.u.Step()
			}
		})
	}
}
