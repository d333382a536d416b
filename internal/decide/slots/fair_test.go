package slots_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc/iter"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

// teamLoad is a load of 15 teams on one scheduler.
type teamLoad struct {
	tuning slots.Tuning
	// rates are the teams' request rates, relative to each other, weights their weights.
	rates, weights []float64
	// unit is the number of requests per second of a team whose rate is 1.
	unit float64
	// excess multiplies a team's rate in the two lower ranks; zero means 1. In the highest rank, where
	// all requests are served, excess would take capacity from the lower ranks whatever their order.
	excess []float64
	seed   uint64
	// cost multiplies the size of a team's requests; zero means 1.
	cost []float64
	// leaving is the fraction of a team's callers that give up after 0.3 s without an answer.
	leaving []float64
	// from and until bound the time in which a team sends requests; zero means always.
	from, until []time.Duration
	// slow makes every third target three times slower.
	slow bool
	// moveAt is when another scheduler takes over, with the work in flight; zero means never.
	moveAt time.Duration
}

// teamResult is what the callers of a team received, by rank, and overall.
type teamResult struct {
	sent, served, refused, left [3]float64
	// longestPause is the longest time between two dispatches, lastServed the time of the last one.
	longestPause time.Duration
	lastServed   time.Time
}

// event is something that happens at a time, in the order of their numbers if at the same time.
type event struct {
	at     time.Time
	number int
	do     func()
}

type events []event

