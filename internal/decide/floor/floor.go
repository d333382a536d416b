// Package floor keeps a tier from being starved by higher tiers.
//
// Under sustained overload, higher tiers take every free slot. All work of a lower
// tier is then refused on arrival for as long as the overload lasts, however
// little its callers ask for. A tier that is served much less often than all work
// on average is due the next slot. It gets no more than that, so that the higher
// tiers keep nearly all of their capacity.
package floor

import (
	"math"
	"time"
)

const (
	// Tiers is the number of tiers counted separately; lower ones count as the
	// last.
	Tiers = 16
	// decayTime is the time in which counts decay to about a third (1/e). What
	// a tier was served before a short burst still counts, so the burst is left
	// to the higher tiers.
	decayTime = 10 * time.Second
	// minOffered is how many requests of a tier must have been offered before
	// the tier can be due.
	minOffered = 4
)

// Floor guarantees each tier a minimum ratio of served to offered work. It is
// not safe for concurrent use.
type Floor struct {
	// minRatio is the ratio due to each tier, relative to that of all work.
	minRatio float64
	updated  time.Time
	// period is the observation time in seconds, with the same decay as the
	// counts.
	period          float64
	offered, served [Tiers]float64
}

// New returns a Floor that guarantees each tier minRatio times the ratio of
// served to offered work over all tiers; 0 disables the guarantee.
func New(minRatio float64) *Floor {
	return &Floor{minRatio: minRatio}
}

// CountOffered counts a new request of a tier.
func (f *Floor) CountOffered(now time.Time, tier int) {
	f.decay(now)
	f.offered[tierIndex(tier)]++
}

// CountServed counts a dispatched request of a tier.
func (f *Floor) CountServed(now time.Time, tier int) {
	f.decay(now)
	f.served[tierIndex(tier)]++
}

// Due reports whether a tier is served less often than guaranteed.
func (f *Floor) Due(now time.Time, tier int) bool {
	f.decay(now)
	i := tierIndex(tier)
	return f.offered[i] >= minOffered && f.served[i] < f.minServed(i)
}

// Rate returns how many requests per second must be served for a tier to meet
// its guarantee.
func (f *Floor) Rate(now time.Time, tier int) float64 {
	f.decay(now)
	if f.period <= 0 {
		return 0
	}
	return f.minServed(tierIndex(tier)) / f.period
}

// minServed returns how many requests of a tier must have been served to meet
// its guarantee.
func (f *Floor) minServed(i int) float64 {
	offered, served := 0.0, 0.0
	for t := range f.offered {
		offered += f.offered[t]
		served += f.served[t]
	}
	if offered == 0 {
		return 0
	}
	return f.minRatio * f.offered[i] * min(served/offered, 1)
}

// decay applies the exponential decay of the counts up to now.
func (f *Floor) decay(now time.Time) {
	elapsed := now.Sub(f.updated).Seconds()
	if f.updated.IsZero() {
		elapsed = 0
	}
	if elapsed < 0 {
		return
	}
	f.updated = now
	if elapsed == 0 {
		return
	}
	factor := math.Exp(-elapsed / decayTime.Seconds())
	f.period = f.period*factor + elapsed
	for t := range f.offered {
		f.offered[t] *= factor
		f.served[t] *= factor
	}
}

func tierIndex(tier int) int {
	return min(max(tier, 0), Tiers-1)
}
