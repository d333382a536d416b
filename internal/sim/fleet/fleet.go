// Package fleet describes engines, daemons and work to simulate.
package fleet

import (
	"time"
)

// Fleet is what is simulated: engines, the daemons before them, and the kinds of
// work that callers bring.
type Fleet struct {
	Name string `json:"name"`
	// Daemons is the number of daemons; a balancer gives each of them an uneven
	// part of the callers.
	Daemons int `json:"daemons"`
	// Hop is the time from a daemon to another one or to an engine, Way that
	// between a caller and a daemon, one way.
	Hop Millis `json:"hop_ms"`
	Way Millis `json:"way_ms"`
	// Engines are the targets of the one pool.
	Engines Engines `json:"engines"`
	// Kinds are the kinds of work, the highest tier first.
	Kinds []Kind `json:"kinds"`
	// High is the part of the work that is of teams which come before all others.
	High float64 `json:"high"`
	// Goal weighs the parts of a run's worth.
	Goal Goal `json:"goal"`
}

// Engines are model engines with continuous batching.
type Engines struct {
	Count int `json:"count"`
	// Slots is how many requests run at once, Queue how many more wait in order of
	// arrival; above that an engine refuses.
	Slots int `json:"slots"`
	Queue int `json:"queue"`
	// Speeds multiply all times; engines take them in turn.
	Speeds []float64 `json:"speeds"`
	// Step is the time of a decode step, PerSlot what each running request adds to
	// it and PerContext what each thousand tokens of their contexts add.
	Step       float64 `json:"step_ms"`
	PerSlot    float64 `json:"slot_ms"`
	PerContext float64 `json:"context_ms"`
	// Prefill is the prompt tokens read in a millisecond, Chunk the most that are
	// read in one step, Pairs the milliseconds that a million pairs of tokens add.
	Prefill float64 `json:"prefill"`
	Chunk   int     `json:"chunk"`
	Pairs   float64 `json:"pairs_ms"`
	// First is added to the time of a first token.
	First float64 `json:"first_ms"`
	// Stride is how many tokens an event holds.
	Stride int `json:"stride"`
}

// Kind is a kind of work.
type Kind struct {
	Name string `json:"name"`
	// Rate is requests a second.
	Rate float64 `json:"rate"`
	// Prompt is in tokens, Output in events.
	Prompt Size `json:"prompt"`
	Output Size `json:"output"`
	// Goal is the time to the first event, Gap the longest pause, Timeout the time
	// after which the caller has left.
	Goal    Millis `json:"goal_ms"`
	Gap     Millis `json:"gap_ms"`
	Timeout Millis `json:"timeout_ms"`
	// Worth is what a punctual answer of mean size is worth, Late what a late one is.
	Worth float64 `json:"worth"`
	Late  float64 `json:"late"`
	// Repeat is true for work that may run twice.
	Repeat bool `json:"repeat"`
}

// Size is a lognormal distribution of sizes: its mean, the standard deviation of
// the logarithm, and a bound.
type Size struct {
	Mean   float64 `json:"mean"`
	Spread float64 `json:"spread"`
	Max    float64 `json:"max"`
}

// Goal weighs the whole run, its worst windows and its worst class of work.
type Goal struct {
	Mean   float64 `json:"mean"`
	Window float64 `json:"window"`
	Class  float64 `json:"class"`
}

// Millis is a number of milliseconds.
type Millis float64

// Std is the same as a duration.
func (m Millis) Std() time.Duration {
	return time.Duration(float64(m) * float64(time.Millisecond))
}

// Patience is how long a caller waits for the first event, and for each further one.
func (k Kind) Patience() time.Duration {
	return max(leastPatience, goalPatience*k.Goal.Std(), gapPatience*k.Gap.Std())
}

// Callers leave a stream after the longest of these.
const (
	leastPatience = 2 * time.Second
	goalPatience  = 4
	gapPatience   = 8
)

// Size of a request against which its worth is reckoned: an output token takes
// about as long as ten prompt tokens.
const outputWeight = 10

// Weight is the size of a request in tokens of prompt.
func Weight(prompt, output int) float64 {
	return float64(prompt + outputWeight*output)
}
