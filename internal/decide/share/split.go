// Package share splits the windows of a pool's targets between daemons.
//
// It is made for uneven load balancers that send all requests to one daemon of nine, or to
// another one every few seconds. With a static split, eight ninths of the engines would be
// idle while one daemon's queue grows. Without a split, nine daemons would each fill the
// whole window, and the engines' FIFO queues would decide the order instead of the
// scheduler.
package share

import (
	"math"
	"slices"
)

const (
	// FloorFraction is the fraction of each window that is split evenly regardless of
	// demand, so that a burst at any daemon starts at once: with twelve engines of eight
	// slots and nine daemons it is one slot each. Half of it would leave 1.7 fewer slots
	// idle (TestUnevenBalancer) but a daemon without any.
	FloorFraction = 0.1
	// lenderFloorFraction is what a lender keeps of the floor. With all load on one
	// daemon, a FloorFraction of 0.2 and a lenderFloorFraction of 0.1 leave 12.6 of 96
	// slots idle; 0.1 and 0.03 leave 5.8 (TestUnevenBalancer).
	lenderFloorFraction = 0.03
)

// Demand is one daemon's demand for a pool, in requests. Slots limit requests and not
// tokens, because an engine's batch has a number of slots for requests.
type Demand struct {
	// Name is the daemon's name.
	Name string
	// Slots is the window of all the pool's targets as learned by this daemon; 0 if
	// unknown.
	Slots int
	// Running and Waiting are indexed by rank.
	Running []int
	Waiting []int
}

// Split returns each daemon's share of the windows, in the order of demands. It is
// deterministic, so all daemons compute equal shares from equal demands. The shares sum to
// at most 1. If more daemons are unreachable than reachable, the sum is at most the
// reachable fraction: the group is probably partitioned, and the other daemons use the
// same targets.
//
// Demand is served by tier, and the remainder is split evenly. Running requests above a
// daemon's share cannot be taken back, so until they end the slots they occupy are
// withheld from the daemons whose share grows.
func Split(demands []Demand, unreachable int) []float64 {
	n := len(demands)
	if n == 0 {
		return nil
	}
	total := medianCapacity(demands)
	floor := FloorFraction * total / float64(n)
	alloc := make([]float64, n)
	need := make([][]float64, n)
	ranks := 0
	for i, d := range demands {
		alloc[i] = floor
		need[i] = demandAboveFloor(d, floor)
		ranks = max(ranks, len(need[i]))
	}
	remaining := total - floor*float64(n)
	for rank := range ranks {
		remaining = allocateRank(alloc, need, rank, remaining)
	}
	for i := range alloc {
		alloc[i] += remaining / float64(n)
	}
	withholdExcess(alloc, demands, floor)
	scale := 1 / total
	if unreachable > n {
		scale *= float64(n) / float64(n+unreachable)
	}
	for i := range alloc {
		alloc[i] *= scale
	}
	return alloc
}

// Floor is the smallest share that Split gives to each of n daemons while others are
// unreachable, whatever the demand.
//
// A pool added by an operator starts with this share at once: with a share of 0, requests
// would wait at idle targets for increaseDelay. Daemons that know the same members never
// use each other's floors, so the shares sum to at most 1 however late a daemon learns of
// the pool.
func Floor(n, unreachable int) float64 {
	share := FloorFraction / float64(max(1, n))
	if unreachable > n {
		share *= float64(n) / float64(n+unreachable)
	}
	return share
}

// withholdExcess deducts running requests above daemons' shares from the spare slots of
// the other daemons.
func withholdExcess(alloc []float64, demands []Demand, floor float64) {
	excess, spareTotal := 0.0, 0.0
	spare := make([]float64, len(alloc))
	for i, d := range demands {
		running := float64(d.totalRunning())
		excess += max(0, running-alloc[i])
		spare[i] = max(0, alloc[i]-max(running, floor))
		spareTotal += spare[i]
	}
	if excess == 0 || spareTotal == 0 {
		return
	}
	scale := min(1, excess/spareTotal)
	for i := range alloc {
		alloc[i] -= spare[i] * scale
	}
}

func (d *Demand) totalRunning() int {
	n := 0
	for _, v := range d.Running {
		n += max(0, v)
	}
	return n
}

// medianCapacity is the median of the windows that daemons learned, so that a daemon that
// just started, or that knows only a straggler, does not decide it.
func medianCapacity(demands []Demand) float64 {
	var known []int
	for _, d := range demands {
		if d.Slots > 0 {
			known = append(known, d.Slots)
		}
	}
	if len(known) == 0 {
		return 1
	}
	slices.Sort(known)
	return float64(known[len(known)/2])
}

// demandAboveFloor returns a daemon's demand by rank, less what its floor covers, highest
// ranks first.
func demandAboveFloor(d Demand, floor float64) []float64 {
	out := make([]float64, max(len(d.Running), len(d.Waiting)))
	for i, v := range d.Running {
		out[i] += float64(max(0, v))
	}
	for i, v := range d.Waiting {
		out[i] += float64(max(0, v))
	}
	for i := range out {
		covered := math.Min(floor, out[i])
		out[i] -= covered
		floor -= covered
	}
	return out
}

// allocateRank allocates one rank's demand, proportionally if it exceeds the remaining
// slots.
func allocateRank(alloc []float64, need [][]float64, rank int, remaining float64) float64 {
	sum := 0.0
	for _, d := range need {
		if rank < len(d) {
			sum += d[rank]
		}
	}
	if sum == 0 || remaining <= 0 {
		return remaining
	}
	scale := math.Min(1, remaining/sum)
	for i, d := range need {
		if rank < len(d) {
			alloc[i] += d[rank] * scale
		}
	}
	return remaining - sum*scale
}
