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

// fakeGroup connects trackers without a network. tick delivers their heartbeats.
type fakeGroup struct {
	clock    *clockwork.FakeClock
	trackers []*Tracker
	// reasons holds the reason for which each tracker removed target t, or "".
	reasons      []string
	disconnected map[int]bool
}

type fakeEndpoint struct{}

func (fakeEndpoint) AddSource(peer.Source)              {}
func (fakeEndpoint) AddSink(peer.Sink)                  {}
func (fakeEndpoint) OnConnect(func(fireflypath.Member)) {}
func (fakeEndpoint) Flush()                             {}

func newGroup(n int) *fakeGroup {
	g := &fakeGroup{clock: clockwork.NewFakeClock(), reasons: make([]string, n), disconnected: map[int]bool{}}
	for i := range n {
		g.trackers = append(g.trackers, New(fmt.Sprint("d", i), func() int { return n }, fakeEndpoint{},
			func(_, why string) { g.reasons[i] = why }, func(string) { g.reasons[i] = "" }, g.clock, tally.NoopScope))
	}
	return g
}

// tick advances time by a second: each tracker makes a step and sends a heartbeat to all
// others.
func (g *fakeGroup) tick() {
	g.clock.Advance(time.Second)
	for i, tracker := range g.trackers {
		tracker.step()
		for j, o := range g.trackers {
			if i == j || g.disconnected[i] || g.disconnected[j] {
				continue
			}
			var beat peer.Heartbeat
			tracker.fillHeartbeat(fmt.Sprint("d", j), &beat)
			o.receive(fmt.Sprint("d", i), &beat)
		}
	}
}

// removedBy returns the number of trackers that removed target t.
func (g *fakeGroup) removedBy() int {
	n := 0
	for _, s := range g.reasons {
		if s != "" {
			n++
		}
	}
	return n
}

// A target tells one daemon that it drains. All others must stop sending work to it within
// three seconds, and resume after it is back.
func TestLeavingReachesAllDaemons(t *testing.T) {
	is := is.New(t)
	g := newGroup(9)
	g.trackers[3].ReportLeaving("t", "the target's own word")
	g.tick()
	is.Equal(g.removedBy(), 8) // onLeaving is not called for the daemon's own report
	for range 200 {
		g.tick()
	}
	is.Equal(g.removedBy(), 8) // the report is repeated while it holds
	g.trackers[3].ReportStaying("t")
	g.tick()
	is.Equal(g.removedBy(), 0)
}

// All daemons observe that a target drains. Only one of them must send it.
func TestLeavingIsSentByOneDaemon(t *testing.T) {
	is := is.New(t)
	g := newGroup(9)
	g.trackers[0].ReportLeaving("t", "drains")
	g.tick()
	for _, tracker := range g.trackers[1:] {
		tracker.ReportLeaving("t", "drains")
	}
	g.tick()
	is.Equal(len(g.trackers[5].evidence["t"]), 1)
	// The daemon that sent it dies. Another one takes over before the report expires.
	g.disconnected[0] = true
	for range 200 {
		g.tick()
		is.True(g.removedBy() >= 7) // all but the dead daemon and the one that sends the report
	}
}

// One daemon's link to a healthy target is bad. The others must keep using the target. If a
// third of them cannot reach it, it is taken for dead, and it is used again as soon as they
// reach it.
func TestBadLinkOfOneDaemonDoesNotRemoveTarget(t *testing.T) {
	is := is.New(t)
	g := newGroup(9)
	for range 20 {
		g.trackers[0].ReportDead("t", "connection refused")
		g.tick()
	}
	is.Equal(g.removedBy(), 0)
	g.trackers[1].ReportDead("t", "connection refused")
	g.tick()
	is.Equal(g.removedBy(), 0)
	g.trackers[2].ReportDead("t", "connection refused")
	g.tick()
	is.Equal(g.removedBy(), 9)
	g.trackers[1].ReportStaying("t")
	g.tick()
	is.Equal(g.removedBy(), 0)
}

