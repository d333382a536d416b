package sim

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/sim/load"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

// bin is the resolution of the bound.
const bin = 50 * time.Millisecond

// Bound is what a scheduler could do that knows all requests in advance and for which
// all engines are one, without any loss between them: the requests that are worth most
// for the time that they take come first, each as late as its goal allows. It is no
// proof of the most: requests are not weighed against each other in sets.
func Bound(o Options) Result {
	w := &world{o: o, loop: loop.New(), rnd: newRand(o.Seed, 1), tally: newTally(o.Fleet)}
	b := &budget{free: w.supply()}
	var all []*request
	w.each(func(r *request) { all = append(all, r) })
	for _, r := range all {
		w.tally.arrive(r)
	}
	slices.SortStableFunc(all, func(x, y *request) int { return cmp.Compare(w.density(y), w.density(x)) })
	var late []*request
	for _, r := range all {
		if b.serve(r, r.spec().Goal.Std()) {
			w.tally.end(r, outcomeInTime)
			continue
		}
		late = append(late, r)
	}
	for _, r := range late {
		if b.serve(r, r.spec().Patience()) {
			w.tally.end(r, outcomeLate)
			continue
		}
		w.tally.end(r, outcomeRefused)
	}
	return w.tally.result()
}

// density is what a request is worth for each second that it takes of an engine.
func (w *world) density(r *request) float64 {
	prefill, decode := r.cost()
	return w.tally.samples[r].owed / (prefill + decode)
}

// cost is the time in seconds that a request takes of an engine of speed 1 with a
// full batch, for its prompt and for its output.
func (r *request) cost() (prefill, decode float64) {
	e := r.w.o.Fleet.Engines
	prefill = e.Cost(float64(r.prompt), 0)
	return prefill, e.Cost(float64(r.prompt), float64(r.output)) - prefill
}

// budget is the engines' time that is left, in seconds by bin.
type budget struct {
	free []float64
}

// supply is the engines' time by bin, with the outages of the load.
func (w *world) supply() []float64 {
	out := make([]float64, int((load.Span+settle)/bin))
	full := w.o.Fleet.Engines.Capacity() * bin.Seconds()
	for i := range out {
		at := time.Duration(i) * bin
		out[i] = full
		for _, o := range w.o.Load.Outages {
			if !o.Planned && at >= o.At && at < o.At+o.For {
				out[i] -= full * o.Part
			}
		}
		for _, s := range w.o.Load.Slows {
			if at >= s.At && at < s.At+s.For {
				out[i] -= full * s.Part * (1 - 1/s.Factor)
			}
		}
		out[i] = max(out[i], 0)
	}
	return out
}

// serve takes a request's time if its prompt can be read within first and its output
// made with no longer pauses than its caller bears.
func (b *budget) serve(r *request, first time.Duration) bool {
	prefill, decode := r.cost()
	at := r.arrived.Sub(loop.Epoch)
	events := float64(r.output) / float64(max(r.w.o.Fleet.Engines.Stride, 1))
	slowest := time.Duration(events * float64(r.spec().Gap.Std()))
	end := min(at+first+slowest, at+r.spec().Timeout.Std())
	read := b.plan(prefill, at, at+first, nil)
	if read == nil {
		return false
	}
	made := b.plan(decode, at, end, read)
	if made == nil {
		return false
	}
	for i, sec := range read {
		b.free[i] -= sec
	}
	for i, sec := range made {
		b.free[i] -= sec
	}
	return true
}

// plan finds time between two moments, the latest first, beside what is taken
// already; nil if there is too little.
func (b *budget) plan(sec float64, from, to time.Duration, taken map[int]float64) map[int]float64 {
	out := map[int]float64{}
	first, last := int(from/bin), min(int(to/bin), len(b.free)-1)
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
