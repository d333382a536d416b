package sim_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/dispatcher"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/sim"
	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/load"
)

// large adds the fleets of more than smallFleet daemons and further seeds, which take minutes under race.
var large = flag.Bool("large", false, "run large fleets and further seeds")

const smallFleet = 10

// returnBurst runs a burst of 2.5 times the capacity for 4 s, followed by 0.9 of the capacity.
func returnBurst(t *testing.T, mix string, daemons int, seed uint64, returns bool, change func(*sim.Options)) sim.Result {
	t.Helper()
	f, err := fleet.Find(mix, seed)
	if err != nil {
		t.Fatal(err)
	}
	f.Daemons = daemons
	work := 0.0
	for _, k := range f.Kinds {
		work += k.Rate * f.Engines.Cost(k.Prompt.Mean, k.Output.Mean*float64(f.Engines.Stride))
	}
	l := load.Load{
		Name: "returns", Rate: 0.9 * f.Engines.Capacity() / work, Impatient: 0.1,
		Bursts: []load.Burst{{At: 6 * time.Second, Duration: 4 * time.Second, Factor: 2.5 / 0.9, Kind: -1}},
	}
	alone, shared := slots.StandaloneTuning(), slots.DispatcherTuning()
	alone.Returns, shared.Returns = returns, returns
	o := sim.Options{
		Fleet: f, Load: l, Seed: seed,
		NewScheduler: func(p fireflypath.Pool, seed uint64) fireflypath.Scheduler { return slots.New(p, seed, alone) },
		NewDispatcherScheduler: func(p fireflypath.Pool, seed uint64) dispatcher.Scheduler {
			return slots.New(p, seed, shared)
		},
	}
	if change != nil {
		change(&o)
	}
	return sim.Run(o)
}

// returnTotals sums what the callers of several runs received.
type returnTotals struct {
	sim.Returns
	sent, inTime, late, refusedAgain int
	// worth is the mean worth of the runs, with the whole worth of a request deducted that was refused again.
	worth float64
}

// simulateReturns runs the burst with several seeds.
func simulateReturns(t *testing.T, mix string, daemons, seeds int, returns bool, change func(*sim.Options)) returnTotals {
	var sum returnTotals
	for seed := range uint64(seeds) {
		r := returnBurst(t, mix, daemons, seed+1, returns, change)
		for _, k := range r.Kinds {
			sum.sent, sum.inTime, sum.late, sum.refusedAgain = sum.sent+k.Sent, sum.inTime+k.InTime, sum.late+k.Late, sum.refusedAgain+k.RefusedTwice
		}
		n := r.Returns
		sum.Told, sum.KeptRefused, sum.KeptLate, sum.KeptInTime = sum.Told+n.Told, sum.KeptRefused+n.KeptRefused, sum.KeptLate+n.KeptLate, sum.KeptInTime+n.KeptInTime
		sum.Others, sum.OthersRefused, sum.OthersRecognized = sum.Others+n.Others, sum.OthersRefused+n.OthersRefused, sum.OthersRecognized+n.OthersRecognized
		sum.Recognized, sum.RecognizedRefused = sum.Recognized+n.Recognized, sum.RecognizedRefused+n.RecognizedRefused
		sum.ToldWave, sum.Wave = max(sum.ToldWave, n.ToldWave), max(sum.Wave, n.Wave)
		sum.worth += (r.Worth - (1-sim.RepeatedRefusalPenalty)/sim.RepeatedRefusalPenalty*r.RefusalPenalty) / float64(seeds)
	}
	fraction := func(n, of int) float64 { return float64(n) / float64(max(of, 1)) }
	t.Logf("%s, %d daemons, returns %v: worth %.3f, in time %.3f, late %.3f, refused again %.3f of %d; kept to their time %d, refused again %.3f, recognized %.3f, wave %d; others %d, refused again %.3f, recognized %d, wave of all %d",
		mix, daemons, returns, sum.worth, fraction(sum.inTime, sum.sent), fraction(sum.late, sum.sent), fraction(sum.refusedAgain, sum.sent), sum.sent,
		sum.Told, fraction(sum.KeptRefused, sum.Told), fraction(sum.Recognized, sum.Told), sum.ToldWave,
		sum.Others, fraction(sum.OthersRefused, sum.Others), sum.OthersRecognized, sum.Wave)
	return sum
}

// Guards against a second surge after a burst: callers return at the time that they were told, among newcomers
// that are served first, and are refused again. One cell (3 daemons) and eight (73) are run with the previous
// code and with promised times.
func TestReturningCallersAreServed(t *testing.T) {
	t.Parallel()
	for _, f := range []struct {
		mix            string
		daemons, seeds int
	}{{"gent", 3, 4}, {"norte", 3, 4}, {"austral", 3, 4}, {"norte-grown", 73, 1}} {
		if f.daemons > smallFleet && !*large {
			continue
		}
		t.Run(fmt.Sprint(f.mix, " ", f.daemons), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			before := simulateReturns(t, f.mix, f.daemons, f.seeds, false, nil)
			after := simulateReturns(t, f.mix, f.daemons, f.seeds, true, nil)
			is.True(after.Told > 0)
			is.True(10*after.KeptRefused < after.Told)
			is.True(after.OthersRecognized*50 <= after.Told) // those without a promise take no promised place
			is.True(after.ToldWave < before.ToldWave)
			is.True(after.refusedAgain <= before.refusedAgain)
			is.True(after.worth > before.worth-0.005)
			is.True(100*after.inTime > 100*before.inTime-2*before.sent)
		})
	}
}

// Daemons with dispatchers and their ledgers are killed after the burst, or a third of the engines is lost.
// Callers must not be worse off than without promised times.
func TestReturnsWithFaults(t *testing.T) {
	t.Parallel()
	faults := map[string]func(*sim.Options){
		"restarts": func(o *sim.Options) { o.Load.Restarts = []load.Restart{{At: 9 * time.Second, Fraction: 0.34}} },
		"outage": func(o *sim.Options) {
			o.Load.Outages = []load.Outage{{At: 10 * time.Second, Duration: 6 * time.Second, Fraction: 0.33}}
		},
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			before := simulateReturns(t, "norte", 8, 4, false, fault)
			after := simulateReturns(t, "norte", 8, 4, true, fault)
			is.True(after.KeptRefused*before.Told <= before.KeptRefused*after.Told)
			is.True(after.worth > before.worth-0.01)
		})
	}
}