// A target's process is killed. Each daemon probes it once a second and gets no connection.
// All of them must have removed it within three seconds. After a restart, they must use it
// again as fast.
func TestKilledTargetIsRemovedAndReturns(t *testing.T) {
	is := is.New(t)
	g := newGroup(9)
	probe := func(tracker *Tracker, up bool) {
		if up {
			tracker.ReportAlive("t")
			return
		}
		tracker.ReportDead("t", "takes no connection")
	}
	for s := range 60 {
		up := s < 10 || s >= 40
		for _, tracker := range g.trackers {
			probe(tracker, up)
		}
		g.tick()
		switch {
		case s >= 12 && s < 40:
			is.Equal(g.removedBy(), 9)
		case s < 10 || s >= 42:
			is.Equal(g.removedBy(), 0)
		}
	}
}

// Nine daemons take turns to probe an idle target every three seconds. Its process is killed.
// The first failed probe must make the others probe at once. Otherwise, requests would be sent
// to it until a third of the daemons had their turn. The same holds for its return.
func TestSuspectedTargetIsProbedByAll(t *testing.T) {
	is := is.New(t)
	g := newGroup(9)
	const period = 9 // seconds between a daemon's own probes, at worst
	for s := range 60 {
		up := s < 10 || s >= 40
		for i, tracker := range g.trackers {
			switch due := s%period == i || tracker.SuspectedDead()["t"]; {
			case due && up:
				tracker.ReportAlive("t")
			case due:
				tracker.ReportDead("t", "takes no connection")
			}
		}
		g.tick()
		if s >= 12 && s < 40 {
			is.Equal(g.removedBy(), 9)
		}
		if s < 10 || s >= 42 {
			is.Equal(g.removedBy(), 0)
			is.Equal(len(g.trackers[0].SuspectedDead()), 0)
		}
	}
}

// A draining target stops a little later, and its host accepts connections again before the
// target is ready. The target must stay removed because of its own report.
func TestReportAliveKeepsLeaving(t *testing.T) {
	is := is.New(t)
	g := newGroup(9)
	g.trackers[3].ReportLeaving("t", "drains")
	g.trackers[3].ReportDead("t", "takes no connection")
	g.trackers[3].ReportAlive("t")
	g.tick()
	is.Equal(g.removedBy(), 8)
}

// Daemons report a target dead, and then an operator moves it away from them, so that they no
// longer probe it. Their last reports must not keep a healthy target from the daemons that use
// it now.
func TestDeadReportLapsesUnlessRepeated(t *testing.T) {
	is := is.New(t)
	g := newGroup(9)
	for _, tracker := range g.trackers[:4] {
		tracker.ReportDead("t", "takes no connection")
	}
	g.tick()
	is.Equal(g.removedBy(), 9)
	for range int(2 * deadTTL / time.Second) {
		g.tick()
	}
	is.Equal(g.removedBy(), 0)
	is.Equal(len(g.trackers[0].observations), 0)
}

// A daemon observes that a target drains, and dies. Its report must expire, or no daemon would
// use the target after its return.
func TestLeavingReportOfDeadDaemonLapses(t *testing.T) {
	is := is.New(t)
	g := newGroup(9)
	g.trackers[3].ReportLeaving("t", "drains")
	g.tick()
	g.disconnected[3] = true
	for range int(leavingTTL / time.Second) {
		g.tick()
	}
	g.tick()
	is.Equal(g.removedBy(), 0)
}

// An older report of a daemon arrives after a newer one, because it took a slow path. The
// newer one must stay valid.
func TestOlderEvidenceIsIgnored(t *testing.T) {
	is := is.New(t)
	g := newGroup(2)
	g.trackers[0].ReportLeaving("t", "drains")
	var old peer.Heartbeat
	g.trackers[0].fillHeartbeat("x", &old)
	g.tick()
	g.trackers[0].ReportStaying("t")
	g.tick()
	g.trackers[1].receive("x", &old)
	is.Equal(g.removedBy(), 0)
}
