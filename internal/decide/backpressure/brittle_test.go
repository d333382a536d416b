package backpressure_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/backpressure"
)

func brittle(maxTurnedAway int) fireflypath.Notice {
	return fireflypath.Notice{Brittle: true, MaxTurnedAway: maxTurnedAway}
}

// Guards against a brittle target that is pressed on while it turns requests away.
func TestBrittleTargetIsSparedAfterRefusals(t *testing.T) {
	is := is.New(t)
	b := backpressure.New()
	b.Observe(start, "t", brittle(6), start)
	target := b.Find("t")
	is.Equal(target.MaxInFlight(start, 5, 1), 5)
	is.True(target.BearsRefusal(start, 1))
	for i := range 3 {
		at := start.Add(time.Duration(i) * 10 * time.Millisecond)
		is.True(target.BearsRefusal(at, 1))
		target.CountTurnedAway(at, 4)
	}
	is.True(!target.BearsRefusal(start.Add(100*time.Millisecond), 1)) // half of what it bears
	at := target.BearsRefusalAt(start.Add(100 * time.Millisecond))
	is.True(at.Sub(start) > time.Second)
	is.True(target.BearsRefusal(at, 1))
	is.Equal(target.MaxInFlight(at, 5, 1), 4)
	is.Equal(target.MaxInFlight(start.Add(time.Minute), 5, 1), 5)
	is.Equal(target.MaxInFlight(start.Add(time.Minute), 5, 0.1), 1)
}

// Guards against a target that bears nothing and is therefore never used.
func TestTargetThatBearsNothingIsUsed(t *testing.T) {
	is := is.New(t)
	b := backpressure.New()
	b.Observe(start, "t", brittle(0), start)
	is.True(b.Find("t").BearsRefusal(start, 0.1))
	b.Find("t").CountTurnedAway(start, 2)
	is.True(!b.Find("t").BearsRefusal(start.Add(time.Second), 1))
	is.True(b.Find("t").BearsRefusal(start.Add(2*time.Second), 1))
}

// Guards against daemons that do not know that a target is brittle, and against a target that stays
// brittle for them after it has said otherwise.
func TestBrittlenessIsPassedOn(t *testing.T) {
	is := is.New(t)
	a, b := backpressure.New(), backpressure.New()
	a.Observe(start, "t", brittle(3), start)
	b.Apply(start.Add(time.Second), a.Notices(start.Add(time.Second)))
	is.True(b.Find("t").Brittle())
	is.True(!b.Find("other").Brittle())
	a.Observe(start.Add(2*time.Second), "t", fireflypath.Notice{}, start.Add(-time.Second))
	is.True(a.Find("t").Brittle()) // the request was sent before
	a.Observe(start.Add(3*time.Second), "t", fireflypath.Notice{}, start.Add(2*time.Second))
	is.True(!a.Find("t").Brittle())
	b.Apply(start.Add(4*time.Second), a.Notices(start.Add(4*time.Second)))
	is.True(!b.Find("t").Brittle())
}
