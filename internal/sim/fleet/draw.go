package fleet

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// Bounds within which a fleet is drawn.
const (
	leastEngines, mostEngines = 4, 60
	leastSlots, mostSlots     = 2, 20
	mostSpread                = 6
	leastGoal, mostGoal       = 100, 3000
	// utilization is the part of the engines' time that the drawn work takes.
	leastUse, mostUse = 0.7, 1.1
)

// Draw makes a fleet of which nobody has tuned anything: engines, their speeds,
// kinds of work and goals differ widely from seed to seed.
func Draw(seed uint64) Fleet {
	r := rand.New(rand.NewPCG(seed, 23))
	between := func(lo, hi float64) float64 { return lo * math.Pow(hi/lo, r.Float64()) }
	f := Fleet{
		Name: fmt.Sprintf("drawn-%d", seed), Hop: Millis(between(0.3, 2)), Way: 1, High: 0.3 * r.Float64(),
		Goal: Goal{Mean: 0.5, Window: 0.3, Class: 0.2},
	}
	slots := int(between(leastSlots, mostSlots))
	f.Engines = Engines{
		Count: int(between(leastEngines, mostEngines)), Slots: slots, Queue: 6 * slots,
		Step: between(2, 12), PerSlot: between(0.01, 0.2), PerContext: between(0.003, 0.03),
		Prefill: between(10, 80), Chunk: 512 << r.IntN(4), Pairs: between(0.1, 0.6), First: between(2, 20),
		Stride: 1 + r.IntN(8),
	}
	f.Daemons = min(max(f.Engines.Count*2/3, 4), 64)
	for range 1 + r.IntN(3) {
		f.Engines.Speeds = append(f.Engines.Speeds, between(0.5, 0.5*mostSpread))
	}
	for i := range 2 + r.IntN(3) {
		worth := between(0.2, 4) * math.Pow(3, float64(2-i))
		f.Kinds = append(f.Kinds, Kind{
			Name:   fmt.Sprintf("kind-%d", i),
			Rate:   between(1, 6),
			Prompt: Size{Mean: math.Round(between(200, 8000)), Spread: between(0.5, 1.5), Max: 60_000},
			Output: Size{Mean: math.Round(between(3, 80)), Spread: between(0.5, 1.5), Max: 800},
			Goal:   Millis(math.Round(between(leastGoal, mostGoal))), Gap: Millis(math.Round(between(150, 500))),
			Timeout: Millis(math.Round(between(3000, 15000))),
			Worth:   worth, Late: worth * between(0.1, 0.4), Repeat: r.IntN(2) == 0,
		})
	}
	f.scale(between(leastUse, mostUse))
	return f
}

// scale sets the rates so that the work takes that part of the engines' time.
func (f *Fleet) scale(use float64) {
	sum := 0.0
	for _, k := range f.Kinds {
		sum += k.Rate * f.Engines.Cost(k.Prompt.Mean, k.Output.Mean*float64(f.Engines.Stride))
	}
	for i := range f.Kinds {
		f.Kinds[i].Rate *= use * f.Engines.Capacity() / sum
	}
}

// Cost is the time in seconds that a request takes of an engine of speed 1 with a
// full batch: its prompt, for which all others wait, and its part of the steps.
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
