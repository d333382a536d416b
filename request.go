package fireflypath

import (
	"sync/atomic"
	"time"
)

// State is a state in the lifecycle of a request.
type State uint32

// The only transitions are from StateWaiting to any other state and from StateDispatched to
// StateAnswered or StateFailed.
const (
	// StateWaiting is a request that was not sent to any target.
	StateWaiting State = iota
	// StateDispatched is a request whose bytes may have reached a target.
	StateDispatched
	// StateShed is a request dropped for lack of capacity; it did not run.
	StateShed
	// StateExpired is a request dropped because of its deadline; it did not run.
	StateExpired
	// StateWithdrawn is a request whose caller left while it waited; it did not run.
	StateWithdrawn
	// StateAnswered is a request whose complete answer was received from its target.
	StateAnswered
	// StateFailed is a dispatched request without a complete answer; whether it ran is unknown.
	StateFailed
	// StateRefused is a request refused before it was queued: because it is invalid, because
	// of a rule or because of its team's permissions; it did not run.
	StateRefused
)

// String returns the lower-case name that is used in records and refusals.
func (s State) String() string {
	names := [...]string{"waiting", "dispatched", "shed", "expired", "withdrawn", "answered", "failed", "refused"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Lifecycle holds the state of one request. Of several concurrent transitions out of a state
// exactly one succeeds.
//
// A request can be refused by the scheduler, abandoned by its caller and sent to a target at the
// same time. If two of these took effect, a caller would be told "not run" for a request that
// ran. Only the goroutine that wins the compare-and-swap acts; the others learn that they lost.
type Lifecycle struct {
	state atomic.Uint32
}

// State returns the current state.
func (l *Lifecycle) State() State {
	return State(l.state.Load())
}

// Transition changes the state from one value to another. It reports whether this call made the
// change.
func (l *Lifecycle) Transition(from, to State) bool {
	return l.state.CompareAndSwap(uint32(from), uint32(to))
}

// ReturnState tells whether a request is that of a caller who was refused before.
type ReturnState uint8

const (
	// ReturnNone is a newcomer, or a caller whose refusal is not known.
	ReturnNone ReturnState = iota
	// ReturnKept is a caller who returns at the time that it was promised.
	ReturnKept
	// ReturnEarly is a caller who returns before that time.
	ReturnEarly
)

// String returns the name that is used in logs.
func (s ReturnState) String() string {
	names := [...]string{"none", "kept", "early"}
	if int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// Cost is the estimated amount of work of a request.
type Cost struct {
	// Prompt is the number of prompt tokens to prefill; at least 1 for model work.
	Prompt int `json:"prompt"`
	// MaxOutput is the maximum number of tokens that the caller allows; at least 0.
	MaxOutput int `json:"output"`
}

// Tokens returns the total, which is the unit of windows and fair shares.
func (c Cost) Tokens() int {
	return c.Prompt + c.MaxOutput
}

// Work is what the scheduling and admission packages know of a request.
type Work struct {
	// ID is unique across all daemons: the daemon's name, a dot and a ULID.
	ID string
	// Team is the name of the caller's team.
	Team string
	// Weight is the team's weight relative to other teams of its tier; at least 1.
	Weight int
	// Rank is the rank of the tier; 0 is the highest tier.
	Rank int
	// Tier is the tier's name.
	Tier string
	// Pool is the name of the pool whose targets may run the work.
	Pool string
	// Model is the model that the caller requested; empty for plain services.
	Model string
	// Arrived is the time at which the daemon accepted the request.
	Arrived time.Time
	// Deadline is the time after which the answer is worthless; never zero.
	Deadline time.Time
	// Cost is the estimate made on arrival.
	Cost Cost
	// Prefix holds a cumulative hash for each full block of the prompt. Entry i covers the
	// blocks 0 to i, so equal entries mean equal prompts up to the end of block i.
	Prefix []uint64
	// Bytes is the memory that the request uses while it waits.
	Bytes int
	// Idempotent is false if a second run would be harmful.
	Idempotent bool
	// Goal is the time by which the answer should have begun; zero if not specified.
	Goal time.Time
	// PatienceEnds is when the caller leaves if the answer has not begun; zero means at the
	// deadline.
	PatienceEnds time.Time
	// Gap is the longest pause between events that the caller tolerates; 0 means no limit.
	Gap time.Duration
	// ExpectedOutput is the expected number of output tokens; 0 if not specified.
	ExpectedOutput int
	// Avoid lists the targets that the request was already sent to.
	Avoid []string
	// Version is the version of the software of the targets that may run the work; empty if any may.
	Version string
	// Sender is the daemon that sends the work, if another one decides where.
	Sender string
	// RetriedEarly is true if the caller retried before the time given in its last refusal.
	RetriedEarly bool
	// Digest is a short hash that is equal for requests for the same work; 0 if it is not used.
	Digest uint32
	// Elapsed is for how long the caller has been trying before this request, as far as known.
	Elapsed time.Duration
	// Return tells whether the caller returns after a refusal, and when. Promised is true if a
	// refusal names a time at which there will be room for the caller. The scheduler sets both.
	Return   ReturnState
	Promised bool
	// Lifecycle is the state, which the route and the scheduler change concurrently.
	Lifecycle Lifecycle
}
