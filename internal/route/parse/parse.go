// Package parse reads a request's deadline and idempotency from its headers.
package parse

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// maxDeadline bounds the time until a deadline: a waiting request holds memory, and
// a caller does not wait a day for an answer.
const maxDeadline = 24 * time.Hour

// Parse is the first step of the route; it needs no configuration.
type Parse struct {
	clock clockwork.Clock
}

// New returns the step.
func New(clock clockwork.Clock) *Parse {
	return &Parse{clock: clock}
}

// String returns the name of the step.
func (*Parse) String() string {
	return "parse"
}

// Run sets the request's Arrived, Deadline (zero if the caller sent none) and
// Idempotent.
func (p *Parse) Run(_ context.Context, r *request.Request) error {
	r.Work.Arrived = p.clock.Now()
	if err := p.setDeadline(r); err != nil {
		return err
	}
	return setIdempotent(r)
}

func (p *Parse) setDeadline(r *request.Request) error {
	text := r.Inbound.Deadline
	if text == "" {
		return nil
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil {
		d, err := time.ParseDuration(text)
		if err != nil {
			return malformed("the deadline is neither a duration nor an RFC 3339 time")
		}
		if d <= 0 {
			return malformed("the deadline is not above zero")
		}
		at = r.Work.Arrived.Add(min(d, maxDeadline+1))
	}
	if !at.After(r.Work.Arrived) {
		return &fireflypath.Refusal{
			Code: fireflypath.ReasonDeadline, Detail: "the deadline had passed on arrival", Run: fireflypath.RunNo,
		}
	}
	if at.Sub(r.Work.Arrived) > maxDeadline {
		return malformed("the deadline is more than " + maxDeadline.String() + " away")
	}
	r.Work.Deadline = at
	return nil
}

func setIdempotent(r *request.Request) error {
	if r.Inbound.Idempotent == "" {
		r.Work.Idempotent = idempotentByMethod(r)
		return nil
	}
	v, err := strconv.ParseBool(r.Inbound.Idempotent)
	if err != nil {
		return malformed("the idempotent header is neither true nor false")
	}
	r.Work.Idempotent = v
	return nil
}

func idempotentByMethod(r *request.Request) bool {
	if r.Inbound.Service == "" {
		return true
	}
	switch r.Inbound.Method {
	case http.MethodGet, http.MethodHead, http.MethodPut, http.MethodDelete, http.MethodOptions:
		return true
	default:
		return false
	}
}

func malformed(detail string) error {
	return &fireflypath.Refusal{Code: fireflypath.ReasonMalformed, Detail: detail, Run: fireflypath.RunNo}
}
