// Package load names the patterns of load and trouble that a fleet is simulated under.
package load

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnknown is the name of a load that does not exist.
var ErrUnknown = errors.New("unknown load")

// Load is a pattern over time.
type Load struct {
	Name string
	// Rate multiplies the rate of all kinds of work from the start on.
	Rate float64
	// Bursts multiply it further for a while.
	Bursts []Burst
	// Outages take engines away.
	Outages []Outage
	// Slows make engines slower.
	Slows []Slow
	// Restarts kill daemons.
	Restarts []Restart
	// Impatient is the part of the callers who come back at once when refused, and
	// three times as often.
	Impatient float64
}

// Burst is a time of more work.
type Burst struct {
	At, For time.Duration
	Factor  float64
	// Kind is the only kind of work that grows, from 0; all of them if negative.
	Kind int
}

// Outage takes a part of the engines away.
type Outage struct {
	At, For time.Duration
	Part    float64
	// Step is the time between two engines that go, and between two that return; 0
	// is all at once.
	Step time.Duration
	// Planned is true for engines that say so before, and end their work. Their
	// successors are there before they go.
	Planned bool
}

// Slow makes a part of the engines slower.
type Slow struct {
	At, For      time.Duration
	Part, Factor float64
}

// Restart kills a part of the daemons, who start again at once and know nothing.
type Restart struct {
	At   time.Duration
	Part float64
}

// Span is how long requests arrive.
const Span = 30 * time.Second

func s(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// flash is a burst that a fleet cannot serve, and a short sharp one.
func flash() []Burst {
	return []Burst{{At: s(2), For: s(5), Factor: 1.7, Kind: -1}, {At: s(12), For: s(2.5), Factor: 1.9, Kind: -1}}
}

// All are the named loads in the order of tables. A rate of 1 is what the fleet's
// kinds of work say.
func All() []Load {
	return []Load{
		{Name: "calm", Rate: 0.6},
		{Name: "steady", Rate: 1},
		{Name: "flash", Rate: 1, Bursts: flash()},
		{Name: "shortage", Rate: 1, Outages: []Outage{{At: s(5), For: s(6), Part: 0.33}}},
		{
			Name: "flash-shortage", Rate: 1, Bursts: flash(),
			Outages: []Outage{{At: s(5.8), For: s(4.6), Part: 0.14}, {At: s(8.8), For: s(2), Part: 0.25}},
		},
		{
			Name: "return", Rate: 1, Bursts: []Burst{{At: s(5), For: s(5), Factor: 1.5, Kind: -1}},
			Outages: []Outage{{At: s(3), For: s(4), Part: 0.5}},
		},
		{Name: "release", Rate: 1, Outages: []Outage{{At: s(4), Part: 0.5, Step: s(1.1), Planned: true}}},
		{Name: "slow", Rate: 0.8, Slows: []Slow{{At: s(4), For: s(8), Part: 0.25, Factor: 6}}},
		{Name: "restarts", Rate: 1, Restarts: []Restart{{At: s(6), Part: 1}, {At: s(14), Part: 0.5}}},
		{Name: "abuse", Rate: 1, Bursts: flash(), Impatient: 0.3},
		{Name: "overload", Rate: 1.6},
	}
}

// Find is the load of a name; "drawn" is one that differs from seed to seed.
func Find(name string, seed uint64) (Load, error) {
	if name == "drawn" {
		return drawn(seed), nil
	}
	for _, l := range All() {
		if l.Name == name {
			return l, nil
		}
	}
	return Load{}, errors.Wrapf(ErrUnknown, "%q", name)
}

// drawn is a heavy day: a rate, one to three bursts and up to two outages.
func drawn(seed uint64) Load {
	r := rand.New(rand.NewPCG(seed, 17))
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*r.Float64() }
	l := Load{Name: "drawn", Rate: between(0.7, 1.1)}
	for range 1 + r.IntN(3) {
		l.Bursts = append(l.Bursts, Burst{At: s(between(1, 22)), For: s(between(2, 6)), Factor: between(1.4, 2.3), Kind: r.IntN(5) - 2})
	}
	for range r.IntN(3) {
		l.Outages = append(l.Outages, Outage{
			At: s(between(1, 20)), For: s(between(1, 6)), Part: between(0.1, 0.4), Planned: r.IntN(3) == 0, Step: s(float64(r.IntN(2))),
		})
	}
	if r.IntN(3) == 0 {
		l.Slows = append(l.Slows, Slow{At: s(between(1, 20)), For: s(between(3, 8)), Part: between(0.1, 0.3), Factor: between(2, 8)})
	}
	return l
}

// Factor is what the rate of a kind of work is multiplied by at a time.
func (l Load) Factor(kind int, at time.Duration) float64 {
	f := l.Rate
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.For && (b.Kind < 0 || b.Kind == kind) {
			f *= b.Factor
		}
	}
	return f
}
