package fireflypath

import "time"

// Offer is work that a daemon asks the pool's dispatcher to place. All times are
// what is left of them when the message is made, so that clocks need not agree.
type Offer struct {
	// Number names the work between the two; a daemon uses each only once.
	Number uint64 `json:"n"`
	Rank   int    `json:"r,omitempty"`
	// Prompt, Output and Expected are in tokens: the prompt, the most output and
	// the output that is expected.
	Prompt   int `json:"p,omitempty"`
	Output   int `json:"o,omitempty"`
	Expected int `json:"e,omitempty"`
	// Waited is the time since the daemon accepted the request.
	Waited Micros `json:"w,omitempty"`
	// Goal is the time until the answer should begin, Leaves that until the caller
	// leaves if it has not (0: at the deadline), Deadline that until it has no worth.
	Goal     Micros `json:"g,omitempty"`
	Patience Micros `json:"l,omitempty"`
	Deadline Micros `json:"d,omitempty"`
	// Gap is the longest pause between events that the caller bears; 0 is any.
	Gap Micros `json:"a,omitempty"`
	// Avoid names targets that have had the request.
	Avoid []string `json:"v,omitempty"`
}

// InFlightWork is work that is at a target already when a daemon turns to a dispatcher.
type InFlightWork struct {
	Offer
	// Target is the identity of the target.
	Target string `json:"t"`
	// Sent is the time since the dispatch; Began is true once the answer began.
	Sent  Micros `json:"s,omitempty"`
	Began bool   `json:"b,omitempty"`
}

// Progress is an event of work that the dispatcher placed or was told of.
type Progress struct {
	Number     uint64    `json:"n"`
	Kind       EventKind `json:"k,omitempty"`
	Tokens     int       `json:"t,omitempty"`
	CallerLeft bool      `json:"l,omitempty"`
}

// DispatchUpdate is what a daemon tells the dispatcher of one pool, in the order of the fields.
type DispatchUpdate struct {
	InFlight  []InFlightWork `json:"f,omitempty"`
	Offers    []Offer        `json:"o,omitempty"`
	Progress  []Progress     `json:"p,omitempty"`
	Withdrawn []uint64       `json:"w,omitempty"`
}

// Empty is true if there is nothing to tell.
func (n *DispatchUpdate) Empty() bool {
	return len(n.InFlight)+len(n.Offers)+len(n.Progress)+len(n.Withdrawn) == 0
}

// Decision is a dispatcher's decision about one piece of work: a target, or a refusal.
type Decision struct {
	Number uint64 `json:"n"`
	// Target is the identity of the target; empty for a refusal.
	Target string `json:"t,omitempty"`
	// PromptAhead is how much prompt, in tokens, stood before the work at the target, and
	// First when its answer was expected to begin.
	PromptAhead int    `json:"a,omitempty"`
	TimeToFirst Micros `json:"f,omitempty"`
	// Reason, Detail and Retry are those of a refusal.
	Reason Reason `json:"r,omitempty"`
	Detail string `json:"d,omitempty"`
	Retry  Micros `json:"y,omitempty"`
}

// Micros is a time in microseconds.
type Micros int64

// MicrosOf is the same as a duration, rounded down.
func MicrosOf(d time.Duration) Micros {
	return Micros(d.Microseconds())
}

// Std is the same as a duration.
func (m Micros) Std() time.Duration {
	return time.Duration(m) * time.Microsecond
}
