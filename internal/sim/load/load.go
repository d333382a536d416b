// Package load defines the patterns of load and faults under which a fleet is
// simulated.
package load

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnknown is returned for the name of a load that does not exist.
var ErrUnknown = errors.New("unknown load")

// Load is a pattern of arrivals and faults over time.
type Load struct {
	Name string
	// Rate multiplies the rate of all kinds of work during the whole run.
	Rate float64
	// Bursts multiply the rate further for a limited time.
	Bursts []Burst
	// Outages remove engines.
	Outages []Outage
	// Slowdowns make engines slower.
	Slowdowns []Slowdown
	// Limits make engines name a rate limit.
	Limits []Limit
	// Backoffs make engines turn requests away and ask for a backoff.
	Backoffs []Backoff
	// Brittle makes engines fail when they turn away too much.
	Brittle []Brittle
	// Cuts take the paths to engines from daemons.
	Cuts []Cut
	// Versions is the number of versions of the engines' software, which take turns in the order of their
	// start. With fewer than two, versions do not matter.
	Versions int
	// Breaks make engines break answers off.
	Breaks []Break
	// CrashingParts are parts of prompts that crash engines.
	CrashingParts []CrashingPart
	// Silences make engines fall silent for a moment.
	Silences []Silence
	// Restarts kill and restart daemons.
	Restarts []Restart
	// Skews send more of the requests to some cells of daemons than to others.
	Skews []Skew
	// Impatient is the fraction of callers that retry immediately after a refusal, up
	// to three times instead of once.
	Impatient float64
	// Teams are the teams that send the work; without any, teams do not matter.
	Teams []Team
}

// Team is one of the teams that send work. Rates are relative to each other.
type Team struct {
	// Rate is what the team sends, Usual what it usually sends and by which its weight is set.
	Rate, Usual float64
}

// Burst is an interval with a higher rate.
type Burst struct {
	At, Duration time.Duration
	Factor       float64
	// Kind is the index of the only affected kind of work; a negative one means all of
	// them.
	Kind int
}

// Outage removes a fraction of the engines.
type Outage struct {
	At, Duration time.Duration
	Fraction     float64
	// Stagger is the delay between successive engines, both when they leave and when
	// they return; 0 means all at once.
	Stagger time.Duration
	// Planned outages are announced: replacement engines start first and the leaving
	// engines finish their work.
	Planned bool
	// AnnouncedInAnswers is true if a leaving engine of a planned outage says so in its
	// answers only, for leavingTime before its registration does.
	AnnouncedInAnswers bool
}

// Slowdown makes a fraction of the engines slower.
type Slowdown struct {
	At, Duration     time.Duration
	Fraction, Factor float64
}

// Limit makes a fraction of the engines name a rate limit, in requests per second.
type Limit struct {
	At, Duration        time.Duration
	Fraction, PerSecond float64
}

// Backoff makes a fraction of the engines turn requests away. Each asks the daemon whose request it
// turns away for a time without more.
type Backoff struct {
	At, Duration time.Duration
	Fraction     float64
	Time         time.Duration
}

// Brittle makes a fraction of the engines fall over when they turn away more requests in a second than
// the number for want of room. They say so for a while before.
type Brittle struct {
	At, Duration  time.Duration
	Fraction      float64
	MaxTurnedAway int
}

// Cut takes the paths to a fraction of the engines from a fraction of the daemons.
type Cut struct {
	At, Duration     time.Duration
	Daemons, Engines float64
}

// Break makes all engines break a fraction of their answers off.
type Break struct {
	At, Duration time.Duration
	Fraction     float64
}

// Silence makes a fraction of the engines fall silent. They lose nothing and go on.
type Silence struct {
	At, Duration time.Duration
	Fraction     float64
}

// CrashingPart adds requests that all differ and share a part of their prompts. Each engine that begins
// to answer one of them crashes, and is away for some time. They come in bursts.
type CrashingPart struct {
	At, Duration, Interval, Away time.Duration
	Burst                        int
}

// Restart kills a fraction of the daemons; they restart immediately with empty state.
type Restart struct {
	At       time.Duration
	Fraction float64
}

// Skew multiplies the part of the requests that the daemons of the first cells get.
type Skew struct {
	At, Duration time.Duration
	Cells        int
	Factor       float64
}

