// Package ratelease leases parts of a rate to daemons by their demand.
//
// It is for a team whose callers are spread unevenly over many daemons. Fixed parts would
// refuse requests at one daemon while another leaves its part unused, and copies of one
// token bucket must learn of all use at once, which is too much to exchange in a large
// fleet. So one daemon, the quota's coordinator, holds the rate and leases parts of it for
// a short time.
package ratelease

import (
	"slices"
	"time"
)

// LeaseDuration is how long a part is granted: several times the interval between a
// daemon's requests, and short compared with the windows over which quotas are checked.
const LeaseDuration = 1200 * time.Millisecond

// Allocator leases parts of one rate. It is not safe for concurrent use.
type Allocator struct {
	leases map[string]lease
}

type lease struct {
	wanted, granted float64
	expiresAt       time.Time
}

// Request grants a part of the rate, at most wanted, to a daemon for LeaseDuration. The
// grants in effect never sum to more than the rate.
func (a *Allocator) Request(now time.Time, rate float64, daemon string, wanted float64) float64 {
	if a.leases == nil {
		a.leases = map[string]lease{}
	}
	a.leases[daemon] = lease{wanted: wanted, expiresAt: now.Add(LeaseDuration)}
	free := rate
	demands := make([]float64, 0, len(a.leases))
	for name, l := range a.leases {
		if !now.Before(l.expiresAt) {
			delete(a.leases, name)
			continue
		}
		free -= l.granted
		demands = append(demands, l.wanted)
	}
	granted := max(min(wanted, fairShare(demands, rate), free), 0)
	a.leases[daemon] = lease{wanted: wanted, granted: granted, expiresAt: now.Add(LeaseDuration)}
	return granted
}

// fairShare is the max-min fair share: the most that each daemon may get so that the sum
// stays within the rate, where those that want less leave the rest to the others.
func fairShare(demands []float64, rate float64) float64 {
	slices.Sort(demands)
	for i, demand := range demands {
		share := rate / float64(len(demands)-i)
		if demand > share {
			return share
		}
		rate -= demand
	}
	return rate + demands[len(demands)-1]
}
