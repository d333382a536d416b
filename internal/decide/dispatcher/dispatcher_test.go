package dispatcher_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
)

var startTime = time.Unix(1000, 0)

// newDispatcher returns a Dispatcher for the given number of targets with three
// slots each.
func newDispatcher(targets int) *dispatcher.Dispatcher {
	p := fireflypath.Pool{Name: "p", Stride: 3}
	d := dispatcher.New("p", slots.New(p, 7, slots.DispatcherTuning()))
	var list []fireflypath.Target
	for i := range targets {
		list = append(list, fireflypath.Target{
			Name: fmt.Sprintf("t%d", i), Pool: "p", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 3, Incarnation: 5,
		})
	}
	d.SetTargets(startTime, list)
	return d
}

func newOffer(n uint64, rank int) fireflypath.Offer {
	return fireflypath.Offer{
		Number: n, Rank: rank, Prompt: 500, MaxOutput: 100, ExpectedOutput: 100,
		Goal: fireflypath.MicrosOf(time.Second), Patience: fireflypath.MicrosOf(4 * time.Second),
		Deadline: fireflypath.MicrosOf(12 * time.Second),
	}
}

// offerBurst offers n requests of a rank, numbered from first, and returns the
// decisions.
func offerBurst(d *dispatcher.Dispatcher, now time.Time, daemon string, first, n, rank int) []fireflypath.Decision {
	var update fireflypath.DispatchUpdate
	for i := range n {
		update.Offers = append(update.Offers, newOffer(uint64(first+i), rank))
	}
	d.Apply(now, daemon, &update)
	return d.TakeDecisions(daemon)
}

func completion(n uint64) *fireflypath.DispatchUpdate {
	return &fireflypath.DispatchUpdate{Progress: []fireflypath.Progress{{Number: n, Kind: fireflypath.EventDone, Tokens: 30}}}
}

// Two daemons have requests for a pool whose slots are all taken by lower-tier
// work of the first one. A slot freed by the first daemon must go to the second
// one's higher-tier work. Scheduling for itself, the first daemon would use the
// slot for its own lower-tier work, and the other request would be late.
func TestHigherTierOfAnotherDaemonGoesFirst(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(2)
	d.OpenSession(startTime, "a", 1)
	d.OpenSession(startTime, "b", 2)
	is.Equal(len(offerBurst(d, startTime, "a", 1, 20, 2)), 6)
	is.Equal(len(offerBurst(d, startTime, "b", 1, 1, 0)), 0)
	d.Apply(startTime.Add(300*time.Millisecond), "a", completion(1))
	is.Equal(len(d.TakeDecisions("a")), 0)
	got := d.TakeDecisions("b")
	is.Equal(len(got), 1)
	is.Equal(got[0].Number, uint64(1))
	is.True(got[0].Target == "t0@5" || got[0].Target == "t1@5") // identity with incarnation
}

// A daemon restarts or connects to another dispatcher. Its waiting work is
// removed, but its work in flight must keep its slots until it is reported
// otherwise or times out. Freed at once, targets would get twice what they can
// run.
func TestClosedSessionKeepsSlotsInUse(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1)
	d.OpenSession(startTime, "a", 1)
	d.OpenSession(startTime, "b", 2)
	is.Equal(len(offerBurst(d, startTime, "a", 1, 5, 1)), 3)
	is.Equal(len(offerBurst(d, startTime, "b", 1, 3, 1)), 0)
	d.CloseSession(startTime, "a")
	is.Equal(len(d.TakeDecisions("b")), 0)
	is.Equal(d.Sessions(), []string{"b"})
	later := startTime.Add(200 * time.Millisecond)
	is.True(!d.Wake(startTime).After(later))
	// By now the daemon reports two requests itself; the third has ended.
	d.UpdatePeers(later, []fireflypath.PeerLoad{{Name: "a", InFlight: map[string]int{"t0@5": 2}}})
	d.Tick(later)
	is.Equal(len(d.TakeDecisions("b")), 1)
}

// A caller leaves while the decision on its request is being sent. The slot
// assigned to the request must become free again.
func TestWithdrawalAfterDecisionFreesSlot(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1)
	d.OpenSession(startTime, "a", 1)
	is.Equal(len(offerBurst(d, startTime, "a", 1, 4, 1)), 3)
	d.Apply(startTime, "a", &fireflypath.DispatchUpdate{Withdrawn: []uint64{2}})
	is.Equal(d.TakeDecisions("a")[0].Number, uint64(4))
}

// Work in flight counts against the slots, whether it is of a daemon that opens
// a session later or of one that schedules for itself.
func TestWorkPlacedElsewhereCounts(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1)
	d.UpdatePeers(startTime, []fireflypath.PeerLoad{
		{Name: "alone", InFlight: map[string]int{"t0@5": 1}},
		{Name: "a", InFlight: map[string]int{"t0@5": 1}},
	})
	d.OpenSession(startTime, "a", 1)
	d.Apply(startTime, "a", &fireflypath.DispatchUpdate{InFlight: []fireflypath.InFlightWork{{Offer: newOffer(1, 1), Target: "t0@5"}}})
	d.UpdatePeers(startTime, []fireflypath.PeerLoad{
		{Name: "alone", InFlight: map[string]int{"t0@5": 1}},
		{Name: "a", InFlight: map[string]int{"t0@5": 1}}, // also reported in the session, counted once
	})
	is.Equal(len(offerBurst(d, startTime, "a", 2, 5, 1)), 1)
	d.Apply(startTime, "a", completion(1))
	is.Equal(len(d.TakeDecisions("a")), 1)
}

// A daemon cannot send a request to the assigned target, as it knows that the
// target is leaving. The request must be assigned to another target and not be
// lost.
func TestUnsentWorkGoesToAnotherTarget(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(2)
	d.OpenSession(startTime, "a", 1)
	first := offerBurst(d, startTime, "a", 1, 1, 1)
	is.Equal(len(first), 1)
	d.Apply(startTime, "a", &fireflypath.DispatchUpdate{Progress: []fireflypath.Progress{{Number: 1, Kind: fireflypath.EventUnsent}}})
	second := d.TakeDecisions("a")
	is.Equal(len(second), 1)
	is.True(second[0].Target != first[0].Target)
}

// All slots are taken for longer than callers wait. Each waiting request must
// be refused exactly once, with a retry delay.
func TestOverloadIsRefusedBeforeCallersLeave(t *testing.T) {
	is := is.New(t)
	d := newDispatcher(1)
	d.OpenSession(startTime, "a", 1)
	is.Equal(len(offerBurst(d, startTime, "a", 1, 10, 1)), 3)
	refused := 0
	for now := startTime; now.Before(startTime.Add(5 * time.Second)); now = now.Add(50 * time.Millisecond) {
		d.Tick(now)
		for _, decision := range d.TakeDecisions("a") {
			is.Equal(decision.Target, "")
			is.Equal(decision.Reason, fireflypath.ReasonDeadline)
			is.True(decision.Retry > 0)
			refused++
		}
	}
	is.Equal(refused, 7)
}
