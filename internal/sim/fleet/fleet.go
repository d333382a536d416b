// Package fleet describes the engines, daemons and workload of a simulation.
package fleet

import (
	"time"
)

// Fleet describes a simulated system: engines, the daemons in front of them, and the
// kinds of work that callers send.
type Fleet struct {
	Name string `json:"name"`
	// Daemons is the number of daemons; the balancer distributes callers unevenly among
	// them.
	Daemons int `json:"daemons"`
	// Hop is the one-way latency between daemons and between a daemon and an engine;
	// CallerHop is that between a caller and a daemon.
	Hop       Milliseconds `json:"hop_ms"`
	CallerHop Milliseconds `json:"way_ms"`
	// Engines are the targets of the only pool.
	Engines Engines `json:"engines"`
	// Kinds are the kinds of work, highest tier first.
	Kinds []Kind `json:"kinds"`
	// HighPriority is the fraction of the work from teams with priority over all
	// others.
	HighPriority float64 `json:"high"`
	// Weights weigh the components of a run's score.
	Weights ScoreWeights `json:"goal"`
}

// Engines describes model engines with continuous batching.
type Engines struct {
	Count int `json:"count"`
	// Slots is how many requests run at once, Queue how many more wait in order of
	// arrival; further requests are refused.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// Speeds are factors on all times, assigned to the engines in rotation.
	Speeds []float64 `json:"speeds"`
	// Step is the base time of a decode step, PerSlot the additional time per running
	// request and PerContext that per thousand tokens of context.
	Step       float64 `json:"step_ms"`
	PerSlot    float64 `json:"slot_ms"`
	PerContext float64 `json:"context_ms"`
	// Prefill is the number of prompt tokens prefilled per millisecond, Chunk the
	// maximum per step, Pairs the attention cost in milliseconds per million pairs of
	// tokens.
	Prefill float64 `json:"prefill"`
	Chunk   int     `json:"chunk"`
	Pairs   float64 `json:"pairs_ms"`
	// First is additional time for a first token.
	First float64 `json:"first_ms"`
	// Stride is the number of tokens per output event.
	Stride int `json:"stride"`
}

// Kind is a kind of work.
type Kind struct {
	Name string `json:"name"`
	// Rate is in requests per second.
	Rate float64 `json:"rate"`
	// Prompt is in tokens, Output in events.
	Prompt Size `json:"prompt"`
	Output Size `json:"output"`
	// Goal is the time to the first event for an answer in time, Gap the longest pause
	// between events for one, Timeout the time from arrival to the deadline.
	Goal    Milliseconds `json:"goal_ms"`
	Gap     Milliseconds `json:"gap_ms"`
	Timeout Milliseconds `json:"timeout_ms"`
	// Worth is the value of an answer of mean size in time, Late that of a late one.
	Worth float64 `json:"worth"`
	Late  float64 `json:"late"`
	// Repeat reports whether the work may run twice.
	Repeat bool `json:"repeat"`
}

// Size is a lognormal distribution of sizes: its mean, the standard deviation of the
// logarithm, and an upper bound.
type Size struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"`
	Max    float64 `json:"max"`
}

// ScoreWeights weigh the whole run, its worst intervals and its worst class of work.
type ScoreWeights struct {
	Mean   float64 `json:"mean"`
	Window float64 `json:"window"`
	Class  float64 `json:"class"`
}

// Milliseconds is a duration in milliseconds.
type Milliseconds float64

// Duration converts m to a time.Duration.
func (m Milliseconds) Duration() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Patience returns how long a caller waits for the first event, and for each further
// one.
func (k Kind) Patience() time.Duration {
	return max(minPatience, goalPatienceFactor*k.Goal.Duration(), gapPatienceFactor*k.Gap.Duration())
}

// A caller's patience is the largest of these: a fixed minimum and multiples of the
// goal and of the gap.
const (
	minPatience        = 2 * time.Second
	goalPatienceFactor = 4
	gapPatienceFactor  = 8
)

// outputWeight is the weight of an output token in prompt tokens: it takes about as
// long as ten of them.
const outputWeight = 10

// Weight returns the size of a request in prompt tokens, by which its worth is scaled.
func Weight(prompt, output int) float64 {
	return float64(prompt + outputWeight*output)
}
