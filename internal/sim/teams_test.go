package sim_test

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/sim"
	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/load"
)

// maxTeamEngines bounds the time that a run of many daemons takes.
const maxTeamEngines = 24

// simulateTeams runs 15 teams, the largest at five times the rate of the next although both usually send
// equally much, against a number of daemons with four engines for every three, at most maxTeamEngines. The
// engines of many daemons are divided among their cells, some of which have more than others.
func simulateTeams(t *testing.T, daemons int, seed uint64, fair bool) sim.Result {
	t.Helper()
	f, err := fleet.Find("gent", seed)
	if err != nil {
		t.Fatal(err)
	}
	before := f.Engines.Count
	f.Engines.Count = min(int(math.Round(float64(daemons*before)/float64(f.Daemons))), maxTeamEngines)
	f.Daemons = daemons
	grown := float64(f.Engines.Count) / float64(before)
	f.HighPriority = 0 // ranks are those of the kinds of work
	for i := range f.Kinds {
		f.Kinds[i].Rate *= grown
	}
	l := load.Load{Name: "teams", Rate: teamsRate}
	for i := range 15 {
		usual := 1 - 0.04*float64(i)
		l.Teams = append(l.Teams, load.Team{Rate: usual, Usual: usual})
	}
	l.Teams[0].Rate *= 5
	alone, shared := slots.StandaloneTuning(), slots.DispatcherTuning()
	alone.FairTeams, shared.FairTeams = fair, fair
	return sim.Run(sim.Options{
		Fleet: f, Load: l, Seed: seed,
		NewScheduler: func(p fireflypath.Pool, seed uint64) fireflypath.Scheduler { return slots.New(p, seed, alone) },
		NewDispatcherScheduler: func(p fireflypath.Pool, seed uint64) dispatcher.Scheduler {
			return slots.New(p, seed, shared)
		},
	})
}

// teamsRate makes the load 2.5 times what the engines serve.
const teamsRate = 4

// teamFractions returns the fractions of requests served, of the largest team and of all others.
func teamFractions(res sim.Result) (largest, others, all float64) {
	var sent, served [2]float64
	for i, t := range res.Teams {
		for rank, n := range t.Sent {
			sent[min(i, 1)] += float64(n)
			served[min(i, 1)] += float64(t.Served[rank])
		}
	}
	return served[0] / sent[0], served[1] / sent[1], (served[0] + served[1]) / (sent[0] + sent[1])
}

// One team sends five times what it usually sends. Across daemons, dispatchers and cells of unlike sizes,
// the others must be served more of their requests than without fair shares, and all together no less.
func TestTeamsShareFleet(t *testing.T) {
	t.Parallel()
	for _, daemons := range []int{3, 73} {
		if daemons > smallFleet && !*large {
			continue
		}
		seeds := 3
		if daemons > 10 {
			seeds = 1
		}
		is := is.New(t)
		var largest, others, all [2]float64
		for i, fair := range []bool{false, true} {
			for seed := range seeds {
				a, b, c := teamFractions(simulateTeams(t, daemons, uint64(seed+1), fair))
				largest[i] += a / float64(seeds)
				others[i] += b / float64(seeds)
				all[i] += c / float64(seeds)
			}
		}
		t.Logf("%d daemons: served without and with fair shares: largest %.3f %.3f, others %.3f %.3f, all %.3f %.3f",
			daemons, largest[0], largest[1], others[0], others[1], all[0], all[1])
		is.True(others[1] > others[0]+0.05)
		is.True(largest[1] < largest[0])
		is.True(all[1] > all[0]-0.01)
	}
}
