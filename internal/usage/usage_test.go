package usage_test

import (
	"fmt"
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
}

func (d *daemon) AddSource(s peer.Source)             { d.source = s }
func (d *daemon) AddSink(s peer.Sink)                 { d.sink = s }
func (d *daemon) AddUp(up func(fireflypath.Member))   { d.up = up }
func (d *daemon) Flush()                              {}
func (d *daemon) Live() []fireflypath.Member          { return d.live }
func (d *daemon) Missing() int                        { return d.missing }
func (d *daemon) Report() fireflypath.Mate            { return d.report }
func (d *daemon) Hear(ms []fireflypath.Mate)          { d.mates = ms }
func (d *daemon) Used() map[string]float64            { return d.used }
func (d *daemon) SetDaemons(int)                      {}
func (d *daemon) Levels(time.Time) map[string]float64 { return map[string]float64{"red": 7} }

func (d *daemon) Adopt(_ time.Time, levels map[string]float64) {
	if len(levels) > 0 {
		d.adopted = levels
	}
}
func (d *daemon) Heard(_ time.Time, team string, n float64) { d.heard[team] += n }
func (d *daemon) SetFleet(_ time.Time, _ int, part float64) { d.part = part }

func (d *daemon) Layout() *cell.Layout {
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