// Span is the duration over which requests arrive.
const Span = 30 * time.Second

func seconds(sec float64) time.Duration { return time.Duration(sec * float64(time.Second)) }

// flashBursts returns a long burst above the fleet's capacity and a short, higher one.
func flashBursts() []Burst {
	return []Burst{{At: seconds(2), Duration: seconds(5), Factor: 1.7, Kind: -1}, {At: seconds(12), Duration: seconds(2.5), Factor: 1.9, Kind: -1}}
}

// All returns the named loads in the order of the tables. At rate 1 requests arrive at
// the rates that the fleet defines.
func All() []Load {
	return []Load{
		{Name: "calm", Rate: 0.6},
		{Name: "steady", Rate: 1},
		{Name: "flash", Rate: 1, Bursts: flashBursts()},
		{Name: "shortage", Rate: 1, Outages: []Outage{{At: seconds(5), Duration: seconds(6), Fraction: 0.33}}},
		{
			Name: "flash-shortage", Rate: 1, Bursts: flashBursts(),
			Outages: []Outage{{At: seconds(5.8), Duration: seconds(4.6), Fraction: 0.14}, {At: seconds(8.8), Duration: seconds(2), Fraction: 0.25}},
		},
		{
			Name: "return", Rate: 1, Bursts: []Burst{{At: seconds(5), Duration: seconds(5), Factor: 1.5, Kind: -1}},
			Outages: []Outage{{At: seconds(3), Duration: seconds(4), Fraction: 0.5}},
		},
		{Name: "release", Rate: 1, Outages: []Outage{{At: seconds(4), Fraction: 0.5, Stagger: seconds(1.1), Planned: true}}},
		{Name: "release-answers", Rate: 0.8, Outages: []Outage{{At: seconds(4), Fraction: 0.5, Stagger: seconds(1.1), Planned: true, AnnouncedInAnswers: true}}},
		{Name: "backoffs", Rate: 1, Backoffs: []Backoff{{At: seconds(6), Duration: seconds(1.5), Fraction: 0.5, Time: 3 * time.Second}}},
		{
			Name: "backoffs-restarts", Rate: 0.8, Backoffs: []Backoff{{At: seconds(5), Duration: seconds(2), Fraction: 0.34, Time: 4 * time.Second}},
			Restarts: []Restart{{At: seconds(7), Fraction: 0.34}},
		},
		{Name: "slow", Rate: 0.8, Slowdowns: []Slowdown{{At: seconds(4), Duration: seconds(8), Fraction: 0.25, Factor: 6}}},
		{Name: "limits", Rate: 1, Limits: []Limit{{At: seconds(6), Duration: seconds(14), Fraction: 0.17, PerSecond: 2}}},
		{
			Name: "limits-restarts", Rate: 1, Limits: []Limit{{At: seconds(4), Duration: seconds(20), Fraction: 0.34, PerSecond: 1.5}},
			Restarts: []Restart{{At: seconds(8), Fraction: 1}, {At: seconds(14), Fraction: 0.5}},
		},
		{Name: "restarts", Rate: 1, Restarts: []Restart{{At: seconds(6), Fraction: 1}, {At: seconds(14), Fraction: 0.5}}},
		{Name: "brittle", Rate: 1.1, Bursts: flashBursts(), Brittle: []Brittle{{At: seconds(2), Duration: seconds(22), Fraction: 1, MaxTurnedAway: 2}}},
		{
			Name: "brittle-restarts", Rate: 1.1, Brittle: []Brittle{{At: seconds(2), Duration: seconds(22), Fraction: 1, MaxTurnedAway: 4}},
			Restarts: []Restart{{At: seconds(9), Fraction: 0.34}},
		},
		{Name: "cut", Rate: 0.8, Cuts: []Cut{{At: seconds(5), Duration: seconds(12), Daemons: 0.4, Engines: 1}}},
		{Name: "cut-most", Rate: 0.8, Cuts: []Cut{{At: seconds(5), Duration: seconds(12), Daemons: 0.65, Engines: 1}}},
		{Name: "cut-some", Rate: 0.8, Cuts: []Cut{{At: seconds(5), Duration: seconds(12), Daemons: 0.75, Engines: 0.5}}},
		{Name: "silences", Rate: 0.8, Silences: []Silence{
			{At: seconds(4), Duration: seconds(1.2), Fraction: 0.34}, {At: seconds(11), Duration: seconds(1.5), Fraction: 0.5},
		}},
		{Name: "part", Rate: 0.7, CrashingParts: []CrashingPart{{At: seconds(5), Duration: seconds(14), Interval: seconds(0.33), Away: seconds(3)}}},
		{Name: "part-bursts", Rate: 0.7, CrashingParts: []CrashingPart{{At: seconds(5), Duration: seconds(14), Interval: seconds(2), Away: seconds(3), Burst: 6}}},
		{
			Name: "parts-shortage", Rate: 0.7, CrashingParts: []CrashingPart{
				{At: seconds(4), Duration: seconds(16), Interval: seconds(0.5), Away: seconds(2)},
				{At: seconds(4.1), Duration: seconds(16), Interval: seconds(0.4), Away: seconds(2)},
			},
			Outages: []Outage{{At: seconds(5), Duration: seconds(4), Fraction: 0.33}}, Restarts: []Restart{{At: seconds(7), Fraction: 0.34}},
		},
		{Name: "versions", Rate: 0.8, Versions: 2, Breaks: []Break{{At: seconds(2), Duration: seconds(24), Fraction: 0.3}}},
		{
			Name: "versions-release", Rate: 0.8, Versions: 3, Breaks: []Break{{At: seconds(2), Duration: seconds(24), Fraction: 0.3}},
			Outages:  []Outage{{At: seconds(4), Fraction: 0.6, Stagger: seconds(1.1), Planned: true}, {At: seconds(14), Duration: seconds(4), Fraction: 0.2}},
			Restarts: []Restart{{At: seconds(8), Fraction: 0.34}, {At: seconds(18), Fraction: 0.34}},
		},
		{Name: "abuse", Rate: 1, Bursts: flashBursts(), Impatient: 0.3},
		{Name: "overload", Rate: 1.6},
	}
}

