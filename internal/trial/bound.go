package trial

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/mix"
)

// samples is how many arrivals the mean costs of a mix are taken from.
const samples = 20000

// need is what a request takes of the fleet at least: prefill of what no
// earlier request shares, and decode.
type need struct {
	prefill, decode float64
}

// supply is what the fleet has in a second: prefill tokens, and decode tokens
// with full batches.
func supply() need {
	var s need
	for _, g := range generations {
		s.prefill += prefill / g
		s.decode += batch / ((stepBase + stepEach*batch) * g)
	}
	return s
}

// least is what an arrival needs if its document is cached. On average half of
// the allowed output is generated.
func least(a mix.Arrival) need {
	return need{prefill: float64(a.Cost.Prompt - a.SharedBlocks*block), decode: float64(a.Cost.MaxOutput) / 2}
}

// capacity is the rate in requests a second at which the scarcer of prefill and
// decode is used up when nothing is cached, with full batches:
//
//	min(sum of prefill speeds / mean prompt, sum of decode speeds / mean output)
//
// Loads are multiples of it, so that a plain gateway can carry the steady load.
func capacity(m mix.Mix) float64 {
	return rate(m, func(a mix.Arrival) need {
		return need{prefill: float64(a.Cost.Prompt), decode: least(a).decode}
	})
}

// warmCapacity is the same with all that is shared cached.
func warmCapacity(m mix.Mix) float64 {
	return rate(m, least)
}

// rate is at how many requests a second of the mix the supply is used up.
func rate(m mix.Mix, of func(mix.Arrival) need) float64 {
	var sum need
	n := 0
	for a := range m.Arrivals(mix.Options{Seed: 1, Rate: samples, Duration: time.Second}) {
		sum.prefill += of(a).prefill
		sum.decode += of(a).decode
		n++
	}
	s := supply()
	return min(s.prefill*float64(n)/sum.prefill, s.decode*float64(n)/sum.decode)
}

// bound is more than any policy with strict tiers can reach. For each tier, from
// the highest down, and for each resource R of prefill and decode, it serves
// the requests with the least need of R first until the supply left is used:
//
//	left(R) = supply(R) * (span + deadline of the tier) - need(R) of higher tiers
//	good = min over R of max{n: sum of the n least needs of R <= left(R)}
//
// It is clairvoyant: it knows all arrivals and outputs, has no waiting inside
// the engines and moves work between them at no cost.
func bound(l load, m mix.Mix, o Options, arrivals []mix.Arrival) []Row {
	t := newTally(l, m)
	var used need
	for _, tier := range m.Tiers {
		span := (o.Span + longestDeadline(m, tier.Name)).Seconds()
		left := supply()
		left.prefill = left.prefill*span - used.prefill
		left.decode = left.decode*span - used.decode
		before := left
		serve(t, tier.Name, arrivals, &left)
		used.prefill += before.prefill - left.prefill
		used.decode += before.decode - left.decode
	}
	out := t.rows(o)
	for i := range out {
		out[i].Wasted, out[i].Hit = 0, 0
	}
	return out
}

func longestDeadline(m mix.Mix, tier string) time.Duration {
	var d time.Duration
	for _, s := range m.Streams {
		if s.Tier == tier {
			d = max(d, s.Deadline)
		}
	}
	return d
}

// serve counts one tier in and takes its needs from what is left.
func serve(t *tally, tier string, arrivals []mix.Arrival, left *need) {
	var prefills, decodes []float64
	for _, a := range arrivals {
		if a.Tier != tier {
			continue
		}
		r := &request{arrival: a}
		t.sent(r)
		l := least(a)
		prefills = append(prefills, l.prefill)
		decodes = append(decodes, l.decode)
	}
	n := min(fit(prefills, &left.prefill), fit(decodes, &left.decode))
	good := 0
	for _, g := range t.groups {
		if g.name != tier {
			continue
		}
		g.good = int(float64(g.sent) * part(n, max(len(prefills), 1)))
		good = g.good
	}
	t.groups[0].good += good
}

// fit is how many of the least needs fit; it takes them from what is left.
func fit(needs []float64, left *float64) int {
	slices.Sort(needs)
	for i, n := range needs {
		if n > *left {
			*left = 0
			return i
		}
		*left -= n
	}
	return len(needs)
}
