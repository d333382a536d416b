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

// zipf is the exponent of document popularity: a usual value for requests to
// documents on the web, between 0.6 and 1; rand.Zipf needs more than 1.
const zipf = 1.1

// Options choose the arrivals.
type Options struct {
	// Seed makes the arrivals repeatable.
	Seed uint64
	// Rate is in requests a second over all streams; more than 0.
	Rate float64
	// For is how long requests arrive.
	For time.Duration
	// Bursts raise a team's rate for a while.
	Bursts []Burst
}

// Burst multiplies the rate of a team.
type Burst struct {
	At  time.Duration
	For time.Duration
	// Team is the bursting team; empty means all teams.
	Team string
	// Factor is at least 1.
	Factor float64
}

// Arrival is one request.
type Arrival struct {
	// Seq counts the arrivals from 0.
	Seq int
	// At is counted from the start; it never falls.
	At   time.Duration
	Team string
	Tier string
	Rank int
	Pool string
	Cost fireflypath.Cost
	// Deadline is counted from At.
	Deadline   time.Duration
	Idempotent bool
	// Document is the seed of the text that the prompt begins with, Shared the
	// number of its whole blocks that belong to the document.
	Document uint64
	Shared   int
	// Own is the seed of the rest of the prompt.
	Own uint64
}

// Arrivals generates a Poisson process; the same options give the same arrivals.
func (m Mix) Arrivals(o Options) iter.Seq[Arrival] {
	return func(yield func(Arrival) bool) {
		g := newGenerator(m, o)
		for at := g.gap(); at < o.For; at += g.gap() {
			s, ok := g.pick(at)
			if !ok {
				continue
			}
			if !yield(g.arrival(at, s)) {
				return
			}
		}
	}
}

type generator struct {
	mix    Mix
	o      Options
	rnd    *rand.Rand
	zipfs  []*rand.Zipf
	shares float64
	peak   float64
	seq    int
}

func newGenerator(m Mix, o Options) *generator {
	g := &generator{mix: m, o: o, rnd: rand.New(rand.NewPCG(o.Seed, uint64(len(m.Streams)))), peak: 1}
	for _, s := range m.Streams {
		g.shares += s.Share
		g.zipfs = append(g.zipfs, rand.NewZipf(g.rnd, zipf, 1, uint64(max(s.Documents, 1)-1)))
	}
	for _, b := range o.Bursts {
		g.peak *= max(1, b.Factor)
	}
	return g
}

// gap draws the time to the next candidate at the highest rate; pick thins the
// candidates to the rate of the moment.
func (g *generator) gap() time.Duration {
	return time.Duration(g.rnd.ExpFloat64() / (g.o.Rate * g.peak) * float64(time.Second))
}

// pick draws the stream of a candidate, or none.
func (g *generator) pick(at time.Duration) (int, bool) {
	x := g.rnd.Float64() * g.shares * g.peak
	for i, s := range g.mix.Streams {
		x -= s.Share * g.factor(s.Team, at)
		if x < 0 {
			return i, true
		}
	}
	return 0, false
}

func (g *generator) factor(team string, at time.Duration) float64 {
	f := 1.0
	for _, b := range g.o.Bursts {
		if (b.Team == "" || b.Team == team) && at >= b.At && at < b.At+b.For {
			f *= max(1, b.Factor)
		}
	}
	return f
}

func (g *generator) arrival(at time.Duration, i int) Arrival {
	s := g.mix.Streams[i]
	a := Arrival{
		Seq:        g.seq,
		At:         at,
		Team:       s.Team,
		Tier:       s.Tier,
		Rank:       g.mix.Rank(s.Tier),
		Pool:       s.Pool,
		Cost:       fireflypath.Cost{Prompt: g.tokens(s.Prompt), MaxOutput: g.tokens(s.Output)},
		Deadline:   s.Deadline,
		Idempotent: s.Idempotent,
		Own:        g.rnd.Uint64(),
	}
	g.seq++
	if s.Documents > 0 {
		a.Document = seed(uint64(i), g.zipfs[i].Uint64())
		a.Shared = int(float64(a.Cost.Prompt)*s.Shared) / BlockTokens
	}
	return a
}

// tokens draws a log-uniform number.
func (g *generator) tokens(s Span) int {
	if s.Max <= s.Min {
		return s.Min
	}
	lo, hi := math.Log(float64(s.Min)), math.Log(float64(s.Max))
	return int(math.Round(math.Exp(lo + g.rnd.Float64()*(hi-lo))))
}

// seed mixes two numbers into one.
func seed(a, b uint64) uint64 {
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], a)
	binary.LittleEndian.PutUint64(buf[8:], b)
	return xxhash.Sum64(buf[:])
}

// block is the seed of block i of the prompt.
func (a Arrival) block(i int) uint64 {
	if i < a.Shared {
		return seed(a.Document, uint64(i))
	}
	return seed(a.Own, uint64(i))
}

// Blocks are stand-ins for the cumulative hashes of the prompt's whole blocks:
// equal entries mean prompts that are equal up to there. They are cheaper than
// those of Prompt and are not the same numbers.
func (a Arrival) Blocks() []uint64 {
	out := make([]uint64, a.Cost.Prompt/BlockTokens)
	var before uint64
	for i := range out {
		before = seed(before, a.block(i))
		out[i] = before
	}
	return out
}

// Prompt is a text of Cost.Prompt tokens whose first Shared blocks are those of
// the document.
func (a Arrival) Prompt() string {
	out := make([]byte, 0, a.Cost.Prompt*TokenBytes)
	for i := 0; len(out) < cap(out); i++ {
		out = appendBlock(out, a.block(i))
	}
	return string(out)
}

// appendBlock adds the text of one block, cut to the capacity left.
func appendBlock(out []byte, seed uint64) []byte {
	var word [8]byte
	binary.BigEndian.PutUint64(word[:], seed)
	text := hex.AppendEncode(nil, word[:])
	for n := 0; n < BlockTokens*TokenBytes && len(out) < cap(out); n += len(text) {
		out = append(out, text[:min(len(text), cap(out)-len(out))]...)
	}
	return out
}
