package trial

import (
	"time"

	"github.com/fireflypath/fireflypath/internal/mix"
)

const (
	// warm is the time at the start in which nothing is measured: the daemons
	// learn speeds and the caches fill.
	warm = 20 * time.Second
	// calm is the load before and after the pressure of a load, against capacity.
	calm = 0.6
)

// load is a pattern of arrivals and faults.
type load struct {
	name string
	// rate is in parts of the capacity.
	rate   float64
	bursts func(m mix.Mix, span time.Duration) []mix.Burst
	change func(m mix.Mix) mix.Mix
	// slow names replicas that turn slower by slowFactor in the middle third.
	slow []int
	// retries is true if refused callers come back, most of them early.
	retries bool
	// split names the group of an arrival in addition to its tier.
	split func(m mix.Mix, a mix.Arrival) string
}

const slowFactor = 10

func loads() []load {
	return []load{
		{name: "steady", rate: 0.7},
		{name: "burst", rate: calm, bursts: everyone(6, 0.4, 0.08)},
		{name: "hot-team", rate: calm, bursts: hot, split: byTeam},
		{name: "hot-team-calm", rate: calm, split: byTeam},
		{name: "hot-prefix", rate: 0.7, change: onePrefix},
		{name: "slow-target", rate: 0.7, slow: []int{0, 4}},
		{name: "long-short", rate: 0.8, change: longShort, split: bySize},
		{name: "overload-1.5", rate: calm, bursts: everyone(1.5/calm, 0, 1)},
		{name: "overload-3", rate: calm, bursts: everyone(3/calm, 0, 1)},
		{name: "flood-1.5", rate: calm, bursts: flood(1.5)},
		{name: "flood-3", rate: calm, bursts: flood(3)},
		{name: "retry-storm", rate: calm, bursts: everyone(3/calm, 0.2, 0.4), retries: true},
	}
}

// everyone raises the rate of all teams in a part of the measured time.
func everyone(factor, from, part float64) func(mix.Mix, time.Duration) []mix.Burst {
	return func(_ mix.Mix, span time.Duration) []mix.Burst {
		rest := float64(span - warm)
		return []mix.Burst{{
			Start:    warm + time.Duration(from*rest),
			Duration: time.Duration(part * rest),
			Factor:   factor,
		}}
	}
}

// hotTeam is a team that shares its tier with another one.
func hotTeam(m mix.Mix) string {
	if m.Name == "pozo" {
		return "extraction"
	}
	return "traders"
}

// flood makes all teams send so many times what the fleet can do with all that
// is shared cached. The overload loads are multiples of the capacity with cold
// caches, which good placement doubles or trebles: they overwhelm a plain gateway,
// and these overwhelm everybody.
func flood(times float64) func(m mix.Mix, span time.Duration) []mix.Burst {
	return func(m mix.Mix, span time.Duration) []mix.Burst {
		return everyone(times*warmCapacity(m)/(calm*capacity(m)), 0, 1)(m, span)
	}
}

// hot makes one team send twelve times as much, which is above capacity.
func hot(m mix.Mix, span time.Duration) []mix.Burst {
	return []mix.Burst{{Start: warm, Duration: span - warm, Team: hotTeam(m), Factor: 12}}
}

func byTeam(m mix.Mix, a mix.Arrival) string {
	if a.Team == hotTeam(m) {
		return "hot"
	}
	if a.Rank == hotRank(m) {
		return "cold"
	}
	return ""
}

// hotRank is the rank that the hot team and a cold one share.
func hotRank(m mix.Mix) int {
	if m.Name == "pozo" {
		return 1
	}
	return 0
}

// onePrefix makes all work of a stream begin with the same text.
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

// longShort mixes questions with work a hundred times longer, in one tier.
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

func bySize(_ mix.Mix, a mix.Arrival) string {
	if a.Cost.Prompt > 1000 {
		return "long"
	}
	return "short"
}
