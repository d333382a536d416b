// Package request is a caller's request on its way through the route.
package request

import (
	"context"
	"io"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/record/draft"
	"github.com/fireflypath/fireflypath/internal/route/catalog"
)

// Turn is what the queue tells a waiting request: a target, or a refusal.
type Turn struct {
	Target  fireflypath.Target
	Refusal *fireflypath.Refusal
}

// Owner is what the steps behind the queue tell the request's pool.
type Owner interface {
	// Requeue lets a request wait once more of whose dispatch no byte left.
	Requeue(ctx context.Context, r *Request) error
	// Notify passes on an event of a dispatched request.
	Notify(r *Request, kind fireflypath.EventKind, cached int)
}

// Request is used by one goroutine at a time: the caller's, and while it waits
// in a pool, whoever holds the pool's lock.
type Request struct {
	// Work is what the decision modules see.
	Work fireflypath.Work
	// Inbound is the request as the caller sent it.
	Inbound Inbound
	// Config is the configuration in force on arrival; all steps use this one.
	Config *fireflypath.Config
	// Catalog is the index of Config.
	Catalog *catalog.Catalog
	// Team is set by identify, Pool by classify.
	Team *fireflypath.Team
	Pool *fireflypath.Pool
	// Call is what is sent to the target.
	Call fireflypath.Call
	// Owner is the pool that the request waits or runs in, set by queue.
	Owner Owner
	// Backend speaks to the pool's targets, set by dispatch.
	Backend fireflypath.Backend
	// Draft collects the record; nil if none is kept.
	Draft *draft.Draft
	// Turn holds at most one turn at a time.
	Turn chan Turn
	// Target and Sent are those of the dispatch.
	Target fireflypath.Target
	Sent   time.Time
	// Answer is nil after a dispatch whose answer has not begun to arrive.
	Answer fireflypath.Answer
	// AnswerErr is why Answer is nil.
	AnswerErr error
	// Claimed is true while the request's idempotency key is held for it.
	Claimed bool
	// Reply is what the caller gets.
	Reply Reply
	// Tokens counts the output tokens passed on.
	Tokens int
	// Ended is true once the request's end has been counted.
	Ended bool
}

// Inbound holds copies of what the caller sent, but for Body.
type Inbound struct {
	Method string
	// Path is the path with its query, Route the part that the door matched.
	Path string
	// Service is the pool named by a call to /services/POOL/..., and Rest the
	// path behind it, with its query.
	Service     string
	ServicePath string
	// Token is the bearer token.
	Token          string
	Tier           string
	Deadline       string
	Idempotent     string
	IdempotencyKey string
	// Header holds the end-to-end headers to pass on to services.
	Header map[string]string
	// Body belongs to the connection until the request's answer begins.
	Body []byte
	// CallerAddr is the caller's address without its port.
	CallerAddr string
}

// Reply is an answer to write: Body, or Stream if that is not nil.
type Reply struct {
	Status int
	Header map[string]string
	Body   []byte
	// Stream fails with an error other than io.EOF if the answer is not whole;
	// the connection is then closed without the end mark.
	Stream io.ReadCloser
	// Length is the length of Stream, or -1 for chunks.
	Length int
}
