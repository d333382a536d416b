// Package split divides one rate among daemons by what they ask for.
//
// It answers a team whose callers are spread unevenly over many daemons. Fixed
// parts would refuse at one daemon what another leaves unused; copies of one
// bucket need to hear of all use at once, which a large fleet cannot tell. So
// one daemon holds the rate and gives parts of it away for a short time.
package split

import (
	"slices"
	"time"
)

// LeaseDuration is for how long a part is given: some times the pause between two
// questions, and short against the windows in which quotas are judged.
const LeaseDuration = 1200 * time.Millisecond

// Allocator is one rate. It is not safe for concurrent use.
type Allocator struct {
	leases map[string]lease
}

type lease struct {
	wanted, granted float64
	expiresAt       time.Time
}

// Request gives a part of the rate to a daemon that wants so much, until Lease is
// over. What is given never sums to more than the rate.
func (s *Allocator) Request(now time.Time, rate float64, who string, want float64) float64 {
	if s.leases == nil {
		s.leases = map[string]lease{}
	}
	s.leases[who] = lease{wanted: want, expiresAt: now.Add(LeaseDuration)}
	free := rate
	wants := make([]float64, 0, len(s.leases))
	for name, p := range s.leases {
		if !now.Before(p.expiresAt) {
			delete(s.leases, name)
			continue
		}
		free -= p.granted
		wants = append(wants, p.wanted)
	}
	given := max(min(want, fairShare(wants, rate), free), 0)
	s.leases[who] = lease{wanted: want, granted: given, expiresAt: now.Add(LeaseDuration)}
	return given
}

// fairShare is the most that each may have so that all together have no more than
// the rate: who wants less leaves the rest to the others.
func fairShare(wants []float64, rate float64) float64 {
	slices.Sort(wants)
	for i, w := range wants {
		even := rate / float64(len(wants)-i)
		if w > even {
			return even
		}
		rate -= w
	}
	return rate + wants[len(wants)-1]
}
