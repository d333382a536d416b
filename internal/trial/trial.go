// Package trial drives the decision modules against small fake engines in virtual time.
package trial

import (
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath/internal/mix"
)

// ErrUnknown is the name of a load, mix or policy that does not exist.
var ErrUnknown = errors.New("unknown name")

// Span is how long requests arrive in a run, the warm-up included.
const Span = 120 * time.Second

// Options choose one run.
type Options struct {
	Load   string
	Mix    string
	Policy string
	Seed   uint64
	// Span is how long requests arrive; 0 takes the package's Span.
	Span time.Duration
}

// Row is what the callers of one tier, or of one group of callers, received.
type Row struct {
	Load   string `json:"load"`
	Mix    string `json:"mix"`
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// Tier is a tier's name, "all", or a group: hot and cold teams, short and long work.
	Tier string `json:"tier"`
	// Sent counts requests, not a caller's repeated attempts.
	Sent int `json:"sent"`
	// Goodput is the part of Sent that was answered whole and in time.
	Goodput float64 `json:"goodput"`
	// Refused and Expired count requests that did not run: for want of room, and
	// because their deadline was out of reach.
	Refused int `json:"refused"`
	Expired int `json:"expired"`
	// P50 and P99 are of whole answers, from arrival to end, First99 to the first token.
	P50     float64 `json:"p50_ms"`
	P99     float64 `json:"p99_ms"`
	First99 float64 `json:"first_p99_ms"`
	// Wasted is the part of the prefilled tokens whose answer came too late.
	Wasted float64 `json:"wasted_prefill"`
	// Hit is the part of the prompt tokens found in prefix caches.
	Hit float64 `json:"prefix_hit"`
	// Inversions counts refusals while lower work waited at any daemon.
	Inversions int `json:"inversions"`
}

// Loads lists the names of the loads in the order of the tables.
func Loads() []string {
	var out []string
	for _, l := range loads() {
		out = append(out, l.name)
	}
	return out
}

// Mixes lists the names of the mixes.
func Mixes() []string {
	return []string{"pozo", "meelwerk"}
}

// Run tries one policy under one load. The same options give the same rows.
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
	m = models(m)
	if l.change != nil {
		m = l.change(m)
	}
	arrivals := generate(l, m, o)
	if p.make == nil {
		return bound(l, m, o, arrivals), nil
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

// models leaves out the work for plain services, which no fake engine runs.
func models(m mix.Mix) mix.Mix {
	var streams []mix.Stream
	for _, s := range m.Streams {
		if s.Pool == mix.Models {
			streams = append(streams, s)
		}
	}
	m.Streams = streams
	return m
}

// generate draws the arrivals of a run; they do not depend on the policy.
func generate(l load, m mix.Mix, o Options) []mix.Arrival {
	opts := mix.Options{Seed: o.Seed, Rate: l.rate * capacity(m), Duration: o.Span}
	if l.bursts != nil {
		opts.Bursts = l.bursts(m, o.Span)
	}
	var out []mix.Arrival
	for a := range m.Arrivals(opts) {
		out = append(out, a)
	}
	return out
}

// random makes a generator for one purpose of a run.
func random(seed, purpose uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, purpose))
}