// Find returns the load with the name; "drawn" is random and depends on the seed.
func Find(name string, seed uint64) (Load, error) {
	if name == "drawn" {
		return randomLoad(seed), nil
	}
	for _, l := range All() {
		if l.Name == name {
			return l, nil
		}
	}
	return Load{}, errors.Wrapf(ErrUnknown, "%q", name)
}

// randomLoad returns a heavy load with a random rate, one to three bursts and up to two
// outages.
func randomLoad(seed uint64) Load {
	r := rand.New(rand.NewPCG(seed, 17))
	between := func(lo, hi float64) float64 { return lo + (hi-lo)*r.Float64() }
	l := Load{Name: "drawn", Rate: between(0.7, 1.1)}
	for range 1 + r.IntN(3) {
		l.Bursts = append(l.Bursts, Burst{At: seconds(between(1, 22)), Duration: seconds(between(2, 6)), Factor: between(1.4, 2.3), Kind: r.IntN(5) - 2})
	}
	for range r.IntN(3) {
		l.Outages = append(l.Outages, Outage{
			At: seconds(between(1, 20)), Duration: seconds(between(1, 6)), Fraction: between(0.1, 0.4), Planned: r.IntN(3) == 0, Stagger: seconds(float64(r.IntN(2))),
		})
	}
	if r.IntN(3) == 0 {
		l.Slowdowns = append(l.Slowdowns, Slowdown{At: seconds(between(1, 20)), Duration: seconds(between(3, 8)), Fraction: between(0.1, 0.3), Factor: between(2, 8)})
	}
	return l
}

// CellFactor returns the factor on the part of the requests that a cell gets at a time.
func (l Load) CellFactor(cell int, at time.Duration) float64 {
	f := 1.0
	for _, s := range l.Skews {
		if at >= s.At && at < s.At+s.Duration && cell < s.Cells {
			f *= s.Factor
		}
	}
	return f
}

// RateFactor returns the factor on the rate of a kind of work at a time.
func (l Load) RateFactor(kind int, at time.Duration) float64 {
	f := l.Rate
	for _, b := range l.Bursts {
		if at >= b.At && at < b.At+b.Duration && (b.Kind < 0 || b.Kind == kind) {
			f *= b.Factor
		}
	}
	return f
}
