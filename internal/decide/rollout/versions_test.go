package rollout_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/rollout"
)

const pool = "p"

// targets returns one target of each version.
func targets(versions ...string) []fireflypath.Target {
	var out []fireflypath.Target
	for _, v := range versions {
		out = append(out, fireflypath.Target{Name: "t-" + v, Pool: pool, Version: v})
	}
	return out
}

// admitted returns the versions that may receive work.
func admitted(l *rollout.Versions, versions ...string) string {
	out := ""
	for _, t := range l.Filter(targets(versions...)) {
		out += t.Version + " "
	}
	return out
}

func order(version string) fireflypath.RolloutOrder {
	return fireflypath.RolloutOrder{Version: version}
}

// status returns a status of version v2.
func status(state fireflypath.RolloutState) fireflypath.RolloutStatus {
	return fireflypath.RolloutStatus{Pool: pool, Version: "v2", State: state}
}

// A bad version registers its targets beside the old ones. It must receive no work before
// the roll-out has a result, and none after it was rolled back, also when the next order has
// replaced the one that named it.
func TestVersionOnTrialReceivesNothing(t *testing.T) {
	is := is.New(t)
	l := rollout.New()
	is.Equal(admitted(l, "v1", "v2"), "v1 v2 ") // without an order, versions do not matter
	l.SetOrder(pool, order("v2"), 10)
	is.Equal(admitted(l, "v1", "v2"), "v1 ")
	l.SetStatus(status(fireflypath.RolloutRunning), 11)
	is.Equal(admitted(l, "v1", "v2"), "v1 ")
	l.SetRefused(pool, []string{"v2"}, 12)
	l.SetStatus(status(fireflypath.RolloutRolledBack), 13)
	is.Equal(admitted(l, "v1", "v2"), "v1 ")
	l.SetOrder(pool, order("v3"), 14)
	is.Equal(admitted(l, "v1", "v2", "v3"), "v1 ")
	l.RemoveOrder(pool)
	is.Equal(admitted(l, "v1", "v2", "v3"), "v1 v3 ")
}

// An order comes again, or names the version that serves already. A result of an earlier
// order must not count for it, and the targets that serve must not be taken out.
func TestRepeatedOrder(t *testing.T) {
	is := is.New(t)
	l := rollout.New()
	l.SetStatus(status(fireflypath.RolloutCompleted), 5)
	l.SetOrder(pool, order("v2"), 10)
	is.Equal(admitted(l, "v1", "v2"), "v1 ")
	is.Equal(admitted(l, "v2"), "v2 ")
	is.True(!l.Rollouts(targets("v1", "v2"))[0].Decided)
	is.True(l.Rollouts(targets("v2"))[0].Fulfilled)
	is.True(!l.Rollouts(targets("v1", "v2"))[0].Fulfilled)
	is.True(!l.Rollouts(nil)[0].Fulfilled)
	l.SetStatus(status(fireflypath.RolloutCompleted), 11)
	is.Equal(admitted(l, "v1", "v2"), "v1 v2 ")
	is.True(l.Rollouts(targets("v1", "v2"))[0].Decided)
}

// A pool with an order must not affect another one.
func TestOtherPoolsKeepTheirTargets(t *testing.T) {
	is := is.New(t)
	l := rollout.New()
	l.SetOrder("other", order("v2"), 10)
	is.Equal(admitted(l, "v1", "v2"), "v1 v2 ")
}
