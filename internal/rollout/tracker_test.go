package rollout_test

import (
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/rollout"
)

// newTracker returns a tracker that knows the roll-outs.
func newTracker(rollouts ...fireflypath.Rollout) *rollout.Tracker {
	t := rollout.NewTracker(rollout.TrackerDeps{
		Self: "a", Members: fleet{"a"}, Peers: &trialDaemon{handlers: map[string]peer.Handler{}}, Policy: policy,
		Clock: clockwork.NewRealClock(), Scope: tally.NoopScope, Log: zap.NewNop(),
	})
	t.Apply(&fireflypath.Config{Rollouts: rollouts})
	return t
}

var oldTarget = fireflypath.Target{Name: "old", Pool: "p", Version: "v1"}

// Guards against an order that costs the requests of other pools, and those of all while there is none.
func TestRequestWithoutOrderAllocatesNothing(t *testing.T) {
	is := is.New(t)
	tracker := newTracker(fireflypath.Rollout{RolloutOrder: fireflypath.RolloutOrder{Pool: "other", Version: "v2"}})
	is.Equal(testing.AllocsPerRun(1000, func() {
		_, _, ok := tracker.Try("p", "r", "", true)
		_, a, redirected := tracker.Begin("r", oldTarget, true)
		if ok || redirected {
			t.Fatal("there is no order")
		}
		a.First()
		a.End(false, false, 1)
	}), 0.0)
}

// Guards against a request at an old target after this daemon has reported that it sends no more there.
func TestSwitchRedirectsRequests(t *testing.T) {
	is := is.New(t)
	r := fireflypath.Rollout{
		RolloutOrder: fireflypath.RolloutOrder{Pool: "p", Version: "v2"}, Tried: true,
		Record:  fireflypath.RolloutRecord{ID: 1, Version: "v2", Phase: fireflypath.RolloutSwitch},
		Targets: []fireflypath.Target{{Name: "new", Pool: "p", Version: "v2"}},
	}
	tracker := newTracker(r)
	target, _, redirected := tracker.Begin("r", oldTarget, true)
	is.True(redirected)
	is.Equal(target.Name, "new")
	r.Record.Phase = fireflypath.RolloutRejected
	tracker.Apply(&fireflypath.Config{Rollouts: []fireflypath.Rollout{r}})
	target, _, redirected = tracker.Begin("r", oldTarget, true)
	is.True(!redirected)
	is.Equal(target.Name, "old")
}

// A request while no version is tried must cost next to nothing.
func BenchmarkRequestWithoutOrder(b *testing.B) {
	tracker := newTracker()
	b.ReportAllocs()
	for b.Loop() {
		_, _, _ = tracker.Try("p", "r", "", true)
		_, a, _ := tracker.Begin("r", oldTarget, true)
		a.First()
		a.End(false, false, 1)
	}
}
