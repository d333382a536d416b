// Package claim claims a request's idempotency key before the request is sent.
package claim

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/claim"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

const (
	// maxKeyLength bounds the length of a key; keys are usually UUIDs.
	maxKeyLength = 256
	// retryAfter is sent with a refusal when the store was unavailable until the
	// request's deadline.
	retryAfter = 2 * time.Second
)

// Claim is the step that claims idempotency keys.
type Claim struct {
	claims   *claim.Claims
	recorder fireflypath.Recorder
}

// New returns the step; the recorder may be nil.
func New(claims *claim.Claims, recorder fireflypath.Recorder) *Claim {
	return &Claim{claims: claims, recorder: recorder}
}

// String returns the name of the step.
func (*Claim) String() string {
	return "claim"
}

// Run claims the key of a request that is not idempotent.
func (s *Claim) Run(ctx context.Context, r *request.Request) error {
	if r.Inbound.IdempotencyKey == "" || r.Work.Idempotent {
		return nil
	}
	if len(r.Inbound.IdempotencyKey) > maxKeyLength {
		return refuse(fireflypath.ReasonMalformed, "the idempotency key is too long", fireflypath.RunNo)
	}
	err := s.claims.Claim(ctx, r.Team.Name, r.Inbound.IdempotencyKey, r.Work.ID, r.Work.Deadline)
	var held *claim.HeldError
	switch {
	case err == nil:
		r.Claimed = true
		return nil
	case errors.As(err, &held):
		return refuse(fireflypath.ReasonClaimed, s.conflictDetail(held), fireflypath.RunUnknown)
	case ctx.Err() != nil:
		r.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateWithdrawn)
		return refuse(fireflypath.ReasonWithdrawn, "the caller left while its key was claimed", fireflypath.RunNo)
	default:
		r.Work.Lifecycle.Transition(fireflypath.StateWaiting, fireflypath.StateExpired)
		refusal := refuse(fireflypath.ReasonClaimUnavailable, err.Error(), fireflypath.RunNo)
		refusal.RetryAfter = retryAfter
		return refusal
	}
}

// conflictDetail describes the request that holds the key, with its state if this
// daemon has a record of it.
func (s *Claim) conflictDetail(held *claim.HeldError) string {
	if s.recorder != nil {
		if rec := s.recorder.Find(held.Holder); rec != nil {
			return held.Error() + ", which was " + rec.State
		}
	}
	return held.Error()
}

func refuse(code fireflypath.Reason, detail string, run fireflypath.Run) *fireflypath.Refusal {
	return &fireflypath.Refusal{Code: code, Detail: detail, Run: run}
}
