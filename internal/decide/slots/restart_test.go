package slots_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// lives are the targets with the first one in the given life.
func lives(n int, incarnation uint64) []fireflypath.Target {
	out := targets(n)
	out[0].Incarnation = incarnation
	return out
}

// A target crashes with all its slots taken and starts again under its name within
// a second. Its requests are answered by nobody, and their connections end late. If
// they still counted, the target would stand empty beside waiting callers.
func TestRestartedTargetIsEmpty(t *testing.T) {
	is := is.New(t)
	s := sched(1)
	s.SetTargets(start, lives(1, 1))
	for i := range 8 {
		s.Offer(start, work(fmt.Sprint(i), 0, start), nil)
	}
	before := next(s, start)
	is.Equal(len(before), 5)
	now := start.Add(time.Second)
	// Failures of the life before keep no work from the next one.
	s.Observe(now, fireflypath.Event{Kind: fireflypath.EventFailed, Target: "t0", Incarnation: 1, Work: before[0].Work})
	s.Hear(now, []fireflypath.Mate{{Name: "other", Flights: map[string]int{"t0@1": 5}, Prompts: map[string]int{"t0@1": 9}}})
	s.SetTargets(now, lives(1, 2))
	is.Equal(len(next(s, now)), 3)

	// What is heard late of the life before says nothing of this one.
	s.Observe(now, fireflypath.Event{Kind: fireflypath.EventReport, Target: "t0", Incarnation: 1, Report: fireflypath.Report{Running: 5}})
	s.Observe(now, fireflypath.Event{Kind: fireflypath.EventLeaving, Target: "t0", Incarnation: 1})
	s.Observe(now, fireflypath.Event{Kind: fireflypath.EventFailed, Target: "t0", Incarnation: 1, Work: before[1].Work})
	s.Hear(now, []fireflypath.Mate{{Name: "other", Flights: map[string]int{"t0@1": 5, "t0@2": 1}}})
	s.Offer(now, work("8", 0, now), nil)
	s.Offer(now, work("9", 0, now), nil)
	is.Equal(len(next(s, now)), 1) // 3 from here, 1 from there, and the fifth

	// What this daemon tells names the life that it speaks of.
	m := fireflypath.NewMate("")
	s.Report(&m)
	is.Equal(m.Flights, map[string]int{"t0@2": 4})
}
