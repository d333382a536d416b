// Package place chooses among the targets that have room.
//
// It answers prefix reuse against load, and herds: reports are seconds old, so
// daemons that all believe the same report send all their work to the target
// that last looked idle. The shipped choice weighs expected seconds: own work in
// flight, which is exact, the delay learned from own answers, what remains to
// prefill after the expected hit, and the decode at the learned speed.
package place

import (
	"math/rand/v2"
)

// Kind names a way to choose. All but Scored are kept to be measured against.
type Kind int8

const (
	// Scored takes the least expected finish.
	Scored Kind = iota
	// RoundRobin takes the targets in turn.
	RoundRobin
	// Least takes the fewest own requests in flight.
	Least
	// Two takes the better of two random targets by own requests.
	Two
	// Hash takes the target that the prefix hashes to, or the next with room.
	Hash
	// Ranking consumes a cached ranking by score in rotation and renews it when
	// the feasible set changes or half of it is used (Score caching after the
	// paper "On Optimized Scheduling Scheme for Rapid Pod Autoscaling in
	// Kubernetes").
	Ranking
)

const (
	// near and even are how much worse a score may be than the best to count as
	// equal, as a part and in seconds. The speeds and delays behind scores err by
	// about this much. Among equals all daemons choose by the hash of the prompt's
	// beginning, so that work that begins alike meets in the same cache without a
	// word between them, and unlike work does not run after the same report.
	near = 0.2
	even = 0.2
)

// Option is a target that has room.
type Option struct {
	// Target is the owner's number for the target.
	Target int32
	// Hash is of the target's name, equal at all daemons.
	Hash uint64
	// Requests is this daemon's own work in flight there.
	Requests int
	// Score is the expected time to the end of the answer, in seconds.
	Score float64
}

// Chooser chooses; it is used by one scheduler.
type Chooser struct {
	kind    Kind
	rnd     *rand.Rand
	turn    uint64
	ranking []int32
	used    int
	initial int
	feature uint64
}

// New makes a Chooser whose ties are broken by the seed.
func New(kind Kind, seed uint64) *Chooser {
	return &Chooser{kind: kind, rnd: rand.New(rand.NewPCG(seed, 1))}
}

// Choose returns the position of the chosen option; there is at least one.
func (c *Chooser) Choose(prefix uint64, opts []Option) int {
	switch c.kind {
	case RoundRobin:
		return c.next(opts)
	case Least:
		return c.least(opts)
	case Two:
		return c.two(opts)
	case Hash:
		return hash(prefix, opts)
	case Ranking:
		return c.rank(opts)
	case Scored:
		return c.scored(prefix, opts)
	}
	return c.scored(prefix, opts)
}

// scored takes, of those whose score is near the best, the one that the prefix
// hashes to, or a random one if there is no prefix.
func (c *Chooser) scored(prefix uint64, opts []Option) int {
	best := opts[0].Score
	for i := range opts {
		best = min(best, opts[i].Score)
	}
	limit := best*(1+near) + even
	if prefix == 0 {
		prefix = c.rnd.Uint64()
	}
	chosen, top := 0, uint64(0)
	for i := range opts {
		if opts[i].Score > limit {
			continue
		}
		if h := Mix(prefix ^ opts[i].Hash); h >= top {
			chosen, top = i, h
		}
	}
	return chosen
}

// next is the option with the lowest number above the last one's.
func (c *Chooser) next(opts []Option) int {
	best, first := -1, 0
	for i := range opts {
		if opts[i].Target < opts[first].Target {
			first = i
		}
		if uint64(opts[i].Target) >= c.turn && (best < 0 || opts[i].Target < opts[best].Target) {
			best = i
		}
	}
	if best < 0 {
		best = first
	}
	c.turn = uint64(opts[best].Target) + 1
	return best
}

func (c *Chooser) least(opts []Option) int {
	chosen, n := 0, 1
	for i := 1; i < len(opts); i++ {
		switch {
		case opts[i].Requests < opts[chosen].Requests:
			chosen, n = i, 1
		case opts[i].Requests == opts[chosen].Requests:
			n++
			if c.rnd.IntN(n) == 0 {
				chosen = i
			}
		}
	}
	return chosen
}

func (c *Chooser) two(opts []Option) int {
	a, b := c.rnd.IntN(len(opts)), c.rnd.IntN(len(opts))
	if opts[b].Requests < opts[a].Requests {
		return b
	}
	return a
}

// hash is rendezvous hashing over the targets that have room, which bounds the
// load of each.
func hash(prefix uint64, opts []Option) int {
	best, top := 0, uint64(0)
	for i := range opts {
		h := Mix(prefix ^ opts[i].Hash)
		if h >= top {
			best, top = i, h
		}
	}
	return best
}

func (c *Chooser) rank(opts []Option) int {
	var feature uint64
	for i := range opts {
		feature += Mix(uint64(opts[i].Target) + 1)
	}
	if feature != c.feature || 2*c.used >= c.initial {
		c.renew(opts)
		c.feature = feature
	}
	t := c.ranking[c.used]
	c.used++
	for i := range opts {
		if opts[i].Target == t {
			return i
		}
	}
	return 0
}

func (c *Chooser) renew(opts []Option) {
	c.ranking = c.ranking[:0]
	c.used, c.initial = 0, len(opts)
	for range opts {
		best := -1
		for i := range opts {
			if c.ranked(opts[i].Target) {
				continue
			}
			if best < 0 || opts[i].Score < opts[best].Score {
				best = i
			}
		}
		c.ranking = append(c.ranking, opts[best].Target)
	}
}

func (c *Chooser) ranked(t int32) bool {
	for _, r := range c.ranking {
		if r == t {
			return true
		}
	}
	return false
}

// Mix spreads the bits of a number (the finaliser of splitmix64).
func Mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
