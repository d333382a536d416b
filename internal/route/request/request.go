// Package request defines the state of a caller's request that the steps of the
// route share.
package request

import (
	"context"
	"io"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/record/draft"
	"github.com/fireflypath/fireflypath/internal/route/catalog"
)

// WaitResult ends the wait of a queued request, with a target or with a refusal.
type WaitResult struct {
	Target  fireflypath.Target
	Refusal *fireflypath.Refusal
}

// Owner is the pool of a request, as used by the steps after the queue.
type Owner interface {
	// Requeue lets a request wait again whose dispatch failed before any byte was
	// sent.
	Requeue(ctx context.Context, r *Request) error
	// Notify passes an event of a dispatched request to the pool's scheduler.
	Notify(r *Request, kind fireflypath.EventKind, cached int)
}

// Request is used by one goroutine at a time: the caller's, or, while it waits in a
// pool, the one that holds the pool's lock.
type Request struct {
	// Work is the part that the scheduler and the other decision packages use.
	Work fireflypath.Work
	// Inbound is the request as the caller sent it.
	Inbound Inbound
	// Config is the configuration at the arrival of the request; all steps use it.
	Config *fireflypath.Config
	// Catalog is the index of Config.
	Catalog *catalog.Catalog
	// Team is set by identify, Pool by classify.
	Team *fireflypath.Team
	Pool *fireflypath.Pool
	// Call is the call that is sent to the target.
	Call fireflypath.Call
	// Owner is the pool in which the request waits or runs, set by queue.
	Owner Owner
	// Backend communicates with the pool's targets, set by dispatch.
	Backend fireflypath.Backend
	// Draft collects the request's record; nil if none is kept.
	Draft *draft.Draft
	// PathLost is true if the last connection could not be made because this daemon lacks a path to
	// the target.
	PathLost bool
	// RequeueVersion is the version of the targets that may run the request from its next Requeue on, or
	// empty if that stays as it is.
	RequeueVersion string
	// WaitResult receives the end of the wait; it is buffered for one value.
	WaitResult chan WaitResult
	// Target is the target of the last dispatch, Sent its time.
	Target fireflypath.Target
	Sent   time.Time
	// Answer is the target's answer; nil if the dispatch failed before it began.
	Answer fireflypath.Answer
	// AnswerErr is the error because of which Answer is nil.
	AnswerErr error
	// Claimed is true while the request holds the claim to its idempotency key.
	Claimed bool
	// Reply is the reply to the caller.
	Reply Reply
	// Tokens is the number of output tokens received from the target.
	Tokens int
	// Ended is true once the end of the request has been counted and recorded.
	Ended bool
}

// Inbound is the request as received. Its fields are copies, except for Body.
type Inbound struct {
	Method string
	// Path is the path with its query.
	Path string
	// Service is the pool named by a call to /services/POOL/..., and ServicePath the
	// rest of the path with its query.
	Service     string
	ServicePath string
	// Token is the bearer token.
	Token          string
	Tier           string
	Deadline       string
	Idempotent     string
	IdempotencyKey string
	// Header holds the end-to-end headers that are passed on to services.
	Header map[string]string
	// Body is owned by the connection and valid until the reply begins.
	Body []byte
	// CallerAddr is the address of the caller without the port.
	CallerAddr string
}

// Reply is the reply to write, with Stream as its body if that is not nil, or Body.
type Reply struct {
	Status int
	Header map[string]string
	Body   []byte
	// Stream fails with an error other than io.EOF if the answer is incomplete. The
	// connection is then closed without the terminating chunk.
	Stream io.ReadCloser
	// Length is the length of Stream, or -1 for chunked encoding.
	Length int
}
