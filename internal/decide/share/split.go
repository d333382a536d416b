// Package share splits the windows of a pool's targets between daemons.
//
// The load it answers is an uneven balancer: all requests at one daemon of nine,
// or now here, now there. With a static split eight ninths of the engines would
// stand idle while one daemon's queue grows; with no split at all nine daemons
// would each fill the whole window, and the engines' first-in first-out queues
// would take the order out of the scheduler's hands.
package share

import (
	"math"
	"slices"
)

const (
	// FloorFraction is the part of each window that is split evenly whatever the
	// demand, so that a burst at any daemon starts at once: with twelve engines
	// of eight places and nine daemons it is one place each. Half of it would
	// leave 1.7 idle places less (TestUnevenBalancer) and a daemon without one.
	FloorFraction = 0.1
	// lenderFloorFraction is what is left of the floor when a daemon lends. With all load
	// on one daemon, a floor of 0.2 and lenderFloorFraction 0.1 leave 12.6 of 96 places
	// idle; these two leave 5.8 (TestUnevenBalancer).
	lenderFloorFraction = 0.03
)

// Demand is one daemon's demand for a pool, in requests. Slots bound requests and
// not tokens, because an engine's batch has places for requests.
type Demand struct {
	// Name is the daemon's name.
	Name string
	// Slots is the window of all the pool's targets as this daemon learned it;
	// 0 if it does not know.
	Slots int
	// Running and Waiting are by rank.
	Running []int
	Waiting []int
}

// Split gives each line's part of the windows; the order of lines is kept.
// Daemons with equal lines compute equal parts. The parts sum up to at most 1,
// or, if more daemons are missing than are there, to the fraction that is
// there: such a group is likely cut off, and the others use the same targets.
//
// Work is served by tier; what is left is split evenly. Running work above a
// daemon's part cannot be taken back, so what it still occupies is withheld
// from the daemons whose part grows, until it has ended.
func Split(lines []Demand, missing int) []float64 {
	n := len(lines)
	if n == 0 {
		return nil
	}
	total := medianCapacity(lines)
	floor := FloorFraction * total / float64(n)
	got := make([]float64, n)
	need := make([][]float64, n)
	ranks := 0
	for i, l := range lines {
		got[i] = floor
		need[i] = demandAboveFloor(l, floor)
		ranks = max(ranks, len(need[i]))
	}
	left := total - floor*float64(n)
	for r := range ranks {
		left = allocateRank(got, need, r, left)
	}
	for i := range got {
		got[i] += left / float64(n)
	}
	withholdExcess(got, lines, floor)
	scale := 1 / total
	if missing > n {
		scale *= float64(n) / float64(n+missing)
	}
	for i := range got {
		got[i] *= scale
	}
	return got
}

// Floor is the least part that Split gives each of n daemons, whatever the
// demand, while missing others are out of reach.
//
// A pool that an operator adds starts with it at once: a part of 0 would hold
// work back before idle targets for the time that a part settles. No daemon that
// knows the same members has taken the others' floors, so the parts still sum
// up to 1 at most, however much later than the others a daemon hears of the pool.
func Floor(n, missing int) float64 {
	part := FloorFraction / float64(max(1, n))
	if missing > n {
		part *= float64(n) / float64(n+missing)
	}
	return part
}

// withholdExcess takes the running work above daemons' parts from the room of the others.
func withholdExcess(got []float64, lines []Demand, floor float64) {
	excess, room := 0.0, 0.0
	free := make([]float64, len(got))
	for i, l := range lines {
		held := float64(l.totalRunning())
		excess += max(0, held-got[i])
		free[i] = max(0, got[i]-max(held, floor))
		room += free[i]
	}
	if excess == 0 || room == 0 {
		return
	}
	scale := min(1, excess/room)
	for i := range got {
		got[i] -= free[i] * scale
	}
}

func (l *Demand) totalRunning() int {
	n := 0
	for _, v := range l.Running {
		n += max(0, v)
	}
	return n
}

// medianCapacity is the median of what the daemons learned, so that one that was just
// started, or knows only a straggler, does not decide.
func medianCapacity(lines []Demand) float64 {
	var known []int
	for _, l := range lines {
		if l.Slots > 0 {
			known = append(known, l.Slots)
		}
	}
	if len(known) == 0 {
		return 1
	}
	slices.Sort(known)
	return float64(known[len(known)/2])
}

// demandAboveFloor lists what a daemon needs of each rank above its floor, which covers
// the highest ranks first.
func demandAboveFloor(l Demand, floor float64) []float64 {
	out := make([]float64, max(len(l.Running), len(l.Waiting)))
	for i, v := range l.Running {
		out[i] += float64(max(0, v))
	}
	for i, v := range l.Waiting {
		out[i] += float64(max(0, v))
	}
	for i := range out {
		covered := math.Min(floor, out[i])
		out[i] -= covered
		floor -= covered
	}
	return out
}

// allocateRank gives out one rank's need, in proportion if it is more than is left.
func allocateRank(got []float64, need [][]float64, r int, left float64) float64 {
	sum := 0.0
	for _, l := range need {
		if r < len(l) {
			sum += l[r]
		}
	}
	if sum == 0 || left <= 0 {
		return left
	}
	scale := math.Min(1, left/sum)
	for i, l := range need {
		if r < len(l) {
			got[i] += l[r] * scale
		}
	}
	return left - sum*scale
}
