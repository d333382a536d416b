// Package place chooses among the targets that can take a request.
//
// It balances reuse of cached prefixes against load, and prevents herding: load
// reports are seconds old, so daemons that all trust the same report would send all
// requests to the target that last looked idle. The default policy, Scored,
// compares expected seconds: the daemon's own requests in flight, which are known
// exactly, the delay learned from its own answers, the prefill that remains after
// the expected cache hit, and the decode time at the learned rate.
package place

import (
	"math/rand/v2"
)

// Policy is a selection policy. All but Scored serve as baselines for comparison.
type Policy int8

const (
	// Scored chooses among the targets with about the lowest expected time.
	Scored Policy = iota
	// RoundRobin chooses the targets in turn.
	RoundRobin
	// LeastRequests chooses the target with the fewest of this daemon's requests in
	// flight.
	LeastRequests
	// PowerOfTwoChoices chooses the better of two random targets by this daemon's
	// requests in flight.
	PowerOfTwoChoices
	// PrefixHash chooses the target to which the prefix hashes among those
	// available.
	PrefixHash
	// CachedRanking takes targets in order from a cached ranking by score, which it
	// renews when the set of available targets changes or half of the ranking is
	// used (score caching, after the paper "On Optimized Scheduling Scheme for
	// Rapid Pod Autoscaling in Kubernetes").
	CachedRanking
)

const (
	// Scores within relativeTolerance (a fraction) plus absoluteTolerance (in
	// seconds) of the best count as equal. The learned rates and delays behind the
	// scores err by about as much. Among equal scores all daemons choose by the
	// hash of the prompt's prefix: requests with the same prefix reach the same
	// cache without coordination, and different ones do not all follow the same
	// report.
	relativeTolerance = 0.2
	absoluteTolerance = 0.2
)

// Candidate is a target that can take a request.
type Candidate struct {
	// Target is the caller's index of the target.
	Target int32
	// Hash is the hash of the target's name, the same at all daemons.
	Hash uint64
	// Requests counts this daemon's requests in flight at the target.
	Requests int
	// Score is the expected time to the end of the answer, in seconds.
	Score float64
}

// Chooser chooses targets for one scheduler. It is not safe for concurrent use.
type Chooser struct {
	policy         Policy
	rnd            *rand.Rand
	nextTarget     uint64
	ranking        []int32
	rankingUsed    int
	rankingSize    int
	candidatesHash uint64
}

// New returns a Chooser that breaks ties at random with the given seed.
func New(policy Policy, seed uint64) *Chooser {
	return &Chooser{policy: policy, rnd: rand.New(rand.NewPCG(seed, 1))}
}

// Choose returns the index of the chosen candidate; there must be at least one.
func (c *Chooser) Choose(prefix uint64, candidates []Candidate) int {
	switch c.policy {
	case RoundRobin:
		return c.roundRobin(candidates)
	case LeastRequests:
		return c.leastRequests(candidates)
	case PowerOfTwoChoices:
		return c.powerOfTwoChoices(candidates)
	case PrefixHash:
		return rendezvous(prefix, candidates)
	case CachedRanking:
		return c.cachedRanking(candidates)
	case Scored:
		return c.scored(prefix, candidates)
	}
	return c.scored(prefix, candidates)
}

// scored returns, of the candidates whose score counts as equal to the best, the
// one to which the prefix hashes, or a random one if there is no prefix.
func (c *Chooser) scored(prefix uint64, candidates []Candidate) int {
	best := candidates[0].Score
	for i := range candidates {
		best = min(best, candidates[i].Score)
	}
	limit := best*(1+relativeTolerance) + absoluteTolerance
	if prefix == 0 {
		prefix = c.rnd.Uint64()
	}
	chosen, maxHash := 0, uint64(0)
	for i := range candidates {
		if candidates[i].Score > limit {
			continue
		}
		if h := Mix64(prefix ^ candidates[i].Hash); h >= maxHash {
			chosen, maxHash = i, h
		}
	}
	return chosen
}

// roundRobin returns the candidate with the lowest target index above that of the
// last choice.
func (c *Chooser) roundRobin(candidates []Candidate) int {
	best, first := -1, 0
	for i := range candidates {
		if candidates[i].Target < candidates[first].Target {
			first = i
		}
		if uint64(candidates[i].Target) >= c.nextTarget && (best < 0 || candidates[i].Target < candidates[best].Target) {
			best = i
		}
	}
	if best < 0 {
		best = first
	}
	c.nextTarget = uint64(candidates[best].Target) + 1
	return best
}

// leastRequests returns the candidate with the fewest requests, a random one among
// equals.
func (c *Chooser) leastRequests(candidates []Candidate) int {
	chosen, n := 0, 1
	for i := 1; i < len(candidates); i++ {
		switch {
		case candidates[i].Requests < candidates[chosen].Requests:
			chosen, n = i, 1
		case candidates[i].Requests == candidates[chosen].Requests:
			n++
			if c.rnd.IntN(n) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

// powerOfTwoChoices returns the less loaded of two random candidates.
func (c *Chooser) powerOfTwoChoices(candidates []Candidate) int {
	a, b := c.rnd.IntN(len(candidates)), c.rnd.IntN(len(candidates))
	if candidates[b].Requests < candidates[a].Requests {
		return b
	}
	return a
}

// rendezvous returns the candidate with the highest hash of prefix and name. As
// only targets that can take a request are candidates, the load of each stays
// bounded.
func rendezvous(prefix uint64, candidates []Candidate) int {
	chosen, maxHash := 0, uint64(0)
	for i := range candidates {
		h := Mix64(prefix ^ candidates[i].Hash)
		if h >= maxHash {
			chosen, maxHash = i, h
		}
	}
	return chosen
}

// cachedRanking returns the next candidate of the cached ranking, which is renewed
// first if the candidates differ or half of it is used.
func (c *Chooser) cachedRanking(candidates []Candidate) int {
	var candidatesHash uint64
	for i := range candidates {
		candidatesHash += Mix64(uint64(candidates[i].Target) + 1)
	}
	if candidatesHash != c.candidatesHash || 2*c.rankingUsed >= c.rankingSize {
		c.renewRanking(candidates)
		c.candidatesHash = candidatesHash
	}
	target := c.ranking[c.rankingUsed]
	c.rankingUsed++
	for i := range candidates {
		if candidates[i].Target == target {
			return i
		}
	}
	return 0
}

// renewRanking ranks the candidates by score.
func (c *Chooser) renewRanking(candidates []Candidate) {
	c.ranking = c.ranking[:0]
	c.rankingUsed, c.rankingSize = 0, len(candidates)
	for range candidates {
		best := -1
		for i := range candidates {
			if c.isRanked(candidates[i].Target) {
				continue
			}
			if best < 0 || candidates[i].Score < candidates[best].Score {
				best = i
			}
		}
		c.ranking = append(c.ranking, candidates[best].Target)
	}
}

// isRanked reports whether the ranking contains the target.
func (c *Chooser) isRanked(target int32) bool {
	for _, r := range c.ranking {
		if r == target {
			return true
		}
	}
	return false
}

// Mix64 distributes the bits of a number (the finalizer of splitmix64).
func Mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
