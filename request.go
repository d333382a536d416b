package fireflypath

import (
	"sync/atomic"
	"time"
)

// State is the place of a request in its life.
type State uint32

// The only transitions are StateWaiting to one of the others, and
// StateDispatched to StateAnswered or StateFailed.
const (
	// StateWaiting is a request that no target has been sent.
	StateWaiting State = iota
	// StateDispatched is a request whose bytes may have reached a target.
	StateDispatched
	// StateShed is a request given up for lack of room; it did not run.
	StateShed
	// StateExpired is a request given up for its deadline; it did not run.
	StateExpired
	// StateWithdrawn is a request whose caller left while it waited; it did not run.
	StateWithdrawn
	// StateAnswered is a request whose whole answer was received from its target.
	StateAnswered
	// StateFailed is a dispatched request without a whole answer; whether it ran is unknown.
	StateFailed
	// StateRefused is a request refused before it could wait: by its own fault, by
	// a rule or by its team's rights; it did not run.
	StateRefused
)

// String is the lower-case name that records and refusals print.
func (s State) String() string {
	names := [...]string{"waiting", "dispatched", "shed", "expired", "withdrawn", "answered", "failed", "refused"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Lifecycle holds the state of one request and lets exactly one caller take it out
// of each state.
//
// A request can be refused by the scheduler, abandoned by its caller and sent
// to a target at the same instant. If two of them acted, a caller would read
// "not run" for a request that ran. Whoever wins the compare-and-swap acts;
// the others learn that they lost.
type Lifecycle struct {
	state atomic.Uint32
}

// State reads the current state.
func (l *Lifecycle) State() State {
	return State(l.state.Load())
}

// Transition changes the state from one value to another and reports whether this
// call was the one that did.
func (l *Lifecycle) Transition(from, to State) bool {
	return l.state.CompareAndSwap(uint32(from), uint32(to))
}

// Cost is the estimated work of a request.
type Cost struct {
	// Prompt is the number of prompt tokens to prefill; at least 1 for model work.
	Prompt int `json:"prompt"`
	// Output is the number of tokens the caller allows to be generated; at least 0.
	Output int `json:"output"`
}

// Tokens is the sum that windows and fair shares are counted in.
func (c Cost) Tokens() int {
	return c.Prompt + c.Output
}

// Work is what the decision modules know of a request.
type Work struct {
	// ID is unique over all daemons: daemon name, a dot, and a ULID.
	ID string
	// Team is the name of the caller's team.
	Team string
	// Weight is the team's share against other teams of its tier; at least 1.
	Weight int
	// Rank is the rank of the tier; 0 is the highest tier.
	Rank int
	// Tier is the tier's name.
	Tier string
	// Pool is the name of the pool whose targets may run the work.
	Pool string
	// Model is the model named by the caller; empty for plain services.
	Model string
	// Arrived is the time at which the daemon accepted the request.
	Arrived time.Time
	// Deadline is the time after which the answer has no worth; never zero.
	Deadline time.Time
	// Cost is the estimate made on arrival.
	Cost Cost
	// Prefix holds a cumulative hash for each full block of the prompt: entry i
	// covers blocks 0 to i, so equal entries mean equal prompts up to there.
	Prefix []uint64
	// Bytes is the memory that the waiting request holds.
	Bytes int
	// Idempotent is false when a second run would do harm.
	Idempotent bool
	// Goal is when the answer should have begun; zero if nobody said.
	Goal time.Time
	// PatienceEnds is when the caller goes if the answer has not begun; zero is at the
	// deadline.
	PatienceEnds time.Time
	// Gap is the longest pause between events that the caller bears; 0 is any.
	Gap time.Duration
	// ExpectedOutput is the expected number of output tokens; 0 if nobody said.
	ExpectedOutput int
	// Avoid names targets that have had the request.
	Avoid []string
	// RetriedEarly is true when the caller came back before the time its last refusal gave.
	RetriedEarly bool
	// Lifecycle is the state that the route and the scheduler contend for.
	Lifecycle Lifecycle
}
