// Package claim takes a request's idempotency key before anything is sent.
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
	// maxKeyLength bounds a key; keys are usually UUIDs.
	maxKeyLength = 256
	// retryAfter is given when the store was down for the request's whole time.
	retryAfter = 2 * time.Second
)

// Claim is the step.
type Claim struct {
	claims   *claim.Claims
	recorder fireflypath.Recorder
}

// New returns the step; the recorder may be nil.
func New(claims *claim.Claims, recorder fireflypath.Recorder) *Claim {
	return &Claim{claims: claims, recorder: recorder}
}

// String names the step.
func (*Claim) String() string {
	return "claim"
}

// Run claims the key of work that is not idempotent.
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
		r.Work.Life.Move(fireflypath.StateWaiting, fireflypath.StateWithdrawn)
		return refuse(fireflypath.ReasonWithdrawn, "the caller left while its key was claimed", fireflypath.RunNo)
	default:
		r.Work.Life.Move(fireflypath.StateWaiting, fireflypath.StateExpired)
		refusal := refuse(fireflypath.ReasonClaimUnavailable, err.Error(), fireflypath.RunNo)
		refusal.RetryAfter = retryAfter
		return refusal
	}
}

// conflictDetail adds how the holder ended if this daemon knows.
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
