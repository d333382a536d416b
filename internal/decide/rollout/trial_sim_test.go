package rollout_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fireflypath/fireflypath/internal/decide/rollout"
)

// defaultRollouts keeps the test short.
const defaultRollouts = 2

// compareMethods also runs the method that is not in use.
var compareMethods = flag.Bool("methods", false, "compare the methods")

// rolloutCount is the number of simulated rollouts of each case.
var rolloutCount = flag.Int("rollouts", defaultRollouts, "simulated rollouts of each case; 1000 for the table of docs/design/rollouts.md")

const (
	simTick  = 10 * time.Millisecond
	simLimit = 12 * time.Second
	// simDelay is how long a change in the store takes to all daemons.
	simDelay = 150 * time.Millisecond
	simShare = 0.1
	simSlack = 50
	// firstTime and restTime are the usual times to the first byte and from there to the end.
	firstTime, restTime = 0.08, 0.3
)

// simVersion is how targets of a version behave.
type simVersion struct {
	// failures is the rate of failures, slow the factor of all times.
	failures, slow float64
	// from is when that begins, aboveLoad the number of requests in flight, relative to the mean at old
	// targets, above which it does, and route the only route on which it does, or 0 for all.
	from      time.Duration
	aboveLoad float64
	route     int
	// hosts is the number of targets to which that applies, or 0 for all.
	hosts int
}

// simCase is a kind of rollout.
type simCase struct {
	name string
	old  simVersion
	new  simVersion
	bad  bool
	// clear is true if the version has to be found bad without a request above the allowed exposure.
	clear bool
}

var simCases = []simCase{
	{name: "good"},
	{name: "good, slow host", new: simVersion{slow: 6, hosts: 1}},
	{name: "good, broken host", new: simVersion{failures: 1, hosts: 1}},
	{name: "both versions fail", old: simVersion{failures: 0.4}, new: simVersion{failures: 0.4}},
	{name: "both versions slow", old: simVersion{slow: 4}, new: simVersion{slow: 4}},
	{name: "both crash on a route", old: simVersion{failures: 0.9, route: 4}, new: simVersion{failures: 0.9, route: 4}},
	{name: "fails always", new: simVersion{failures: 1}, bad: true, clear: true},
	{name: "fails 0.4", new: simVersion{failures: 0.4}, bad: true, clear: true},
	{name: "3 times slower", new: simVersion{slow: 3}, bad: true},
	{name: "6 times slower", new: simVersion{slow: 6}, bad: true, clear: true},
	{name: "fails after 4 s", new: simVersion{failures: 0.6, from: 4 * time.Second}, bad: true},
	{name: "slower after 4 s", new: simVersion{slow: 5, from: 4 * time.Second}, bad: true},
	{name: "fails under load", new: simVersion{failures: 0.6, aboveLoad: 0.5}, bad: true},
	{name: "fails on a route", new: simVersion{failures: 0.7, route: 2}, bad: true},
	{name: "slower on a route", new: simVersion{slow: 5, route: 2}, bad: true},
}

// simFleet is the size of a simulation.
type simFleet struct {
	daemons, targets int
	rate             float64
}

// simRoutes holds the cumulative fractions of the requests on each route.
var simRoutes = []float64{0.5, 0.75, 0.93, 1}

var simRouteNames = []string{"", "r1", "r2", "r3", "r4"}

// simRequest is a request in flight.
type simRequest struct {
	daemon, target, route int
	isNew, failed, bad    bool
	first, took           time.Duration
}

// simResult is what became of a rollout.
type simResult struct {
	phase rollout.Phase
	why   string
	at    time.Duration
	// excess is the number of requests of the new version above the allowed exposure.
	excess int
	// after is how long after the 50th bad response the last request was sent.
	after         time.Duration
	sent, badSeen int
}

