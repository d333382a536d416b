// Package trial runs the scheduling modules against simple simulated engines in virtual
// time.
package trial

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath/internal/mix"
)

// ErrUnknown is returned for the name of a load, mix or policy that does not exist.
var ErrUnknown = errors.New("unknown name")

// Span is the duration over which requests arrive in a run, including the warm-up.
const Span = 120 * time.Second

// Options configure one run.
type Options struct {
	Load   string
	Mix    string
	Policy string
	Seed   uint64
	// Span is the duration over which requests arrive; 0 means the package's Span.
	Span time.Duration
}

// Row summarizes what the callers of one tier or group received.
type Row struct {
	Load   string `json:"load"`
	Mix    string `json:"mix"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Tier is a tier's name, "all", or a group: hot and cold teams, short and long
	// work.
	Tier string `json:"tier"`
	// Sent counts requests, not attempts.
	Sent int `json:"sent"`
	// Goodput is the fraction of Sent that was answered completely and in time.
	Goodput float64 `json:"goodput"`
	// Refused counts requests that did not run for lack of capacity, Expired those that
	// did not run because their deadline was out of reach.
	Refused int `json:"refused"`
	Expired int `json:"expired"`
	// P50 and P99 are of the time from arrival to the end of the answer, FirstTokenP99 is of
	// the time to the first token.
	P50           float64 `json:"p50_ms"`
	P99           float64 `json:"p99_ms"`
	FirstTokenP99 float64 `json:"first_p99_ms"`
	// Wasted is the fraction of the prefilled tokens whose answer was cancelled or came
	// too late.
	Wasted float64 `json:"wasted_prefill"`
	// PrefixHit is the fraction of the prompt tokens found in prefix caches.
	PrefixHit float64 `json:"prefix_hit"`
	// Inversions counts refusals while work of a lower tier waited in any daemon.
	Inversions int `json:"inversions"`
}

// Loads returns the names of the loads in the order of the tables.
func Loads() []string {
	var out []string
	for _, l := range loads() {
		out = append(out, l.name)
	}
	return out
}

// Mixes returns the names of the mixes.
func Mixes() []string {
	return []string{"pozo", "meelwerk"}
}

// Run runs one policy under one load. Equal options give equal rows.
func Run(o Options) ([]Row, error) {
	l, err := findLoad(o.Load)
	if err != nil {
		return nil, err
	}
	m, ok := mix.ByName(o.Mix)
	if !ok {
		return nil, errors.Wrapf(ErrUnknown, "mix %q", o.Mix)
	}
	p, err := findPolicy(o.Policy)
	if err != nil {
		return nil, err
	}
	if o.Span == 0 {
		o.Span = Span
	}
	m = modelStreams(m)
	if l.transform != nil {
		m = l.transform(m)
	}
	arrivals := generateArrivals(l, m, o)
	if p.newScheduler == nil {
		return upperBound(l, m, o, arrivals), nil
	}
	f := newFleet(l, m, p, o)
	f.run(arrivals)
	return f.tally.rows(o), nil
}

func findLoad(name string) (load, error) {
	for _, l := range loads() {
		if l.name == name {
			return l, nil
		}
	}
	return load{}, errors.Wrapf(ErrUnknown, "load %q", name)
}

// modelStreams removes the work for plain services, which the simulated engines do not
// run.
func modelStreams(m mix.Mix) mix.Mix {
	var streams []mix.Stream
	for _, s := range m.Streams {
		if s.Pool == mix.Models {
			streams = append(streams, s)
		}
	}
	m.Streams = streams
	return m
}

// generateArrivals draws the arrivals of a run; they do not depend on the policy.
func generateArrivals(l load, m mix.Mix, o Options) []mix.Arrival {
	opts := mix.Options{Seed: o.Seed, Rate: l.rate * coldCapacity(m), Duration: o.Span}
	if l.bursts != nil {
		opts.Bursts = l.bursts(m, o.Span)
	}
	var out []mix.Arrival
	for a := range m.Arrivals(opts) {
		out = append(out, a)
	}
	return out
}

// newRand returns a generator for one purpose of a run.
func newRand(seed, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}
