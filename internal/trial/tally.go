package trial

import (
	"math"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// allTiers is the name of the row for all tiers together.
const allTiers = "all"

// tally counts what callers received, by tier and group.
type tally struct {
	load   load
	mix    mix.Mix
	groups []*callerGroup
	// retriedOnTime counts the outcomes of retries made at the announced time,
	// admittedOnTime those of them that were answered.
	retriedOnTime, admittedOnTime int
}

type callerGroup struct {
	name            string
	sent, inTime    int
	refused         int
	expired         int
	inversions      int
	promptTokens    int
	uncachedTokens  int
	wastedTokens    int
	answerTimes     []time.Duration
	firstTokenTimes []time.Duration
}

func newTally(l load, m mix.Mix) *tally {
	t := &tally{load: l, mix: m}
	t.groups = append(t.groups, &callerGroup{name: allTiers})
	for _, tier := range m.Tiers {
		t.groups = append(t.groups, &callerGroup{name: tier.Name})
	}
	return t
}

// forEachGroup calls fn for the groups of a request; requests that arrived during the
// warm-up have none.
func (t *tally) forEachGroup(r *request, fn func(g *callerGroup)) {
	if r.arrival.At < warmUp {
		return
	}
	split := ""
	if t.load.group != nil {
		split = t.load.group(t.mix, r.arrival)
	}
	found := split == ""
	for _, g := range t.groups {
		if g.name == allTiers || g.name == r.arrival.Tier || g.name == split {
			fn(g)
		}
		found = found || g.name == split
	}
	if !found {
		g := &callerGroup{name: split}
		t.groups = append(t.groups, g)
		fn(g)
	}
}

func (t *tally) sent(r *request) {
	t.forEachGroup(r, func(g *callerGroup) { g.sent++ })
}

func (t *tally) refused(r *request, to fireflypath.State, inverted bool) {
	if r.patient {
		t.retriedOnTime++
	}
	t.forEachGroup(r, func(g *callerGroup) {
		if to == fireflypath.StateExpired {
			g.expired++
		} else {
			g.refused++
		}
		if inverted {
			g.inversions++
		}
	})
	r.lastRefusal = to
}

// undoRefusal removes a refusal from the counts whose caller retries.
func (t *tally) undoRefusal(r *request) {
	t.forEachGroup(r, func(g *callerGroup) {
		if r.lastRefusal == fireflypath.StateExpired {
			g.expired--
		} else {
			g.refused--
		}
	})
}

func (t *tally) prefilled(r *request, prompt, uncached int) {
	t.forEachGroup(r, func(g *callerGroup) {
		g.promptTokens += prompt
		g.uncachedTokens += uncached
	})
}

// cancelled counts the prefill of cancelled work as wasted.
func (t *tally) cancelled(r *request) {
	if r.prefilled {
		t.forEachGroup(r, func(g *callerGroup) { g.wastedTokens += r.uncachedTokens })
	}
}

func (t *tally) answered(r *request, now time.Time) {
	if r.patient {
		t.retriedOnTime++
		t.admittedOnTime++
	}
	t.forEachGroup(r, func(g *callerGroup) {
		g.answerTimes = append(g.answerTimes, now.Sub(r.started))
		g.firstTokenTimes = append(g.firstTokenTimes, r.firstTokenAt.Sub(r.started))
		if now.After(r.deadline) {
			g.wastedTokens += r.uncachedTokens
			return
		}
		g.inTime++
	})
}

func (t *tally) rows(o Options) []Row {
	var out []Row
	for _, g := range t.groups {
		if g.sent == 0 {
			continue
		}
		slices.Sort(g.answerTimes)
		slices.Sort(g.firstTokenTimes)
		out = append(out, Row{
			Load: o.Load, Mix: o.Mix, Policy: o.Policy, Seed: o.Seed, Tier: g.name,
			Sent: g.sent, Goodput: ratio(g.inTime, g.sent), Refused: g.refused, Expired: g.expired,
			P50: quantile(g.answerTimes, 0.5), P99: quantile(g.answerTimes, 0.99), FirstTokenP99: quantile(g.firstTokenTimes, 0.99),
			Wasted: ratio(g.wastedTokens, g.uncachedTokens), PrefixHit: ratio(g.promptTokens-g.uncachedTokens, g.promptTokens), Inversions: g.inversions,
		})
	}
	return out
}

// ratio returns a/b rounded to four decimals, or 0 if b is 0.
func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return math.Round(float64(a)/float64(b)*1e4) / 1e4
}

// quantile returns a quantile in milliseconds, rounded to one decimal.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	d := sorted[int(q*float64(len(sorted)-1))]
	return math.Round(float64(d)/float64(time.Millisecond)*10) / 10
}
