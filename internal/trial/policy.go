package trial

import (
	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// policy is a scheduling policy under test.
type policy struct {
	name string
	// newScheduler returns a daemon's scheduler; it is nil for the bound.
	newScheduler func(seed uint64, lowest int, targets []fireflypath.Target) fireflypath.Scheduler
	// splitByDemand reports whether windows are split by demand instead of evenly.
	splitByDemand bool
	// cancels reports whether running work of lower tiers is cancelled for work of
	// higher ones.
	cancels bool
}

// Policies returns the names of the policies in the order of the tables. The first is
// the shipped one; those whose names begin with "place" differ from it only in the
// choice of targets.
func Policies() []string {
	var out []string
	for _, p := range policies() {
		out = append(out, p.name)
	}
	return out
}

func policies() []policy {
	return []policy{
		{name: "shipped", newScheduler: withPlacement(place.Scored), splitByDemand: true},
		{name: "rr", newScheduler: newRoundRobin},
		{name: "least", newScheduler: newLeast},
		{name: "bound"},
		{name: "cancel", newScheduler: withPlacement(place.Scored), splitByDemand: true, cancels: true},
		{name: "static", newScheduler: withPlacement(place.Scored)},
		{name: "place-rr", newScheduler: withPlacement(place.RoundRobin), splitByDemand: true},
		{name: "place-least", newScheduler: withPlacement(place.LeastRequests), splitByDemand: true},
		{name: "place-two", newScheduler: withPlacement(place.PowerOfTwoChoices), splitByDemand: true},
		{name: "place-hash", newScheduler: withPlacement(place.PrefixHash), splitByDemand: true},
		{name: "place-ranking", newScheduler: withPlacement(place.CachedRanking), splitByDemand: true},
	}
}

func findPolicy(name string) (policy, error) {
	for _, p := range policies() {
		if p.name == name {
			return p, nil
		}
	}
	return policy{}, errors.Wrapf(ErrUnknown, "policy %q", name)
}

func withPlacement(kind place.Policy) func(uint64, int, []fireflypath.Target) fireflypath.Scheduler {
	return func(seed uint64, lowest int, targets []fireflypath.Target) fireflypath.Scheduler {
		return sched.New(sched.Config{
			Pool:       fireflypath.Pool{Name: mix.Models, Kind: fireflypath.KindEngine},
			Targets:    targets,
			LowestRank: lowest,
			Seed:       seed,
			Placement:  kind,
		})
	}
}
