package leaving

import (
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// mesh joins boards without a network; beats are carried by pass.
type mesh struct {
	clock  *clockwork.FakeClock
	boards []*Tracker
	// state is what each daemon's route was told last of target t.
	state []string
	cut   map[int]bool
}

type wire struct{}

func (wire) AddSource(peer.Source)              {}
func (wire) AddSink(peer.Sink)                  {}
func (wire) OnConnect(func(fireflypath.Member)) {}
func (wire) Flush()                             {}

func newMesh(n int) *mesh {
	m := &mesh{clock: clockwork.NewFakeClock(), state: make([]string, n), cut: map[int]bool{}}
	for i := range n {
		m.boards = append(m.boards, New(fmt.Sprint("d", i), func() int { return n }, wire{},
			func(_, why string) { m.state[i] = why }, func(string) { m.state[i] = "" }, m.clock, tally.NoopScope))
	}
	return m
}

// pass is one second: each board steps and sends one beat to each other one.
func (m *mesh) pass() {
	m.clock.Advance(time.Second)
	for i, b := range m.boards {
		b.step()
		for j, o := range m.boards {
			if i == j || m.cut[i] || m.cut[j] {
				continue
			}
			var beat peer.Heartbeat
			b.tell(fmt.Sprint("d", j), &beat)
			o.hear(fmt.Sprint("d", i), &beat)
		}
	}
}

// out is the number of daemons whose route was told that t is out.
func (m *mesh) out() int {
	n := 0
	for _, s := range m.state {
		if s != "" {
			n++
		}
	}
	return n
}

// A target tells one daemon that it drains. All others must stop sending work
// there within three seconds, and begin again after it came back.
func TestLeavingSpreads(t *testing.T) {
	is := is.New(t)
	m := newMesh(9)
	m.boards[3].ReportLeaving("t", "the target's own word")
	m.pass()
	is.Equal(m.out(), 8) // the daemon that saw it has told its own route itself
	for range 200 {
		m.pass()
	}
	is.Equal(m.out(), 8) // it is repeated while it is seen
	m.boards[3].ReportStaying("t")
	m.pass()
	is.Equal(m.out(), 0)
}

// All daemons see a target drain. One word is spread, not nine.
func TestOneWordIsEnough(t *testing.T) {
	is := is.New(t)
	m := newMesh(9)
	m.boards[0].ReportLeaving("t", "drains")
	m.pass()
	for _, b := range m.boards[1:] {
		b.ReportLeaving("t", "drains")
	}
	m.pass()
	is.Equal(len(m.boards[5].heard["t"]), 1)
	// The one that told it goes. Another takes over before its word lapses.
	m.cut[0] = true
	for range 200 {
		m.pass()
		is.True(m.out() >= 7) // all but the two that know it first-hand
	}
}

// One daemon's link to a healthy target is bad. The others must keep using it;
// if a third of them cannot reach it, it is taken for dead, and used again soon
// after they reach it.
func TestBadLinkOfOne(t *testing.T) {
	is := is.New(t)
	m := newMesh(9)
	for range 20 {
		m.boards[0].ReportDead("t", "connection refused")
		m.pass()
	}
	is.Equal(m.out(), 0)
	m.boards[1].ReportDead("t", "connection refused")
	m.pass()
	is.Equal(m.out(), 0)
	m.boards[2].ReportDead("t", "connection refused")
	m.pass()
	is.Equal(m.out(), 9)
	m.boards[1].ReportStaying("t")
	m.pass()
	is.Equal(m.out(), 0)
}

// A target's process is killed. Each daemon looks at it once a second and finds
// no connection; all must have taken it out within three seconds. It is started
// again, and must be used again as soon.
func TestKilledTargetIsOutAndBack(t *testing.T) {
	is := is.New(t)
	m := newMesh(9)
	look := func(b *Tracker, up bool) {
		if up {
			b.ReportAlive("t")
			return
		}
		b.ReportDead("t", "takes no connection")
	}
	for s := range 60 {
		up := s < 10 || s >= 40
		for _, b := range m.boards {
			look(b, up)
		}
		m.pass()
		switch {
		case s >= 12 && s < 40:
			is.Equal(m.out(), 9)
		case s < 10 || s >= 42:
			is.Equal(m.out(), 0)
		}
	}
}

// Nine daemons look at an idle target every three seconds, in turns. Its process
// is killed. The first that finds no connection must make the others look at
// once, or callers' work goes there until a third came by in its turn; the same
// holds for its return.
func TestSuspectIsLookedAtByAll(t *testing.T) {
	is := is.New(t)
	m := newMesh(9)
	const period = 9 // seconds between a daemon's own looks, the worst
	for s := range 60 {
		up := s < 10 || s >= 40
		for i, b := range m.boards {
			switch due := s%period == i || b.SuspectedDead()["t"]; {
			case due && up:
				b.ReportAlive("t")
			case due:
				b.ReportDead("t", "takes no connection")
			}
		}
		m.pass()
		if s >= 12 && s < 40 {
			is.Equal(m.out(), 9)
		}
		if s < 10 || s >= 42 {
			is.Equal(m.out(), 0)
			is.Equal(len(m.boards[0].SuspectedDead()), 0)
		}
	}
}

// A target that drains is gone a little later, and its host answers again
// before the target is ready. It must stay out by its own word.
func TestAnswersDoNotUndoLeaving(t *testing.T) {
	is := is.New(t)
	m := newMesh(9)
	m.boards[3].ReportLeaving("t", "drains")
	m.boards[3].ReportDead("t", "takes no connection")
	m.boards[3].ReportAlive("t")
	m.pass()
	is.Equal(m.out(), 8)
}

// Daemons found a target dead, and then an operator moved it away from them, so
// that they look at it no more. What they said last must not keep a healthy
// target from the daemons that use it now.
func TestDeadLapsesUnlessSeenAgain(t *testing.T) {
	is := is.New(t)
	m := newMesh(9)
	for _, b := range m.boards[:4] {
		b.ReportDead("t", "takes no connection")
	}
	m.pass()
	is.Equal(m.out(), 9)
	for range int(2 * deadLasts / time.Second) {
		m.pass()
	}
	is.Equal(m.out(), 0)
	is.Equal(len(m.boards[0].own), 0)
}

// A daemon saw a target drain and died. What it said must not stand for ever,
// or the target would be lost to all after its return.
func TestWordOfTheDeadLapses(t *testing.T) {
	is := is.New(t)
	m := newMesh(9)
	m.boards[3].ReportLeaving("t", "drains")
	m.pass()
	m.cut[3] = true
	for range int(leavingLasts / time.Second) {
		m.pass()
	}
	m.pass()
	is.Equal(m.out(), 0)
}

// A late message of a daemon's older word arrives after its newer one, as when
// a slow path delivers it last. The newer word must stand.
func TestOlderWordChangesNothing(t *testing.T) {
	is := is.New(t)
	m := newMesh(2)
	m.boards[0].ReportLeaving("t", "drains")
	var old peer.Heartbeat
	m.boards[0].tell("x", &old)
	m.pass()
	m.boards[0].ReportStaying("t")
	m.pass()
	m.boards[1].hear("x", &old)
	is.Equal(m.out(), 0)
}
