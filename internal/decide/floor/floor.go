// Package floor keeps a tier from being starved by those above it.
//
// It answers an overload that lasts. Work of higher tiers takes each place that becomes
// free, all of a lower tier is refused on arrival, and its callers get nothing for as
// long as the overload lasts, however little they ask for. A tier that is served much
// less often than all work together is due the next place; it gets no more than that,
// so that the tiers above keep nearly all of what they had.
package floor

import (
	"math"
	"time"
)

const (
	// Tiers is the number of tiers that are told apart; lower ones count as the last.
	Tiers = 16
	// horizon is the time in which what was asked and served fades to a third. What a
	// tier got before a short burst counts for it, so that the burst is left to the
	// tiers above.
	horizon = 10 * time.Second
	// leastAsked is how much of a tier must have been asked for before anything is said
	// of how often it is served.
	leastAsked = 4
)

// Floor counts how often each tier is served. It is not safe for concurrent use.
type Floor struct {
	// part of how often all work is served is due to each tier.
	part          float64
	at            time.Time
	span          float64
	asked, served [Tiers]float64
}

// New returns a floor by which each tier is served at least part as often as all work
// together; 0 is no floor.
func New(part float64) *Floor {
	return &Floor{part: part}
}

// CountOffered counts work of a tier that was asked for.
func (f *Floor) CountOffered(now time.Time, tier int) {
	f.pass(now)
	f.asked[index(tier)]++
}

// CountServed counts work of a tier that got a place.
func (f *Floor) CountServed(now time.Time, tier int) {
	f.pass(now)
	f.served[index(tier)]++
}

// Due is true for a tier that is served less often than it should be at least.
func (f *Floor) Due(now time.Time, tier int) bool {
	f.pass(now)
	i := index(tier)
	return f.asked[i] >= leastAsked && f.served[i] < f.least(i)
}

// Rate is the places a second that a tier is due while it is starved.
func (f *Floor) Rate(now time.Time, tier int) float64 {
	f.pass(now)
	if f.span <= 0 {
		return 0
	}
	return f.least(index(tier)) / f.span
}

// least is how much of a tier should have been served.
func (f *Floor) least(i int) float64 {
	asked, served := 0.0, 0.0
	for t := range f.asked {
		asked += f.asked[t]
		served += f.served[t]
	}
	if asked == 0 {
		return 0
	}
	return f.part * f.asked[i] * min(served/asked, 1)
}

// pass lets what was counted fade.
func (f *Floor) pass(now time.Time) {
	d := now.Sub(f.at).Seconds()
	if f.at.IsZero() {
		d = 0
	}
	if d < 0 {
		return
	}
	f.at = now
	if d == 0 {
		return
	}
	fade := math.Exp(-d / horizon.Seconds())
	f.span = f.span*fade + d
	for t := range f.asked {
		f.asked[t] *= fade
		f.served[t] *= fade
	}
}

func index(tier int) int {
	return min(max(tier, 0), Tiers-1)
}
