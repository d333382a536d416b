package fireflypath

import "time"

// Offer is work that a daemon asks the pool's dispatcher to place. All times are relative to
// the creation of the message, so that the clocks of the daemons need not agree.
type Offer struct {
	// Number identifies the work between the daemon and the dispatcher. A daemon uses each
	// number only once.
	Number uint64 `json:"n"`
	Rank   int    `json:"r,omitempty"`
	// Prompt is the length of the prompt, MaxOutput the maximum output and ExpectedOutput the
	// expected output, in tokens.
	Prompt         int `json:"p,omitempty"`
	MaxOutput      int `json:"o,omitempty"`
	ExpectedOutput int `json:"e,omitempty"`
	// Waited is the time since the daemon accepted the request.
	Waited Micros `json:"w,omitempty"`
	// Goal is the time until the answer should begin. Patience is the time until the caller
	// leaves if the answer has not begun; 0 means at the deadline. Deadline is the time until
	// the answer is worthless.
	Goal     Micros `json:"g,omitempty"`
	Patience Micros `json:"l,omitempty"`
	Deadline Micros `json:"d,omitempty"`
	// Gap is the longest pause between events that the caller tolerates; 0 means no limit.
	Gap Micros `json:"a,omitempty"`
	// Avoid lists the targets that the request was already sent to.
	Avoid []string `json:"v,omitempty"`
	// Version is the version of the targets that may run the work; empty if any may.
	Version string `json:"x,omitempty"`
	// Team is the caller's team and Weight its weight, where capacity is divided among teams; 0
	// stands for the default weight.
	Team   string `json:"m,omitempty"`
	Weight int    `json:"q,omitempty"`
	// Digest and Elapsed identify callers that return after a refusal. Return is set if the caller is
	// known to do so.
	Digest  uint32      `json:"h,omitempty"`
	Elapsed Micros      `json:"k,omitempty"`
	Return  ReturnState `json:"u,omitempty"`
}

// InFlightWork is work that is already at a target when a daemon opens a session with a
// dispatcher.
type InFlightWork struct {
	Offer
	// Target is the identity of the target.
	Target string `json:"t"`
	// Sent is the time since the dispatch. Began is true once the answer has begun.
	Sent  Micros `json:"s,omitempty"`
	Began bool   `json:"b,omitempty"`
}

// Progress reports an event of work that the dispatcher placed or that was reported to it.
type Progress struct {
	Number      uint64    `json:"n"`
	Kind        EventKind `json:"k,omitempty"`
	Tokens      int       `json:"t,omitempty"`
	NotByTarget bool      `json:"l,omitempty"`
}

// DispatchUpdate is what a daemon reports to the dispatcher of one pool. The fields are applied
// in order.
type DispatchUpdate struct {
	Notices   []TargetNotice  `json:"t,omitempty"`
	Backoffs  []TargetBackoff `json:"x,omitempty"`
	InFlight  []InFlightWork  `json:"f,omitempty"`
	Offers    []Offer         `json:"o,omitempty"`
	Progress  []Progress      `json:"p,omitempty"`
	Withdrawn []uint64        `json:"w,omitempty"`
	// Loads holds how many requests at targets may be those of other cells, by the targets' own reports,
	// for the targets of which the dispatcher wants to know. Targets are keyed by identity.
	Loads map[string]int `json:"l,omitempty"`
}

// Empty reports whether the update contains nothing.
func (u *DispatchUpdate) Empty() bool {
	return len(u.Notices)+len(u.Backoffs)+len(u.InFlight)+len(u.Offers)+len(u.Progress)+len(u.Withdrawn)+len(u.Loads) == 0
}

// TargetNotice is a target's notice as daemons pass it on.
type TargetNotice struct {
	// Target is the identity of the target.
	Target string `json:"t"`
	Notice
	// Age is the time since the target declared it.
	Age Micros `json:"a,omitempty"`
}

// TargetBackoff is a time for which a target wants no more requests of the daemon that reports it.
type TargetBackoff struct {
	// Target is the identity of the target.
	Target string `json:"t"`
	// Remaining is the time until the daemon may send the target requests again.
	Remaining Micros `json:"r,omitempty"`
}

// Decision is a dispatcher's decision about one piece of work: a target or a refusal.
type Decision struct {
	Number uint64 `json:"n"`
	// Target is the identity of the target; empty for a refusal.
	Target string `json:"t,omitempty"`
	// PromptAhead is the number of prompt tokens that the target has to process before the
	// work. TimeToFirst is the expected time until the answer begins.
	PromptAhead int    `json:"a,omitempty"`
	TimeToFirst Micros `json:"f,omitempty"`
	// Within is the time since the arrival of the work within which it may be sent to the target, which
	// another cell has lent; 0 means no limit.
	Within Micros `json:"w,omitempty"`
	// Load is true if the dispatcher needs the target's own report of its load.
	Load bool `json:"l,omitempty"`
	// Reason, Detail and Retry are set for a refusal.
	Reason Reason `json:"r,omitempty"`
	Detail string `json:"d,omitempty"`
	Retry  Micros `json:"y,omitempty"`
	// Return tells whether the caller returned after a refusal. Promised is true if there will be room
	// for the caller after Retry.
	Return   ReturnState `json:"u,omitempty"`
	Promised bool        `json:"p,omitempty"`
}

// Micros is a duration in microseconds.
type Micros int64

// MicrosOf converts a duration, rounded down.
func MicrosOf(d time.Duration) Micros {
	return Micros(d.Microseconds())
}

// Std returns m as a time.Duration.
func (m Micros) Std() time.Duration {
	return time.Duration(m) * time.Microsecond
}
