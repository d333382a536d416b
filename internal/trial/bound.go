package trial

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/mix"
)

// capacitySamples is the approximate number of arrivals from which the mean demand of a
// mix is computed.
const capacitySamples = 20000

// demand is an amount of prefill and decode, in tokens.
type demand struct {
	prefill, decode float64
}

// fleetCapacity returns the prefill tokens, and the decode tokens with full batches,
// that the fleet can process per second.
func fleetCapacity() demand {
	var s demand
	for _, g := range slownessFactors {
		s.prefill += prefillSpeed / g
		s.decode += maxBatch / ((stepBase + stepPerRequest*maxBatch) * g)
	}
	return s
}

// minDemand returns the least demand of an arrival, with its shared document cached. On
// average, half of the allowed output is generated.
func minDemand(a mix.Arrival) demand {
	return demand{prefill: float64(a.Cost.Prompt - a.SharedBlocks*blockTokens), decode: float64(a.Cost.MaxOutput) / 2}
}

// coldCapacity is the rate in requests per second at which the scarcer of prefill and
// decode is used up with empty caches and full batches:
//
//	min(sum of prefill speeds / mean prompt, sum of decode speeds / mean output)
//
// Loads are multiples of it so that a plain gateway can serve the steady load.
func coldCapacity(m mix.Mix) float64 {
	return maxRate(m, func(a mix.Arrival) demand {
		return demand{prefill: float64(a.Cost.Prompt), decode: minDemand(a).decode}
	})
}

// warmCapacity is the same with all shared documents cached.
func warmCapacity(m mix.Mix) float64 {
	return maxRate(m, minDemand)
}

// maxRate returns the rate of the mix, in requests per second, at which the fleet's
// capacity is used up.
func maxRate(m mix.Mix, of func(mix.Arrival) demand) float64 {
	var sum demand
	n := 0
	for a := range m.Arrivals(mix.Options{Seed: 1, Rate: capacitySamples, Duration: time.Second}) {
		sum.prefill += of(a).prefill
		sum.decode += of(a).decode
		n++
	}
	s := fleetCapacity()
	return min(s.prefill*float64(n)/sum.prefill, s.decode*float64(n)/sum.decode)
}

// upperBound returns an upper bound for policies with strict tiers. For each tier, from the
// highest down, and for each resource R of prefill and decode, it serves the requests
// with the smallest demand for R first until the remaining capacity is used up:
//
//	left(R) = capacity(R) * (span + deadline of the tier) - demand(R) of higher tiers
//	good = min over R of max{n: sum of the n smallest demands for R <= left(R)}
//
// It is clairvoyant: it knows all arrivals and output sizes, has no queueing inside the
// engines and moves work between them at no cost.
func upperBound(l load, m mix.Mix, o Options, arrivals []mix.Arrival) []Row {
	t := newTally(l, m)
	var used demand
	for _, tier := range m.Tiers {
		span := (o.Span + longestDeadline(m, tier.Name)).Seconds()
		left := fleetCapacity()
		left.prefill = left.prefill*span - used.prefill
		left.decode = left.decode*span - used.decode
		before := left
		serveTier(t, tier.Name, arrivals, &left)
		used.prefill += before.prefill - left.prefill
		used.decode += before.decode - left.decode
	}
	out := t.rows(o)
	for i := range out {
		out[i].Wasted, out[i].PrefixHit = 0, 0
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

// serveTier counts the requests of one tier and subtracts their demand from the
// remaining capacity.
func serveTier(t *tally, tier string, arrivals []mix.Arrival, left *demand) {
	var prefills, decodes []float64
	for _, a := range arrivals {
		if a.Tier != tier {
			continue
		}
		r := &request{arrival: a}
		t.sent(r)
		d := minDemand(a)
		prefills = append(prefills, d.prefill)
		decodes = append(decodes, d.decode)
	}
	n := min(serveSmallest(prefills, &left.prefill), serveSmallest(decodes, &left.decode))
	good := 0
	for _, g := range t.groups {
		if g.name != tier {
			continue
		}
		g.inTime = int(float64(g.sent) * ratio(n, max(len(prefills), 1)))
		good = g.inTime
	}
	t.groups[0].inTime += good
}

// serveSmallest returns how many of the smallest amounts fit into the remaining
// capacity and subtracts them.
func serveSmallest(needs []float64, left *float64) int {
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
