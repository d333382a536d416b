package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// targetsWithIncarnation returns n targets, the first one with the given
// incarnation.
func targetsWithIncarnation(n int, incarnation uint64) []fireflypath.Target {
	out := newTargets(n)
	out[0].Incarnation = incarnation
	return out
}

// A target crashes with all slots occupied and restarts under its name within a
// second. Nobody answers its requests, and their connections end late. If these
// requests still counted, the target would stay idle while callers wait.
func TestRestartedTargetIsEmpty(t *testing.T) {
	is := is.New(t)
	s := newScheduler(1)
	s.SetTargets(start, targetsWithIncarnation(1, 1))
	for i := range 8 {
		s.Offer(start, newWork(fmt.Sprint(i), 0, start), nil)
	}
	before := dispatchAll(s, start)
	is.Equal(len(before), 5)
	now := start.Add(time.Second)
	// Failures of the earlier incarnation do not eject the new one.
	s.Observe(now, fireflypath.Event{Kind: fireflypath.EventFailed, Target: "t0", Incarnation: 1, Work: before[0].Work})
	s.UpdatePeers(now, []fireflypath.PeerLoad{{Name: "other", InFlight: map[string]int{"t0@1": 5}, PendingPrompts: map[string]int{"t0@1": 9}}})
	s.SetTargets(now, targetsWithIncarnation(1, 2))
	is.Equal(len(dispatchAll(s, now)), 3)

	// Late reports about the earlier incarnation do not affect the new one.
	s.Observe(now, fireflypath.Event{Kind: fireflypath.EventReport, Target: "t0", Incarnation: 1, Report: fireflypath.Report{Running: 5}})
	s.Observe(now, fireflypath.Event{Kind: fireflypath.EventLeaving, Target: "t0", Incarnation: 1})
	s.Observe(now, fireflypath.Event{Kind: fireflypath.EventFailed, Target: "t0", Incarnation: 1, Work: before[1].Work})
	s.UpdatePeers(now, []fireflypath.PeerLoad{{Name: "other", InFlight: map[string]int{"t0@1": 5, "t0@2": 1}}})
	s.Offer(now, newWork("8", 0, now), nil)
	s.Offer(now, newWork("9", 0, now), nil)
	is.Equal(len(dispatchAll(s, now)), 1) // three of this daemon and one of the other occupy four of five slots

	// Reports of this daemon name the incarnation.
	m := fireflypath.NewPeerLoad("")
	s.Report(&m)
	is.Equal(m.InFlight, map[string]int{"t0@2": 4})
}
