package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Bounds of the random fleets.
const (
	minEngines, maxEngines = 4, 60
	minSlots, maxSlots     = 2, 20
	maxSpread              = 6
	minGoal, maxGoal       = 100, 3000
	// Utilization is the fraction of the engines' capacity that the drawn work takes.
	minUtilization, maxUtilization = 0.7, 1.1
)

// Random returns a fleet that no parameter was tuned on: engines, their speeds, kinds
// of work and goals differ widely between seeds.
func Random(seed uint64) Fleet {
	r := rand.New(rand.NewPCG(seed, 23))
	between := func(lo, hi float64) float64 { return lo * math.Pow(hi/lo, r.Float64()) }
	f := Fleet{
		Name: fmt.Sprintf("drawn-%d", seed), Hop: Milliseconds(between(0.3, 2)), CallerHop: 1, HighPriority: 0.3 * r.Float64(),
		Weights: ScoreWeights{Mean: 0.5, Window: 0.3, Class: 0.2},
	}
	slots := int(between(minSlots, maxSlots))
	f.Engines = Engines{
		Count: int(between(minEngines, maxEngines)), Slots: slots, Queue: 6 * slots,
		Step: between(2, 12), PerSlot: between(0.01, 0.2), PerContext: between(0.003, 0.03),
		Prefill: between(10, 80), Chunk: 512 << r.IntN(4), Pairs: between(0.1, 0.6), First: between(2, 20),
		Stride: 1 + r.IntN(8),
	}
	f.Daemons = min(max(f.Engines.Count*2/3, 4), 64)
	for range 1 + r.IntN(3) {
		f.Engines.Speeds = append(f.Engines.Speeds, between(0.5, 0.5*maxSpread))
	}
	for i := range 2 + r.IntN(3) {
		worth := between(0.2, 4) * math.Pow(3, float64(2-i))
		f.Kinds = append(f.Kinds, Kind{
			Name:   fmt.Sprintf("kind-%d", i),
			Rate:   between(1, 6),
			Prompt: Size{Mean: math.Round(between(200, 8000)), Spread: between(0.5, 1.5), Max: 60_000},
			Output: Size{Mean: math.Round(between(3, 80)), Spread: between(0.5, 1.5), Max: 800},
			Goal:   Milliseconds(math.Round(between(minGoal, maxGoal))), Gap: Milliseconds(math.Round(between(150, 500))),
			Timeout: Milliseconds(math.Round(between(3000, 15000))),
			Worth:   worth, Late: worth * between(0.1, 0.4), Repeat: r.IntN(2) == 0,
		})
	}
	f.scaleRates(between(minUtilization, maxUtilization))
	return f
}

// scaleRates scales the rates so that the work takes the given fraction of the engines'
// capacity.
func (f *Fleet) scaleRates(utilization float64) {
	sum := 0.0
	for _, k := range f.Kinds {
		sum += k.Rate * f.Engines.Cost(k.Prompt.Mean, k.Output.Mean*float64(f.Engines.Stride))
	}
	for i := range f.Kinds {
		f.Kinds[i].Rate *= utilization * f.Engines.Capacity() / sum
	}
}

// Cost returns the time in seconds that a request takes on an engine of speed 1 with a
// full batch: the prefill, during which all other requests wait, and its share of the
// decode steps.
func (e Engines) Cost(prompt, output float64) float64 {
	prefill := prompt/e.Prefill + e.Pairs*prompt*prompt/2/1e6 + e.First
	step := e.Step + e.PerSlot*float64(e.Slots)
	return (prefill + output*step/float64(e.Slots)) / 1000
}

// Capacity is the time of engines of speed 1 that all engines have in a second.
func (e Engines) Capacity() float64 {
	sum := 0.0
	for i := range e.Count {
		sum += 1 / e.Speeds[i%len(e.Speeds)]
	}
	return sum
}