// simulate runs one rollout.
func simulate(c simCase, f simFleet, rng *rand.Rand, fixed bool) simResult {
	policy := rollout.Policy{Share: simShare, Slack: simSlack, Rollback: 5 * time.Second}
	base := time.Unix(1000, 0)
	trial := rollout.NewTrial(policy, base, base, simLimit, 0)
	if fixed {
		trial = rollout.NewFixedTrial(trial)
	}
	targets := make([]string, f.targets)
	for i := range targets {
		targets[i] = fmt.Sprint("n", i)
	}
	trial.SetTargets(targets, f.targets)
	live := make([]string, f.daemons)
	counters := make([]rollout.Counter, f.daemons)
	oldInFlight := make([]int, f.daemons)
	nextReport := make([]time.Duration, f.daemons)
	interval, validity := rollout.ReportInterval(f.daemons), policy.Validity(f.daemons)
	for d := range live {
		live[d] = fmt.Sprint("d", d)
		nextReport[d] = time.Duration(rng.Int64N(int64(interval)))
	}
	index := map[string]int{}
	for i, name := range targets {
		index[name] = i
	}
	slowThird := func(i int) bool { return i%3 == 2 }
	inFlight := make([]int, f.targets)
	meanLoad := 0.0
	ends := make([][]simRequest, int(2*simLimit/simTick)+1)
	firsts := make([][]simRequest, len(ends))
	res := simResult{phase: rollout.PhaseTrial}
	switched := time.Duration(math.MaxInt64)
	bound := 0
	var fiftieth, last time.Duration
	oldRunning := 0
	for tick := 0; time.Duration(tick)*simTick < simLimit; tick++ {
		at := time.Duration(tick) * simTick
		now := base.Add(at)
		decided := res.phase.Final() && at >= res.at+simDelay
		for _, r := range firsts[tick] {
			name := ""
			if r.isNew {
				name = targets[r.target]
			}
			counters[r.daemon].First(simRouteNames[r.route], name, r.first)
		}
		for _, r := range ends[tick] {
			name := ""
			if r.isNew {
				name = targets[r.target]
				inFlight[r.target]--
				if r.bad {
					res.badSeen++
					if res.badSeen == 50 {
						fiftieth = at
					}
				}
			} else {
				oldInFlight[r.daemon]--
				oldRunning--
			}
			counters[r.daemon].End(simRouteNames[r.route], name, rollout.Result{Failed: r.failed, Took: r.took})
		}
		meanLoad = 0.95*meanLoad + 0.05*float64(oldRunning)/float64(f.targets)
		n := f.rate * simTick.Seconds()
		count := int(n)
		if rng.Float64() < n-float64(count) {
			count++
		}
		for range count {
			d := rng.IntN(f.daemons)
			u := rng.Float64()
			r := simRequest{daemon: d, target: rng.IntN(f.targets), route: 1 + slices.IndexFunc(simRoutes, func(p float64) bool { return u < p })}
			counter := &counters[d]
			switch {
			case decided:
				r.isNew = res.phase == rollout.PhaseCompleted
			case at >= switched:
				r.isNew = true
			case counter.Allowed(now):
				r.isNew = true
				counter.Start()
				r.target = index[rollout.Pick(counter.Targets(), func(string) int { return 0 })]
			}
			counter.See()
			bound++
			v := c.old
			if r.isNew {
				v = c.new
				last = at
				res.sent++
				inFlight[r.target]++
			} else {
				oldInFlight[d]++
				oldRunning++
			}
			factor := 1.0
			if slowThird(r.target) {
				factor = 3
			}
			active := at >= v.from && (v.route == 0 || v.route == r.route) && (v.hosts == 0 || r.target < v.hosts) &&
				(v.aboveLoad == 0 || float64(inFlight[r.target]) > v.aboveLoad*meanLoad)
			r.failed = rng.Float64() < 0.005
			if active {
				if v.slow > 0 {
					factor *= v.slow
					r.bad = true
				}
				if rng.Float64() < v.failures {
					r.failed, r.bad = true, true
				}
			}
			r.first = time.Duration(firstTime * factor * math.Exp(0.5*rng.NormFloat64()) * float64(time.Second))
			r.took = r.first + time.Duration(restTime*factor*float64(time.Second))
			if first := tick + 1 + int(r.first/simTick); first < len(ends) && !r.failed {
				firsts[first] = append(firsts[first], r)
			}
			if end := tick + 1 + int(r.took/simTick); end < len(ends) {
				ends[end] = append(ends[end], r)
			}
		}
		if res.phase.Final() {
			continue
		}
		for d := range nextReport {
			if at < nextReport[d] {
				continue
			}
			nextReport[d] += interval
			r := counters[d].Report()
			r.Stopped, r.Old = at >= switched, oldInFlight[d]
			counters[d].Permit(trial.Report(now, live[d], 1, r), now.Add(validity))
		}
		if tick%10 != 0 {
			continue
		}
		trial.Reserved(trial.WantReserved())
		phase, why := trial.Decide(now, live)
		if phase == rollout.PhaseSwitch && res.phase == rollout.PhaseTrial {
			trial.Switched(now)
			switched = at + simDelay
		}
		if phase.Final() {
			res.at, res.why = at, why
		}
		res.phase = phase
	}
	res.excess = max(0, res.sent-int(simShare*float64(bound))-simSlack)
	if fiftieth > 0 && last > fiftieth {
		res.after = last - fiftieth
	}
	return res
}

