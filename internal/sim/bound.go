package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/sim/load"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

// binWidth is the time resolution of the bound.
const binWidth = 50 * time.Millisecond

// Bound estimates what a clairvoyant scheduler could reach that knows all requests in
// advance and can split work between engines without loss. It serves requests in
// descending order of worth per second of engine time and places each as late as its
// goal allows. It is not a proven maximum: the greedy order does not compare
// combinations of requests.
func Bound(o Options) Result {
	w := &world{options: o, loop: loop.New(), rnd: newRand(o.Seed, 1), tally: newTally(o.Fleet)}
	b := &budget{free: w.capacityPerBin()}
	var requests []*request
	w.generateRequests(func(r *request) { requests = append(requests, r) })
	for _, r := range requests {
		w.tally.add(r)
	}
	slices.SortStableFunc(requests, func(x, y *request) int { return cmp.Compare(w.worthPerSecond(y), w.worthPerSecond(x)) })
	var late []*request
	for _, r := range requests {
		if b.reserve(r, r.spec().Goal.Duration()) {
			w.tally.finish(r, outcomeInTime)
			continue
		}
		late = append(late, r)
	}
	for _, r := range late {
		if b.reserve(r, r.spec().Patience()) {
			w.tally.finish(r, outcomeLate)
			continue
		}
		w.tally.finish(r, outcomeRefused)
	}
	return w.tally.result()
}

// worthPerSecond returns the worth of a request per second of engine time that it
// needs.
func (w *world) worthPerSecond(r *request) float64 {
	prefill, decode := r.cost()
	return w.tally.samples[r].worth / (prefill + decode)
}

// cost returns the time in seconds that a request's prompt and output take on an engine
// of speed 1 with a full batch.
func (r *request) cost() (prefill, decode float64) {
	e := r.w.options.Fleet.Engines
	prefill = e.Cost(float64(r.prompt), 0)
	return prefill, e.Cost(float64(r.prompt), float64(r.output)) - prefill
}

// budget holds the unused engine time in seconds per bin.
type budget struct {
	free []float64
}

// capacityPerBin returns the engine time per bin, reduced by the unplanned outages and
// the slowdowns of the load.
func (w *world) capacityPerBin() []float64 {
	out := make([]float64, int((load.Span+settleTime)/binWidth))
	full := w.options.Fleet.Engines.Capacity() * binWidth.Seconds()
	for i := range out {
		at := time.Duration(i) * binWidth
		out[i] = full
		for _, o := range w.options.Load.Outages {
			if !o.Planned && at >= o.At && at < o.At+o.Duration {
				out[i] -= full * o.Fraction
			}
		}
		for _, s := range w.options.Load.Slowdowns {
			if at >= s.At && at < s.At+s.Duration {
				out[i] -= full * s.Fraction * (1 - 1/s.Factor)
			}
		}
		out[i] = max(out[i], 0)
	}
	return out
}

// reserve takes the engine time of a request from the budget if its prompt can be
// prefilled within first and its output generated without longer pauses than its goal
// allows; otherwise it returns false.
func (b *budget) reserve(r *request, first time.Duration) bool {
	prefill, decode := r.cost()
	at := r.arrivedAt.Sub(loop.Epoch)
	events := float64(r.output) / float64(max(r.w.options.Fleet.Engines.Stride, 1))
	maxDuration := time.Duration(events * float64(r.spec().Gap.Duration()))
	end := min(at+first+maxDuration, at+r.spec().Timeout.Duration())
	prefillBins := b.allocate(prefill, at, at+first, nil)
	if prefillBins == nil {
		return false
	}
	decodeBins := b.allocate(decode, at, end, prefillBins)
	if decodeBins == nil {
		return false
	}
	for i, sec := range prefillBins {
		b.free[i] -= sec
	}
	for i, sec := range decodeBins {
		b.free[i] -= sec
	}
	return true
}

// allocate finds engine time between two times, latest bins first, in addition to what
// is taken already. It returns nil if there is too little.
func (b *budget) allocate(sec float64, from, to time.Duration, taken map[int]float64) map[int]float64 {
	out := map[int]float64{}
	first, last := int(from/binWidth), min(int(to/binWidth), len(b.free)-1)
	for i := last; i >= first && sec > 1e-9; i-- {
		n := min(sec, b.free[i]-taken[i])
		if n > 0 {
			out[i] = n
			sec -= n
		}
	}
	if sec > 1e-9 {
		return nil
	}
	return out
}
