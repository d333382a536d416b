package trial

import (
	"math"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// all is the row of all tiers together.
const all = "all"

// tally counts what callers received, by tier and group.
type tally struct {
	load   load
	mix    mix.Mix
	groups []*group
	// returned counts the answers to callers that came back when they were told
	// to, welcome those that were let in.
	returned, welcome int
}

type group struct {
	name       string
	sent, good int
	refused    int
	expired    int
	inversions int
	prompt     int
	fresh      int
	wasted     int
	whole      []time.Duration
	first      []time.Duration
}

func newTally(l load, m mix.Mix) *tally {
	t := &tally{load: l, mix: m}
	t.groups = append(t.groups, &group{name: all})
	for _, tier := range m.Tiers {
		t.groups = append(t.groups, &group{name: tier.Name})
	}
	return t
}

// each visits the groups of a request; requests of the warm-up have none.
func (t *tally) each(r *request, fn func(g *group)) {
	if r.arrival.At < warm {
		return
	}
	split := ""
	if t.load.split != nil {
		split = t.load.split(t.mix, r.arrival)
	}
	found := split == ""
	for _, g := range t.groups {
		if g.name == all || g.name == r.arrival.Tier || g.name == split {
			fn(g)
		}
		found = found || g.name == split
	}
	if !found {
		g := &group{name: split}
		t.groups = append(t.groups, g)
		fn(g)
	}
}

func (t *tally) sent(r *request) {
	t.each(r, func(g *group) { g.sent++ })
}

func (t *tally) refused(r *request, to fireflypath.State, inverted bool) {
	if r.patient {
		t.returned++
	}
	t.each(r, func(g *group) {
		if to == fireflypath.StateExpired {
			g.expired++
		} else {
			g.refused++
		}
		if inverted {
			g.inversions++
		}
	})
	r.last = to
}

// again takes a refusal back whose caller tries once more.
func (t *tally) again(r *request) {
	t.each(r, func(g *group) {
		if r.last == fireflypath.StateExpired {
			g.expired--
		} else {
			g.refused--
		}
	})
}

func (t *tally) prefilled(r *request, prompt, fresh int) {
	t.each(r, func(g *group) {
		g.prompt += prompt
		g.fresh += fresh
	})
}

// cut counts the prefill of work that was cancelled.
func (t *tally) cut(r *request) {
	if r.prefilled {
		t.each(r, func(g *group) { g.wasted += r.fresh })
	}
}

func (t *tally) answered(r *request, now time.Time) {
	if r.patient {
		t.returned++
		t.welcome++
	}
	t.each(r, func(g *group) {
		g.whole = append(g.whole, now.Sub(r.started))
		g.first = append(g.first, r.first.Sub(r.started))
		if now.After(r.deadline) {
			g.wasted += r.fresh
			return
		}
		g.good++
	})
}

func (t *tally) rows(o Options) []Row {
	var out []Row
	for _, g := range t.groups {
		if g.sent == 0 {
			continue
		}
		slices.Sort(g.whole)
		slices.Sort(g.first)
		out = append(out, Row{
			Load: o.Load, Mix: o.Mix, Policy: o.Policy, Seed: o.Seed, Tier: g.name,
			Sent: g.sent, Goodput: part(g.good, g.sent), Refused: g.refused, Expired: g.expired,
			P50: quantile(g.whole, 0.5), P99: quantile(g.whole, 0.99), First99: quantile(g.first, 0.99),
			Wasted: part(g.wasted, g.fresh), Hit: part(g.prompt-g.fresh, g.prompt), Inversions: g.inversions,
		})
	}
	return out
}

// part is a/b to four places, 0 if b is 0.
func part(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return math.Round(float64(a)/float64(b)*1e4) / 1e4
}

// quantile is in milliseconds to one place.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	d := sorted[int(q*float64(len(sorted)-1))]
	return math.Round(float64(d)/float64(time.Millisecond)*10) / 10
}