// simTotals sums up the results of a case.
type simTotals struct {
	n, completed, rolledBack, neither, exceeded int
	sent, bad                                   int
	maxAfter, sumAt, maxAt                      time.Duration
}

func (s *simTotals) add(r simResult) {
	s.n++
	switch r.phase {
	case rollout.PhaseCompleted:
		s.completed++
	case rollout.PhaseRolledBack:
		s.rolledBack++
	default:
		s.neither++
	}
	if r.excess > 0 {
		s.exceeded++
	}
	s.sent += r.sent
	s.bad += r.badSeen
	s.maxAfter = max(s.maxAfter, r.after)
	s.sumAt += r.at
	s.maxAt = max(s.maxAt, r.at)
}

// simFleets are the sizes that the specification names.
var simFleets = []simFleet{
	{3, 6, 20}, {3, 6, 200}, {3, 6, 1000}, {86, 60, 20}, {86, 60, 200}, {86, 60, 1000}, {370, 300, 20}, {370, 300, 200}, {370, 300, 1000},
}

func runCase(c simCase, f simFleet, n int, fixed bool) simTotals {
	var totals simTotals
	for i := range n {
		totals.add(simulate(c, f, rand.New(rand.NewPCG(uint64(i), uint64(f.daemons)+uint64(f.rate))), fixed))
	}
	return totals
}

// Guards against a bad version that is completed or gets more requests than allowed, and a good one that is
// rolled back, in fleets of the sizes that the specification names. With -rollouts 1000
// -methods -v it prints the table of docs/design/rollouts.md.
func TestSimulatedRollouts(t *testing.T) {
	for _, f := range simFleets {
		for _, c := range simCases {
			t.Run(fmt.Sprintf("%s, %d daemons, %.0f a second", c.name, f.daemons, f.rate), func(t *testing.T) {
				t.Parallel()
				got := runCase(c, f, *rolloutCount, false)
				row := func(s simTotals) string {
					return fmt.Sprintf("%d | %d | %d | %d | %.0f | %.0f | %.1f | %.1f | %.1f", s.completed, s.rolledBack, s.neither, s.exceeded,
						float64(s.sent)/float64(s.n), float64(s.bad)/float64(s.n), s.maxAfter.Seconds(), s.sumAt.Seconds()/float64(s.n), s.maxAt.Seconds())
				}
				t.Logf("ROW | %s | %d | %.0f | sequential | %s", c.name, f.daemons, f.rate, row(got))
				if *compareMethods {
					t.Logf("ROW | %s | %d | %.0f | fixed | %s", c.name, f.daemons, f.rate, row(runCase(c, f, *rolloutCount, true)))
				}
				if got.neither > 0 || got.maxAt > simLimit {
					t.Errorf("%d rollouts have no result in time", got.neither)
				}
				if f.rate < 200 {
					return // there are too few requests to tell most versions apart
				}
				if !c.bad && got.rolledBack > 1+got.n/10 {
					t.Errorf("%d of %d good versions were rolled back", got.rolledBack, got.n)
				}
				if c.clear && (got.completed > 0 || got.exceeded > got.n/50 || got.maxAfter > 5*time.Second) {
					t.Errorf("%d of %d bad versions were completed, %d got too many requests, the last one %v after the 50th bad response",
						got.completed, got.n, got.exceeded, got.maxAfter)
				}
			})
		}
	}
}
