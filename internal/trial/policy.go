package trial

import (
	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// policy is a way to decide that is tried.
type policy struct {
	name string
	// make builds a daemon's scheduler; nil for the bound.
	make func(seed uint64, lowest int, targets []fireflypath.Target) fireflypath.Scheduler
	// shares is true if windows are split by demand instead of evenly.
	shares bool
	// cancel is true if running work of lower tiers is cancelled for higher work.
	cancel bool
}

// Policies lists the names of the policies in the order of the tables. The
// first is the shipped one; those that begin with place are it with another
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
		{name: "shipped", make: placed(place.Scored), shares: true},
		{name: "rr", make: newRoundRobin},
		{name: "least", make: newLeast},
		{name: "bound"},
		{name: "cancel", make: placed(place.Scored), shares: true, cancel: true},
		{name: "static", make: placed(place.Scored)},
		{name: "place-rr", make: placed(place.RoundRobin), shares: true},
		{name: "place-least", make: placed(place.LeastRequests), shares: true},
		{name: "place-two", make: placed(place.PowerOfTwoChoices), shares: true},
		{name: "place-hash", make: placed(place.PrefixHash), shares: true},
		{name: "place-ranking", make: placed(place.CachedRanking), shares: true},
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

func placed(kind place.Policy) func(uint64, int, []fireflypath.Target) fireflypath.Scheduler {
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
