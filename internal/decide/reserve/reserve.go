// Package reserve keeps slots free at the targets for tiers with intermittent load.
//
// It prevents long requests of a low tier from delaying a high tier that arrives in
// bursts. Whenever the high tier has nothing waiting, strict priority alone gives every
// free slot to lower tiers, which may occupy it for half a minute, and the next high-tier
// requests wait for slots.
package reserve

import (
	"math"
	"time"

	"github.com/fireflypath/fireflypath/internal/decide/fair"
	"github.com/fireflypath/fireflypath/internal/decide/rate"
)

const (
	// arrivalWindow is the time constant of the arrival rates: a few times the longest run
	// of short requests.
	arrivalWindow = 10 * time.Second
	// slotTimeWeight is the weight of a new sample of the slot time in the average, which
	// covers about fifty requests.
	slotTimeWeight = 0.02
	// deviations is how many standard deviations of the number in flight are kept free;
	// one is enough for Poisson arrivals five times out of six.
	deviations = 1
)

// Reserve estimates the slots that each tier needs by Little's law: arrivals per second
// times the time for which a request occupies a slot.
type Reserve struct {
	arrivals [fair.Ranks]rate.Meter
	// slotTime is the moving average of how long a request occupies a slot, in seconds.
	slotTime [fair.Ranks]float64
	running  [fair.Ranks]int
}

// New returns a Reserve that keeps no slots free yet.
func New() *Reserve {
	r := &Reserve{}
	for i := range r.arrivals {
		r.arrivals[i].TimeConstant = arrivalWindow
	}
	return r
}

// RecordArrival counts an arriving request.
func (r *Reserve) RecordArrival(now time.Time, rank int) {
	r.arrivals[rank].Add(now, 1)
}

// RecordStart counts a request that takes a slot.
func (r *Reserve) RecordStart(rank int) {
	r.running[rank]++
}

// RecordEnd counts a request that releases its slot.
func (r *Reserve) RecordEnd(rank int, held time.Duration) {
	r.running[rank]--
	if r.slotTime[rank] == 0 {
		r.slotTime[rank] = held.Seconds()
	}
	r.slotTime[rank] += slotTimeWeight * (held.Seconds() - r.slotTime[rank])
}

// SlotsAbove is the number of slots to keep free for tiers above a rank.
func (r *Reserve) SlotsAbove(now time.Time, rank int) float64 {
	slots := 0.0
	for i := range rank {
		r.arrivals[i].Advance(now, true)
		need := r.arrivals[i].Rate() * r.slotTime[i]
		slots += max(need+deviations*math.Sqrt(need)-float64(r.running[i]), 0)
	}
	return slots
}
