package fireflypath

import "time"

// Reason is the machine-readable code of a refusal.
type Reason string

// The reasons that callers can receive. Each shows how the refusal can be resolved: by the
// caller, by the operator, or by retrying later.
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
	// ReasonDeadline is a request that cannot finish, or did not start, in time.
	ReasonDeadline Reason = "deadline"
	// ReasonFull is a request that was shed because a pool is full.
	ReasonFull Reason = "full"
	// ReasonRule is a request refused by an operator's rule.
	ReasonRule Reason = "rule"
	// ReasonEarly is a caller that retried before the time given in its last refusal.
	ReasonEarly Reason = "early"
	// ReasonStopping is a daemon whose planned stop has reached its time limit.
	ReasonStopping Reason = "stopping"
	// ReasonClaimed is an idempotency key whose request ran, or may run, elsewhere.
	ReasonClaimed Reason = "claimed"
	// ReasonClaimUnavailable is an idempotency key that could not be claimed in time.
	ReasonClaimUnavailable Reason = "claim-unavailable"
	// ReasonWithdrawn is a caller that left.
	ReasonWithdrawn Reason = "withdrawn"
	// ReasonTarget is a target that failed after the request was dispatched.
	ReasonTarget Reason = "target-failed"
	// ReasonTargetRefused is a target that reported that it did not run the request.
	ReasonTargetRefused Reason = "target-refused"
)

// Run tells whether a refused request ran.
type Run string

const (
	// RunNo means that the request did not run and will not.
	RunNo Run = "no"
	// RunUnknown means that the request was dispatched and may have run.
	RunUnknown Run = "unknown"
)

// Refusal is the answer to a request that got no answer from a target.
type Refusal struct {
	// Code is the machine-readable reason.
	Code Reason `json:"code"`
	// Tier is the tier's name, empty before the team is known.
	Tier string `json:"tier,omitempty"`
	// Detail is a human-readable explanation.
	Detail string `json:"reason"`
	// Run is RunNo only if the code that refuses the request moved it out of StateWaiting, or
	// if its target reported that it did not run it.
	Run Run `json:"run"`
	// RetryAfter is when capacity is expected; 0 means that retrying the same request cannot
	// succeed.
	RetryAfter time.Duration `json:"-"`
	// RetryMS is RetryAfter in milliseconds, for the JSON encoding.
	RetryMS int64 `json:"retry_after_ms,omitempty"`
	// ID is the request's ID, for the "why" query.
	ID string `json:"request"`
	// Generation is the configuration generation that the decision was based on.
	Generation uint64 `json:"generation,omitempty"`
}

// Error implements error.
func (r *Refusal) Error() string {
	return "refused as " + string(r.Code) + ": " + r.Detail
}