func (e events) Len() int      { return len(e) }
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].number < e[j].number
}
func (e *events) Push(x any) { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

const (
	// testTargets engines with five slots each serve a request in about 1.2 s, which makes
	// testCapacity requests per second.
	testTargets  = 12
	testCapacity = 50.0
	testPrefill  = 30_000.0
	testDecode   = 50.0
	testSpan     = 46 * time.Second
	// Requests that arrive in testWarmUp, or in testEnd when the load is about to end, are not counted.
	testWarmUp = 10 * time.Second
	testEnd    = 6 * time.Second
)

// rankShares is each rank's share of the requests: the highest has less than the capacity at 2.5 times
// the capacity, both together have more.
var rankShares = []float64{0.2, 0.3, 0.5}

// run simulates the load. A caller retries once, at the time that it was given, but no later than after
// a third of its remaining time.
func (l *teamLoad) run() []teamResult {
	newTeamScheduler := func() *slots.Scheduler {
		s := slots.New(fireflypath.Pool{Name: "p", Kind: fireflypath.KindEngine, Stride: 3}, 7, l.tuning)
		s.SetTargets(start, newTargets(testTargets))
		return s
	}
	s, now, queue, number := newTeamScheduler(), start, &events{}, 0
	results := make([]teamResult, len(l.rates))
	at := func(t time.Time, do func()) {
		number++
		heap.Push(queue, event{t, number, do})
	}
	identity := map[string]string{}
	for _, t := range newTargets(testTargets) {
		identity[t.Name] = t.Identity()
	}
	type call struct {
		team, rank, attempts int
		arrived              time.Time
		prompt, output       int
		leaves               bool
		work                 *fireflypath.Work
		target               string
	}
	calls := map[*fireflypath.Work]*call{}
	counts := func(c *call) bool {
		return c.arrived.Sub(start) >= testWarmUp && c.arrived.Sub(start) < testSpan-testEnd
	}
	var handle func(sheds []fireflypath.Shed)
	var dispatch func()
	offer := func(c *call) {
		w := newWork(fmt.Sprint(c.team, "-", number), c.rank, now)
		w.Team, w.Weight = fmt.Sprint("team", c.team), max(int(math.Round(l.weights[c.team]*teamshare.DefaultWeight)), 1)
		w.Cost, w.ExpectedOutput = fireflypath.Cost{Prompt: c.prompt, MaxOutput: c.output}, c.output
		w.Goal, w.PatienceEnds, w.Deadline = now.Add(time.Second), now.Add(4*time.Second), c.arrived.Add(12*time.Second)
		c.attempts++
		c.work = w
		calls[w] = c
		if c.leaves {
			at(now.Add(300*time.Millisecond), func() {
				if c.target == "" && s.Withdraw(now, w) {
					delete(calls, w)
					if counts(c) {
						results[c.team].left[c.rank]++
					}
				}
			})
		}
		handle(s.Offer(now, w, nil))
		dispatch()
	}
	handle = func(sheds []fireflypath.Shed) {
		for _, sh := range sheds {
			c := calls[sh.Work]
			delete(calls, sh.Work)
			remaining := c.arrived.Add(12 * time.Second).Sub(now)
			if c.attempts < 2 && !c.leaves {
				at(now.Add(min(sh.RetryAfter, remaining/3)), func() { offer(c) })
				continue
			}
			if counts(c) {
				results[c.team].refused[c.rank]++
			}
		}
	}
	dispatch = func() {
		for _, p := range dispatchAll(s, now) {
			c := calls[p.Work]
			c.target = p.Target
			speed := 1.0
			if l.slow && p.Target[len(p.Target)-1]%3 == 0 {
				speed = 3
			}
			r := &results[c.team]
			if pause := now.Sub(r.lastServed); !r.lastServed.IsZero() {
				r.longestPause = max(r.longestPause, pause)
			}
			r.lastServed = now
			first := now.Add(time.Duration(speed * float64(c.prompt) / testPrefill * float64(time.Second)))
			end := first.Add(time.Duration(speed * float64(c.output) / testDecode * float64(time.Second)))
			at(first, func() {
				s.Observe(now, fireflypath.Event{Kind: fireflypath.EventFirstOutput, Target: c.target, Work: c.work})
			})
			at(end, func() {
				s.Observe(now, fireflypath.Event{Kind: fireflypath.EventDone, Target: c.target, Work: c.work, Tokens: c.output / 3})
				delete(calls, c.work)
				if counts(c) {
					r.served[c.rank]++
				}
				dispatch()
			})
		}
	}
	for team, rate := range l.rates {
		rnd := rand.New(rand.NewPCG(l.seed, uint64(team))) // of its own, so that loads differ by one team only
		excess := 1.0
		if l.excess != nil {
			excess = max(l.excess[team], 1)
		}
		for t := 0.0; ; {
			t += rnd.ExpFloat64() / (rate * excess * l.unit)
			arrived := time.Duration(t * float64(time.Second))
			if arrived >= testSpan {
				break
			}
			if l.from != nil && (arrived < l.from[team] || l.until[team] > 0 && arrived >= l.until[team]) {
				continue
			}
			size := 1.0
			if l.cost != nil && l.cost[team] > 0 {
				size = l.cost[team]
			}
			c := &call{team: team, arrived: start.Add(arrived)}
			for v := rnd.Float64(); c.rank < 2 && v >= rankShares[c.rank]; c.rank++ {
				v -= rankShares[c.rank]
			}
			if c.rank == 0 && rnd.Float64() >= 1/excess {
				continue
			}
			c.prompt = int(size * min(1500*math.Exp(0.8*rnd.NormFloat64()-0.32), 12_000))
			c.output = int(size * min(max(58*math.Exp(0.5*rnd.NormFloat64()-0.125), 6), 250))
			c.leaves = l.leaving != nil && rnd.Float64() < l.leaving[team]
			at(c.arrived, func() {
				if counts(c) {
					results[c.team].sent[c.rank]++
				}
				offer(c)
			})
		}
	}
	for t := time.Duration(0); t < testSpan+10*time.Second; t += 20 * time.Millisecond {
		at(start.Add(t), func() {
			handle(s.Expire(now, nil))
			dispatch()
		})
	}
	if l.moveAt > 0 {
		at(start.Add(l.moveAt), func() {
			next := newTeamScheduler()
			s.EachInFlight(func(w *fireflypath.Work, target string, sent time.Time, began bool) {
				next.AddInFlight(now, w, target, sent, began)
			})
			for _, w := range s.TakeWaiting() {
				handle(next.Offer(now, w, nil))
			}
			s = next
			dispatch()
		})
	}
	for queue.Len() > 0 {
		e := heap.Pop(queue).(event)
		now = e.at
		e.do()
	}
	return results
}

// runSeeds adds up the results of several seeds.
func (l teamLoad) runSeeds(seeds int) []teamResult {
	sum := make([]teamResult, len(l.rates))
	loads := make([]teamLoad, seeds)
	for i := range loads {
		loads[i] = l
		loads[i].seed = uint64(i + 1)
	}
	for _, results := range (iter.Mapper[teamLoad, []teamResult]{MaxGoroutines: 3}).Map(loads, (*teamLoad).run) {
		for i, r := range results {
			for rank := range r.sent {
				sum[i].sent[rank] += r.sent[rank]
				sum[i].served[rank] += r.served[rank]
				sum[i].refused[rank] += r.refused[rank]
				sum[i].left[rank] += r.left[rank]
			}
			sum[i].longestPause = max(sum[i].longestPause, r.longestPause)
		}
	}
	return sum
}

// fairTuning returns the tuning of a dispatcher that divides capacity among teams, or not.
func fairTuning(fair bool) slots.Tuning {
	t := slots.DispatcherTuning()
	t.FairTeams = fair
	return t
}

// totalServed returns the fraction of all requests that were served.
func totalServed(results []teamResult) float64 {
	sent, served := 0.0, 0.0
	for _, r := range results {
		for rank := range r.sent {
			sent += r.sent[rank]
			served += r.served[rank]
		}
	}
	return served / sent
}

// The load of most tests: 15 teams, ten of them with less than the mean. usualLoad returns their usual
// rates, with the given one for the first. A unit is such that the first sends five times as much as the
// next at 2.5 times the capacity.
func usualLoad(first float64) []float64 {
	return []float64{first, 1, 1, 0.9, 0.9, 0.8, 0.8, 0.7, 0.7, 0.6, 0.6, 0.5, 0.5, 0.4, 0.4}
}

const testUnit = 2.5 * testCapacity / 14.8

// quotaWeights returns weights in proportion to the usual rates; the smallest is 1.
func quotaWeights(usual []float64) []float64 {
	out := make([]float64, len(usual))
	for i, u := range usual {
		out[i] = u / slices.Min(usual)
	}
	return out
}

// excessOf returns the excess of a load in which one team sends more than usual.
func excessOf(team int, factor float64) []float64 {
	out := make([]float64, 15)
	out[team] = factor
	return out
}

// newTeamLoad returns a load with weights by the usual rates.
func newTeamLoad(fair bool, usual, excess []float64) teamLoad {
	return teamLoad{tuning: fairTuning(fair), rates: usual, excess: excess, weights: quotaWeights(usual), unit: testUnit}
}

// rejectedOf returns the fraction refused of the requests of a rank of some teams.
func rejectedOf(results []teamResult, rank, from, until int) float64 {
	sent, refused := 0.0, 0.0
	for _, r := range results[from:until] {
		sent += r.sent[rank]
		refused += r.refused[rank]
	}
	return refused / sent
}

// logTeams logs the fractions refused at the lower ranks: of the first team, the second, the next eight
// and the five smallest.
func logTeams(t *testing.T, name string, results []teamResult) {
	t.Helper()
	t.Logf("%-24s served %.3f; middle rank refused %.3f %.3f %.3f %.3f; lowest rank refused %.3f %.3f %.3f %.3f", name, totalServed(results),
		rejectedOf(results, 1, 0, 1), rejectedOf(results, 1, 1, 2), rejectedOf(results, 1, 2, 10), rejectedOf(results, 1, 10, 15),
		rejectedOf(results, 2, 0, 1), rejectedOf(results, 2, 1, 2), rejectedOf(results, 2, 2, 10), rejectedOf(results, 2, 10, 15))
}

// One team sends five times as much as the next, and more than it usually does. The others must be served
// as if it sent its usual load, where without fair shares all teams are refused at one rate; and all
// together must be served as much as without.
func TestTeamThatSendsTooMuchTakesNothingFromOthers(t *testing.T) {
	is := is.New(t)
	usual := usualLoad(2)
	// In the second load all of the middle rank can usually be served, and each team's use is close to its
	// share: there teams also lost requests in the random bursts of their own callers.
	for _, unit := range []float64{testUnit, 0.79 * testUnit} {
		load := func(fair bool, excess []float64) []teamResult {
			l := newTeamLoad(fair, usual, excess)
			l.unit = unit
			return l.runSeeds(4)
		}
		before, atUsual, excess := load(false, excessOf(0, 2.5)), load(true, nil), load(true, excessOf(0, 2.5))
		logTeams(t, "before", before)
		logTeams(t, "fair, usual load", atUsual)
		logTeams(t, "fair, too much", excess)
		for _, group := range [][2]int{{1, 2}, {2, 10}, {10, 15}} {
			for rank := 1; rank <= 2; rank++ {
				// One group of one rank has 500 to 8,000 requests: 0.01 is about the standard error of the smallest.
				is.True(rejectedOf(excess, rank, group[0], group[1]) <= rejectedOf(atUsual, rank, group[0], group[1])+0.02+0.01)
				is.True(rejectedOf(excess, rank, group[0], group[1]) < rejectedOf(before, rank, group[0], group[1])-0.02)
			}
		}
		is.True(rejectedOf(excess, 1, 0, 1) > rejectedOf(before, 1, 0, 1)+0.1) // the first bears its excess
		is.True(math.Abs(totalServed(excess)-totalServed(before)) <= 0.01)
		is.True(rejectedOf(excess, 0, 0, 15) <= 0.005)
	}
}

// The largest team sends its usual load, five times that of the next, while the next sends too much. It
// must be served no worse than without fair shares, which equal shares would not do.
func TestLargeTeamAtItsUsualLoadIsServedAsBefore(t *testing.T) {
	is := is.New(t)
	usual := usualLoad(5)
	for _, factor := range []float64{2, 5} {
		before := newTeamLoad(false, usual, excessOf(1, factor)).runSeeds(2)
		load := newTeamLoad(true, usual, excessOf(1, factor))
		fair := load.runSeeds(2)
		logTeams(t, "before", before)
		logTeams(t, "fair by usual load", fair)
		for rank := 1; rank <= 2; rank++ {
			is.True(rejectedOf(fair, rank, 0, 1) <= rejectedOf(before, rank, 0, 1)+0.01)
		}
		is.True(math.Abs(totalServed(fair)-totalServed(before)) <= 0.01)
	}
}

// Another dispatcher takes over in the middle of the load, with the work in flight only. Shares must hold
// as if it had not.
func TestSharesHoldWhenDispatcherMoves(t *testing.T) {
	is := is.New(t)
	load := newTeamLoad(true, usualLoad(2), excessOf(0, 2.5))
	stays := load.runSeeds(2)
	load.moveAt = 25 * time.Second
	moves := load.runSeeds(2)
	logTeams(t, "stays", stays)
	logTeams(t, "moves", moves)
	for rank := 1; rank <= 2; rank++ {
		is.True(rejectedOf(moves, rank, 1, 15) <= rejectedOf(stays, rank, 1, 15)+0.02)
	}
}

// A daemon that decides alone must divide by shares as well.
func TestSharesHoldAtDaemonAlone(t *testing.T) {
	is := is.New(t)
	load := newTeamLoad(false, usualLoad(2), excessOf(0, 2.5))
	load.tuning = slots.StandaloneTuning()
	load.tuning.MaxTargetQueue = 0 // the targets of the test have no queue
	before := load.runSeeds(1)
	load.tuning.FairTeams = true
	fair := load.runSeeds(1)
	logTeams(t, "alone, before", before)
	logTeams(t, "alone, fair", fair)
	for rank := 1; rank <= 2; rank++ {
		is.True(rejectedOf(fair, rank, 1, 15) < rejectedOf(before, rank, 1, 15)-0.01)
		is.True(rejectedOf(fair, rank, 0, 1) > rejectedOf(before, rank, 0, 1)+0.01)
	}
	is.True(totalServed(fair) >= totalServed(before)-0.01)
}

// A third of the targets are three times slower. Teams whose requests happen to go there must not lose by
// it, and all together not either.
func TestSharesHoldWithUnlikeTargets(t *testing.T) {
	is := is.New(t)
	load := newTeamLoad(false, usualLoad(2), excessOf(0, 2.5))
	load.slow = true
	before := load.runSeeds(2)
	load.tuning = fairTuning(true)
	fair := load.runSeeds(2)
	logTeams(t, "unlike, before", before)
	logTeams(t, "unlike, fair", fair)
	for rank := 1; rank <= 2; rank++ {
		is.True(rejectedOf(fair, rank, 1, 15) < rejectedOf(before, rank, 1, 15)-0.02)
	}
	is.True(totalServed(fair) >= totalServed(before)-0.01)
}

// A third of the teams come in the middle of the load and another third go. Those that come must be served
// like those that stay, apart from four seconds of their share as credit, and those that go as well, apart
// from their last requests, which compete with no more of their own.
func TestTeamsComeAndGo(t *testing.T) {
	is := is.New(t)
	usual := make([]float64, 15)
	from, until := make([]time.Duration, 15), make([]time.Duration, 15)
	for i := range usual {
		usual[i] = 1
		switch i % 3 {
		case 1:
			from[i] = 25 * time.Second
		case 2:
			until[i] = 25 * time.Second
		}
	}
	load := newTeamLoad(true, usual, nil)
	load.from, load.until, load.unit = from, until, load.unit*1.3
	var sent, refused [3]float64
	for i, r := range load.runSeeds(2) {
		sent[i%3] += r.sent[1]
		refused[i%3] += r.refused[1]
	}
	t.Logf("middle rank refused: stay %.3f, come %.3f, go %.3f", refused[0]/sent[0], refused[1]/sent[1], refused[2]/sent[2])
	for i := 1; i <= 2; i++ {
		more := refused[i]/sent[i] - refused[0]/sent[0]
		is.True(more <= 0.03)
		is.True(more >= -0.13) // four of the 15 s in which arrivals count, at half served
	}
}

// The requests of one team are four times as large. It must get its share of the capacity, not of the
// requests, and the others must not pay for it.
func TestTeamWithExpensiveRequestsPaysForThem(t *testing.T) {
	is := is.New(t)
	usual := make([]float64, 15)
	for i := range usual {
		usual[i] = 1
	}
	load := newTeamLoad(false, usual, nil)
	load.cost = make([]float64, 15)
	load.cost[4] = 4
	before := load.runSeeds(2)
	load.tuning = fairTuning(true)
	fair := load.runSeeds(2)
	t.Logf("middle rank refused: the team %.3f before, %.3f fair; others %.3f before, %.3f fair", rejectedOf(before, 1, 4, 5),
		rejectedOf(fair, 1, 4, 5), rejectedOf(before, 1, 5, 15), rejectedOf(fair, 1, 5, 15))
	// An equal share of the capacity is a quarter of the requests of another team.
	part := (1 - rejectedOf(fair, 1, 4, 5)) / (1 - rejectedOf(fair, 1, 5, 15))
	is.True(part > 0.15)
	is.True(part < 0.4)
	is.True(rejectedOf(fair, 1, 5, 15) < rejectedOf(before, 1, 5, 15))
	is.True(fair[4].longestPause < 5*time.Second) // it is not starved
}

// Half of the callers of one team give up after 0.3 s. What they abandon must not cost the others of
// their team.
func TestAbandonedRequestsCostNothing(t *testing.T) {
	is := is.New(t)
	usual := make([]float64, 15)
	for i := range usual {
		usual[i] = 1
	}
	load := newTeamLoad(true, usual, nil)
	load.leaving = make([]float64, 15)
	load.leaving[4] = 0.5
	r := load.runSeeds(2)
	left := r[4].left[1] + r[4].left[2]
	patient := (r[4].served[1] + r[4].refused[1]) / max(r[4].sent[1], 1)
	t.Logf("%v left; middle rank refused: of the patient %.3f, of other teams %.3f", left, rejectedOf(r, 1, 4, 5)/patient, rejectedOf(r, 1, 5, 15))
	is.True(left > 100)
	is.True(rejectedOf(r, 1, 4, 5)/patient <= rejectedOf(r, 1, 5, 15)+0.02)
}

// Retry-After and the refusal on arrival must follow from what the order puts ahead of a request, with its
// team's share: a team with little recent use is told an earlier time, and one with much is told why.
func TestRetryAfterFollowsShare(t *testing.T) {
	is := is.New(t)
	s := slots.New(fireflypath.Pool{Name: "p", Kind: fireflypath.KindEngine, Stride: 3}, 7, fairTuning(true))
	s.SetTargets(start, newTargets(2))
	now := start
	teamWork := func(id, team string) *fireflypath.Work {
		w := newWork(id, 1, now)
		w.Team, w.Weight = team, teamshare.DefaultWeight
		return w
	}
	for i := range 100 {
		s.Offer(now, teamWork(fmt.Sprint("large", i), "large"), nil)
		for _, p := range dispatchAll(s, now) {
			if i < 60 {
				complete(s, now.Add(200*time.Millisecond), p, 200*time.Millisecond)
			}
		}
		now = now.Add(20 * time.Millisecond)
	}
	s.Offer(now, teamWork("waits", "small"), nil)
	retryOf := func(team string, overShare bool) time.Duration {
		w := teamWork("same", team)
		w.PatienceEnds = now.Add(time.Millisecond) // it cannot wait at all
		shed := s.Offer(now, w, nil)
		is.Equal(len(shed), 1)
		is.Equal(strings.Contains(shed[0].Detail, "; its team used 1.00 of the rank's capacity, its share is 0.50"), overShare)
		return shed[0].RetryAfter
	}
	large, small := retryOf("large", true), retryOf("small", false)
	t.Logf("Retry-After: large %v, small %v", large, small)
	is.True(small < large/2)
}

// With the part off, teams must not matter at all: the same decisions with one team and with many.
func TestTeamsDoNotMatterWhenOff(t *testing.T) {
	is := is.New(t)
	run := func(teams int) (out []string) {
		s := slots.New(fireflypath.Pool{Name: "p", Stride: 3}, 7, slots.DispatcherTuning())
		s.SetTargets(start, newTargets(2))
		now := start
		var running []fireflypath.Placement
		for i := range 2000 {
			now = now.Add(20 * time.Millisecond)
			w := newWork(fmt.Sprint(i), i%3, now)
			w.Team, w.Weight = fmt.Sprint(i%teams), 1+i%teams
			for _, sh := range append(s.Offer(now, w, nil), s.Expire(now, nil)...) {
				out = append(out, sh.Work.ID+sh.Detail+sh.RetryAfter.String())
			}
			if len(running) > 5 {
				complete(s, now, running[0], 200*time.Millisecond)
				running = running[1:]
			}
			for _, p := range dispatchAll(s, now) {
				out = append(out, p.Work.ID+p.Target)
				running = append(running, p)
			}
		}
		return out
	}
	is.Equal(run(1), run(7))
}

// BenchmarkFairDecision offers, places and ends a request of one of 15 active teams, each with a request
// waiting, while 29,000 are known.
func BenchmarkFairDecision(b *testing.B) {
	for _, fair := range []bool{false, true} {
		b.Run(fmt.Sprint(fair), func(b *testing.B) {
			s := slots.New(fireflypath.Pool{Name: "p", Kind: fireflypath.KindEngine, Stride: 3}, 7, fairTuning(fair))
			s.SetTargets(start, newTargets(15))
			var p fireflypath.Placement
			for i := range 29_000 {
				w := newWork("a", 1, start)
				w.Team, w.Weight = fmt.Sprint("team-", i), teamshare.DefaultWeight
				s.Offer(start, w, nil)
				s.Next(start, &p)
				s.Observe(start, fireflypath.Event{Kind: fireflypath.EventDone, Target: p.Target, Work: w})
			}
			for i := range 90 { // 75 slots and 15 waiting
				w := newWork("a", 1, start)
				w.Team, w.Weight = fmt.Sprint("team-", i%15), teamshare.DefaultWeight
				s.Offer(start, w, nil)
			}
			running := dispatchAll(s, start)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				done := running[i%len(running)].Work
				s.Observe(start, fireflypath.Event{Kind: fireflypath.EventDone, Target: running[i%len(running)].Target, Work: done})
				s.Offer(start, done, nil)
				if !s.Next(start, &p) {
					b.Fatal("nothing placed")
				}
				running[i%len(running)].Work, running[i%len(running)].Target = p.Work, p.Target
			}
		})
	}
}
