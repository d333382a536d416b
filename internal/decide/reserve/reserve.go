// Package reserve keeps room at the targets for tiers whose work comes and goes.
//
// It answers long work of a low tier under a high tier that arrives in bits.
// Whenever the high tier has nothing waiting, a strict order alone gives every
// free slot to lower work, which may hold it for half a minute; the next
// requests of the high tier then wait for slots while lower work runs.
package reserve

import (
	"math"
	"time"

	"github.com/fireflypath/fireflypath/internal/decide/fair"
	"github.com/fireflypath/fireflypath/internal/decide/rate"
)

const (
	// arrivalWindow is how long arrivals are counted: a few times the longest run of
	// short work.
	arrivalWindow = 10 * time.Second
	// holdSmoothing weighs a new holding time: about fifty requests.
	holdSmoothing = 0.02
	// deviations is how many deviations of the number in flight are kept free; one
	// covers five of six moments of Poisson arrivals.
	deviations = 1
)

// Reserve reckons the slots that each tier needs by Little's law: arrivals a
// second times the time that a request holds a slot.
type Reserve struct {
	arrivals    [fair.Ranks]rate.Meter
	holdSeconds [fair.Ranks]float64
	running     [fair.Ranks]int
}

// New makes a Reserve that keeps nothing free yet.
func New() *Reserve {
	r := &Reserve{}
	for i := range r.arrivals {
		r.arrivals[i].TimeConstant = arrivalWindow
	}
	return r
}

// RecordArrival counts a request.
func (r *Reserve) RecordArrival(now time.Time, rank int) {
	r.arrivals[rank].Add(now, 1)
}

// RecordStart counts a request that takes a slot.
func (r *Reserve) RecordStart(rank int) {
	r.running[rank]++
}

// RecordEnd counts a request that gives its slot back.
func (r *Reserve) RecordEnd(rank int, held time.Duration) {
	r.running[rank]--
	if r.holdSeconds[rank] == 0 {
		r.holdSeconds[rank] = held.Seconds()
	}
	r.holdSeconds[rank] += holdSmoothing * (held.Seconds() - r.holdSeconds[rank])
}

// SlotsAbove is the number of slots to keep free for the tiers above a rank.
func (r *Reserve) SlotsAbove(now time.Time, rank int) float64 {
	keep := 0.0
	for i := range rank {
		r.arrivals[i].Advance(now, true)
		need := r.arrivals[i].Rate() * r.holdSeconds[i]
		keep += max(need+deviations*math.Sqrt(need)-float64(r.running[i]), 0)
	}
	return keep
}
