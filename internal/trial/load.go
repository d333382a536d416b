package trial

import (
	"time"

	"github.com/fireflypath/fireflypath/internal/mix"
)

const (
	// warmUp is the initial time without measurement, in which daemons learn the speeds
	// of targets and caches fill.
	warmUp = 20 * time.Second
	// baseRate is the rate outside of a load's bursts, as a fraction of the cold
	// capacity.
	baseRate = 0.6
)

// load is a pattern of arrivals and faults.
type load struct {
	name string
	// rate is a fraction of the cold capacity.
	rate      float64
	bursts    func(m mix.Mix, span time.Duration) []mix.Burst
	transform func(m mix.Mix) mix.Mix
	// slowEngines lists engines that are slower by slowFactor in the middle third.
	slowEngines []int
	// retries reports whether refused callers retry, most of them early.
	retries bool
	// group returns the name of an arrival's group in addition to its tier.
	group func(m mix.Mix, a mix.Arrival) string
}

const slowFactor = 10

func loads() []load {
	return []load{
		{name: "steady", rate: 0.7},
		{name: "burst", rate: baseRate, bursts: allTeams(6, 0.4, 0.08)},
		{name: "hot-team", rate: baseRate, bursts: hotTeamBurst, group: groupByTeam},
		{name: "hot-team-calm", rate: baseRate, group: groupByTeam},
		{name: "hot-prefix", rate: 0.7, transform: onePrefix},
		{name: "slow-target", rate: 0.7, slowEngines: []int{0, 4}},
		{name: "long-short", rate: 0.8, transform: longShort, group: groupBySize},
		{name: "overload-1.5", rate: baseRate, bursts: allTeams(1.5/baseRate, 0, 1)},
		{name: "overload-3", rate: baseRate, bursts: allTeams(3/baseRate, 0, 1)},
		{name: "flood-1.5", rate: baseRate, bursts: flood(1.5)},
		{name: "flood-3", rate: baseRate, bursts: flood(3)},
		{name: "retry-storm", rate: baseRate, bursts: allTeams(3/baseRate, 0.2, 0.4), retries: true},
	}
}

// allTeams raises the rate of all teams during a part of the measured time.
func allTeams(factor, from, part float64) func(mix.Mix, time.Duration) []mix.Burst {
	return func(_ mix.Mix, span time.Duration) []mix.Burst {
		measured := float64(span - warmUp)
		return []mix.Burst{{
			Start:    warmUp + time.Duration(from*measured),
			Duration: time.Duration(part * measured),
			Factor:   factor,
		}}
	}
}

// hotTeam returns the name of a team that shares its tier with another one.
func hotTeam(m mix.Mix) string {
	if m.Name == "pozo" {
		return "extraction"
	}
	return "traders"
}

// flood raises the rate of all teams to a multiple of the capacity with all shared
// documents cached. The overload loads are multiples of the cold capacity, which good
// placement doubles or triples: they overload a plain gateway, while flood loads exceed
// what any policy can serve.
func flood(times float64) func(m mix.Mix, span time.Duration) []mix.Burst {
	return func(m mix.Mix, span time.Duration) []mix.Burst {
		return allTeams(times*warmCapacity(m)/(baseRate*coldCapacity(m)), 0, 1)(m, span)
	}
}

// hotTeamBurst makes one team send twelve times as much, which exceeds the capacity.
func hotTeamBurst(m mix.Mix, span time.Duration) []mix.Burst {
	return []mix.Burst{{Start: warmUp, Duration: span - warmUp, Team: hotTeam(m), Factor: 12}}
}

func groupByTeam(m mix.Mix, a mix.Arrival) string {
	if a.Team == hotTeam(m) {
		return "hot"
	}
	if a.Rank == hotRank(m) {
		return "cold"
	}
	return ""
}

// hotRank returns the rank that the hot team shares with a cold one.
func hotRank(m mix.Mix) int {
	if m.Name == "pozo" {
		return 1
	}
	return 0
}

// onePrefix makes all requests of a stream begin with the same text.
func onePrefix(m mix.Mix) mix.Mix {
	streams := make([]mix.Stream, len(m.Streams))
	copy(streams, m.Streams)
	for i := range streams {
		if streams[i].Documents > 0 {
			streams[i].Documents = 1
			streams[i].SharedFraction = 0.8
		}
	}
	m.Streams = streams
	return m
}

// longShort mixes short questions with work a hundred times longer, in one tier.
func longShort(m mix.Mix) mix.Mix {
	first, second := m.Teams[0].Name, m.Teams[1].Name
	tier := m.Tiers[1].Name
	short := mix.TokenRange{Min: 80, Max: 320}
	long := mix.TokenRange{Min: 12000, Max: 16000}
	m.Streams = []mix.Stream{
		{Team: first, Tier: tier, Pool: mix.Models, Share: 45, Prompt: short, Output: mix.TokenRange{Min: 8, Max: 32}, Deadline: 30 * time.Second, Idempotent: true},
		{Team: second, Tier: tier, Pool: mix.Models, Share: 45, Prompt: short, Output: mix.TokenRange{Min: 8, Max: 32}, Deadline: 30 * time.Second, Idempotent: true},
		{Team: first, Tier: tier, Pool: mix.Models, Share: 10, Prompt: long, Output: mix.TokenRange{Min: 64, Max: 320}, Deadline: 120 * time.Second, Idempotent: true},
	}
	return m
}

func groupBySize(_ mix.Mix, a mix.Arrival) string {
	if a.Cost.Prompt > 1000 {
		return "long"
	}
	return "short"
}
