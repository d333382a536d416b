package fireflypath

import "time"

// Reason is the code of a refusal.
type Reason string

// The reasons a caller can read. Each names who can mend it: the caller, the
// operator, or time.
const (
	// ReasonMalformed is a request that cannot be parsed.
	ReasonMalformed Reason = "malformed"
	// ReasonTooLarge is a request above a size limit.
	ReasonTooLarge Reason = "too-large"
	// ReasonUnauthorized is a missing or unknown team key.
	ReasonUnauthorized Reason = "unauthorized"
	// ReasonForbidden is a tier or pool that the team may not use.
	ReasonForbidden Reason = "forbidden"
	// ReasonNoPool is a pool or model that the configuration does not hold.
	ReasonNoPool Reason = "no-pool"
	// ReasonDeadline is a request that cannot end, or did not start, in time.
	ReasonDeadline Reason = "deadline"
	// ReasonFull is a request that gave way because a pool is full.
	ReasonFull Reason = "full"
	// ReasonRule is a request refused by an operator's rule.
	ReasonRule Reason = "rule"
	// ReasonEarly is a caller that came back before the time it was given.
	ReasonEarly Reason = "early"
	// ReasonStopping is a daemon past the limit of its planned stop.
	ReasonStopping Reason = "stopping"
	// ReasonClaimed is a key whose request ran, or may run, elsewhere.
	ReasonClaimed Reason = "claimed"
	// ReasonClaimUnavailable is a key that could not be claimed in time.
	ReasonClaimUnavailable Reason = "claim-unavailable"
	// ReasonWithdrawn is a caller that left.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonTarget is a target that failed after the dispatch.
	ReasonTarget Reason = "target-failed"
	// ReasonTargetRefused is a target that said that it did not run the request.
	ReasonTargetRefused Reason = "target-refused"
)

// Run says whether a refused request ran.
type Run string

const (
	// RunNo means that the request did not run and will not.
	RunNo Run = "no"
	// RunUnknown means that the request was dispatched and may have run.
	RunUnknown Run = "unknown"
)

// Refusal is the answer to a request that gets no answer from a target.
type Refusal struct {
	// Code is the reason in one word.
	Code Reason `json:"code"`
	// Tier is the tier's name, empty before the team is known.
	Tier string `json:"tier,omitempty"`
	// Detail is a sentence for people.
	Detail string `json:"reason"`
	// Run is RunNo only if the refuser moved the request out of StateWaiting,
	// or if its target said that it did not run it.
	Run Run `json:"run"`
	// RetryAfter is when room is expected; 0 means that a retry as it is cannot help.
	RetryAfter time.Duration `json:"-"`
	// RetryMS is RetryAfter in milliseconds, for the wire.
	RetryMS int64 `json:"retry_after_ms,omitempty"`
	// ID is the request's id, for "why".
	ID string `json:"request"`
	// Generation is the configuration that the decision was made under.
	Generation uint64 `json:"generation,omitempty"`
}

// Error makes a Refusal usable as the error that ends the route.
func (r *Refusal) Error() string {
	return "refused as " + string(r.Code) + ": " + r.Detail
}
