package mix

import (
	"encoding/binary"
	"encoding/hex"
	"iter"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

// zipfExponent is the exponent of document popularity. Web requests typically have
// exponents between 0.6 and 1, but rand.Zipf requires a value above 1.
const zipfExponent = 1.1

// Options configures the generated arrivals.
type Options struct {
	// Seed makes the arrivals reproducible.
	Seed uint64
	// Rate is the number of requests per second over all streams; it must be positive.
	Rate float64
	// Duration is the length of the period in which requests arrive.
	Duration time.Duration
	// Bursts temporarily raise the rates of teams.
	Bursts []Burst
}

// Burst multiplies the rate of a team for a limited time.
type Burst struct {
	Start    time.Duration
	Duration time.Duration
	// Team is the affected team; empty means all teams.
	Team string
	// Factor is at least 1.
	Factor float64
}

// Arrival is one request of the workload.
type Arrival struct {
	// Seq numbers the arrivals from 0.
	Seq int
	// At is the time since the start; it never decreases.
	At   time.Duration
	Team string
	Tier string
	Rank int
	Pool string
	Cost fireflypath.Cost
	// Deadline is relative to At.
	Deadline   time.Duration
	Idempotent bool
	// DocumentSeed is the seed of the document that the prompt begins with, and
	// SharedBlocks the number of whole blocks taken from it.
	DocumentSeed uint64
	SharedBlocks int
	// OwnSeed is the seed of the rest of the prompt.
	OwnSeed uint64
}

// Arrivals generates a Poisson process. Equal options give equal arrivals.
func (m Mix) Arrivals(o Options) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		g := newGenerator(m, o)
		for at := g.interarrival(); at < o.Duration; at += g.interarrival() {
			s, ok := g.pickStream(at)
			if !ok {
				continue
			}
			if !yield(g.newArrival(at, s)) {
				return
			}
		}
	}
}

type generator struct {
	mix        Mix
	options    Options
	rng        *rand.Rand
	documents  []*rand.Zipf
	totalShare float64
	peakFactor float64
	seq        int
}

func newGenerator(m Mix, o Options) *generator {
	g := &generator{mix: m, options: o, rng: rand.New(rand.NewPCG(o.Seed, uint64(len(m.Streams)))), peakFactor: 1}
	for _, s := range m.Streams {
		g.totalShare += s.Share
		g.documents = append(g.documents, rand.NewZipf(g.rng, zipfExponent, 1, uint64(max(s.Documents, 1)-1)))
	}
	for _, b := range o.Bursts {
		g.peakFactor *= max(1, b.Factor)
	}
	return g
}

// interarrival draws the time to the next candidate at the peak rate. pickStream
// thins out the candidates to the current rate.
func (g *generator) interarrival() time.Duration {
	return time.Duration(g.rng.ExpFloat64() / (g.options.Rate * g.peakFactor) * float64(time.Second))
}

// pickStream draws the stream of a candidate, or reports false if the candidate is dropped.
func (g *generator) pickStream(at time.Duration) (int, bool) {
	x := g.rng.Float64() * g.totalShare * g.peakFactor
	for i, s := range g.mix.Streams {
		x -= s.Share * g.burstFactor(s.Team, at)
		if x < 0 {
			return i, true
		}
	}
	return 0, false
}

func (g *generator) burstFactor(team string, at time.Duration) float64 {
	f := 1.0
	for _, b := range g.options.Bursts {
		if (b.Team == "" || b.Team == team) && at >= b.Start && at < b.Start+b.Duration {
			f *= max(1, b.Factor)
		}
	}
	return f
}

func (g *generator) newArrival(at time.Duration, i int) Arrival {
	s := g.mix.Streams[i]
	a := Arrival{
		Seq:        g.seq,
		At:         at,
		Team:       s.Team,
		Tier:       s.Tier,
		Rank:       g.mix.Rank(s.Tier),
		Pool:       s.Pool,
		Cost:       fireflypath.Cost{Prompt: g.drawTokens(s.Prompt), MaxOutput: g.drawTokens(s.Output)},
		Deadline:   s.Deadline,
		Idempotent: s.Idempotent,
		OwnSeed:    g.rng.Uint64(),
	}
	g.seq++
	if s.Documents > 0 {
		a.DocumentSeed = combineSeeds(uint64(i), g.documents[i].Uint64())
		a.SharedBlocks = int(float64(a.Cost.Prompt)*s.SharedFraction) / BlockTokens
	}
	return a
}

// drawTokens draws a log-uniform number of tokens.
func (g *generator) drawTokens(r TokenRange) int {
	if r.Max <= r.Min {
		return r.Min
	}
	lo, hi := math.Log(float64(r.Min)), math.Log(float64(r.Max))
	return int(math.Round(math.Exp(lo + g.rng.Float64()*(hi-lo))))
}

// combineSeeds hashes two numbers into a new seed.
func combineSeeds(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// blockSeed returns the seed of block i of the prompt.
func (a Arrival) blockSeed(i int) uint64 {
	if i < a.SharedBlocks {
		return combineSeeds(a.DocumentSeed, uint64(i))
	}
	return combineSeeds(a.OwnSeed, uint64(i))
}

// Blocks returns substitutes for the cumulative hashes of the prompt's whole blocks:
// equal entries mean that the prompts are equal up to that block. They are cheaper to
// compute than the hashes of the text that Prompt returns, and have other values.
func (a Arrival) Blocks() []uint64 {
	out := make([]uint64, a.Cost.Prompt/BlockTokens)
	var previous uint64
	for i := range out {
		previous = combineSeeds(previous, a.blockSeed(i))
		out[i] = previous
	}
	return out
}

// Prompt returns a text of Cost.Prompt tokens whose first SharedBlocks blocks are
// those of the document.
func (a Arrival) Prompt() string {
	out := make([]byte, 0, a.Cost.Prompt*TokenBytes)
	for i := 0; len(out) < cap(out); i++ {
		out = appendBlock(out, a.blockSeed(i))
	}
	return string(out)
}

// appendBlock appends the text of one block, truncated to the remaining capacity.
func appendBlock(out []byte, seed uint64) []byte {
	var word [8]byte
	binary.BigEndian.PutUint64(word[:], seed)
	text := hex.AppendEncode(nil, word[:])
	for n := 0; n < BlockTokens*TokenBytes && len(out) < cap(out); n += len(text) {
		out = append(out, text[:min(len(text), cap(out)-len(out))]...)
	}
	return out
}
