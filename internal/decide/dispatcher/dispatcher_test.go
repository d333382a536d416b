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

var start = time.Unix(1000, 0)

// queue is a dispatcher before so many targets of three slots each.
func queue(targets int) *dispatcher.Dispatcher {
	p := fireflypath.Pool{Name: "p", Stride: 3}
	d := dispatcher.New("p", slots.New(p, 7, slots.DispatcherTuning()))
	var list []fireflypath.Target
	for i := range targets {
		list = append(list, fireflypath.Target{
			Name: fmt.Sprintf("t%d", i), Pool: "p", Addr: fmt.Sprintf("127.0.0.1:%d", i+1), Slots: 3, Incarnation: 5,
		})
	}
	d.SetTargets(start, list)
	return d
}

func offer(n uint64, rank int) fireflypath.Offer {
	return fireflypath.Offer{
		Number: n, Rank: rank, Prompt: 500, Output: 100, Expected: 100,
		Goal: fireflypath.MicrosOf(time.Second), Leaves: fireflypath.MicrosOf(4 * time.Second),
		Deadline: fireflypath.MicrosOf(12 * time.Second),
	}
}

// burst offers that many requests of a rank, numbered from first on.
func burst(d *dispatcher.Dispatcher, now time.Time, daemon string, first, n, rank int) []fireflypath.Turn {
	var news fireflypath.News
	for i := range n {
		news.Offers = append(news.Offers, offer(uint64(first+i), rank))
	}
	d.Apply(now, daemon, &news)
	return d.TakeDecisions(daemon)
}

func done(n uint64) *fireflypath.News {
	return &fireflypath.News{Progress: []fireflypath.Progress{{Number: n, Kind: fireflypath.EventDone, Tokens: 30}}}
}

// Two daemons have a burst of low work, which fills all slots, and high work comes to
// the second one. A slot that the first one's work leaves goes to the high work: by
// itself the first daemon would give it to its own low work again and again, and the
// high work would be late beside it.
func TestHigherWorkOfAnotherDaemonGoesFirst(t *testing.T) {
	is := is.New(t)
	d := queue(2)
	d.OpenSession(start, "a", 1)
	d.OpenSession(start, "b", 2)
	is.Equal(len(burst(d, start, "a", 1, 20, 2)), 6)
	is.Equal(len(burst(d, start, "b", 1, 1, 0)), 0)
	d.Apply(start.Add(300*time.Millisecond), "a", done(1))
	is.Equal(len(d.TakeDecisions("a")), 0)
	got := d.TakeDecisions("b")
	is.Equal(len(got), 1)
	is.Equal(got[0].Number, uint64(1))
	is.True(got[0].Target == "t0@5" || got[0].Target == "t1@5") // the life that is meant
}

// A daemon restarts, or turns to another dispatcher. What waited for it is gone with
// it. What it has at targets goes on: counted as gone, targets would get twice what
// they can run until somebody tells of it.
func TestDaemonThatLeavesKeepsItsPlaces(t *testing.T) {
	is := is.New(t)
	d := queue(1)
	d.OpenSession(start, "a", 1)
	d.OpenSession(start, "b", 2)
	is.Equal(len(burst(d, start, "a", 1, 5, 1)), 3)
	is.Equal(len(burst(d, start, "b", 1, 3, 1)), 0)
	d.CloseSession(start, "a")
	is.Equal(len(d.TakeDecisions("b")), 0)
	is.Equal(d.Sessions(), []string{"b"})
	later := start.Add(200 * time.Millisecond)
	is.True(!d.Wake(start).After(later))
	// By now the daemon has told of two of them itself, and one has ended.
	d.UpdatePeers(later, []fireflypath.Mate{{Name: "a", Flights: map[string]int{"t0@5": 2}}})
	d.Tick(later)
	is.Equal(len(d.TakeDecisions("b")), 1)
}

// A caller leaves while the decision about its request is on the way. The place that
// it would have had is free again.
func TestWithdrawalThatCrossesItsTurn(t *testing.T) {
	is := is.New(t)
	d := queue(1)
	d.OpenSession(start, "a", 1)
	is.Equal(len(burst(d, start, "a", 1, 4, 1)), 3)
	d.Apply(start, "a", &fireflypath.News{Withdrawn: []uint64{2}})
	is.Equal(d.TakeDecisions("a")[0].Number, uint64(4))
}

// A daemon that turns to this dispatcher has work at the targets already, and so have
// daemons that decide for themselves.
func TestWorkThatOthersPlacedCounts(t *testing.T) {
	is := is.New(t)
	d := queue(1)
	d.UpdatePeers(start, []fireflypath.Mate{
		{Name: "alone", Flights: map[string]int{"t0@5": 1}},
		{Name: "a", Flights: map[string]int{"t0@5": 1}},
	})
	d.OpenSession(start, "a", 1)
	d.Apply(start, "a", &fireflypath.News{Flights: []fireflypath.Flight{{Offer: offer(1, 1), Target: "t0@5"}}})
	d.UpdatePeers(start, []fireflypath.Mate{
		{Name: "alone", Flights: map[string]int{"t0@5": 1}},
		{Name: "a", Flights: map[string]int{"t0@5": 1}}, // told here as well, and counted once
	})
	is.Equal(len(burst(d, start, "a", 2, 5, 1)), 1)
	d.Apply(start, "a", done(1))
	is.Equal(len(d.TakeDecisions("a")), 1)
}

// A daemon cannot send to the target that it was given: it has heard that the target
// leaves. The work waits for another one and is not lost.
func TestWorkThatWasNotSentIsPlacedAnew(t *testing.T) {
	is := is.New(t)
	d := queue(2)
	d.OpenSession(start, "a", 1)
	first := burst(d, start, "a", 1, 1, 1)
	is.Equal(len(first), 1)
	d.Apply(start, "a", &fireflypath.News{Progress: []fireflypath.Progress{{Number: 1, Kind: fireflypath.EventUnsent}}})
	second := d.TakeDecisions("a")
	is.Equal(len(second), 1)
	is.True(second[0].Target != first[0].Target)
}

// All is full for longer than callers stay. Each is told that its request has not run
// and when to come back, once.
func TestOverloadIsRefusedInTime(t *testing.T) {
	is := is.New(t)
	d := queue(1)
	d.OpenSession(start, "a", 1)
	is.Equal(len(burst(d, start, "a", 1, 10, 1)), 3)
	refused := 0
	for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(50 * time.Millisecond) {
		d.Tick(now)
		for _, turn := range d.TakeDecisions("a") {
			is.Equal(turn.Target, "")
			is.Equal(turn.Reason, fireflypath.ReasonDeadline)
			is.True(turn.Retry > 0)
			refused++
		}
	}
	is.Equal(refused, 7)
}
