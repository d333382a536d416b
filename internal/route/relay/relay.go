// Package relay passes the answer of a target to the caller.
package relay

import (
	"context"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

const (
	// maxBuffered is the largest answer that is read completely before its first
	// byte is passed on, so that an incomplete one can still be replaced by a
	// refusal with its own status.
	maxBuffered = 64 << 10
	// maxAssembled bounds the text assembled for a caller that did not ask for a
	// stream.
	maxAssembled = 16 << 20
)

var errTooLong = errors.New("answer is longer than the bound")

// Relay is the last step of the route.
type Relay struct {
	clock clockwork.Clock
	ended func(r *request.Request, refusal *fireflypath.Refusal)
}

// New returns the step. The function ended is called once for each request that
// reaches the step, with a nil refusal for a complete answer.
func New(clock clockwork.Clock, ended func(r *request.Request, refusal *fireflypath.Refusal)) *Relay {
	return &Relay{clock: clock, ended: ended}
}

// String returns the name of the step.
func (*Relay) String() string {
	return "relay"
}

// Run sets the reply. A streamed reply ends after Run has returned.
func (rl *Relay) Run(ctx context.Context, r *request.Request) error {
	f := newFollower(ctx, rl.clock, r)
	first, err := f.start()
	if err != nil && (f.answer == nil || !errors.Is(err, io.EOF)) {
		return rl.fail(f, err)
	}
	head := f.head()
	r.Reply = request.Reply{Status: head.Status, Header: head.Header, Length: -1}
	switch {
	case r.Pool.Kind == fireflypath.KindEngine && head.Status == statusOK && !r.Call.Stream:
		return rl.assemble(f, first, err)
	case r.Pool.Kind == fireflypath.KindEngine && head.Status == statusOK:
		return rl.stream(f, first, err)
	default:
		return rl.plain(f, first, err)
	}
}

// stream passes events on. An answer that is already complete is written as one
// body, which saves a write for a short answer.
func (rl *Relay) stream(f *follower, first fireflypath.Chunk, err error) error {
	events := append([]byte(nil), first.Data...)
	for err == nil && f.ready() && len(events) < maxBuffered {
		var c fireflypath.Chunk
		c, err = f.next()
		events = append(events, c.Data...)
	}
	if errors.Is(err, io.EOF) {
		f.request.Reply.Body = events
		rl.complete(f)
		return nil
	}
	f.request.Reply.Stream = newStreamBody(rl, f, fireflypath.Chunk{Data: events}, err, true)
	return nil
}

const statusOK = 200

// plain passes on an answer that is not an event stream.
func (rl *Relay) plain(f *follower, first fireflypath.Chunk, err error) error {
	r := f.request
	if n, ok := f.answer.(interface{ Length() int }); ok {
		r.Reply.Length = n.Length()
	}
	if r.Reply.Length > maxBuffered || r.Reply.Length < 0 && err == nil {
		// An answer of unknown length may arrive slowly, so its chunks are not buffered.
		r.Reply.Stream = newStreamBody(rl, f, first, err, false)
		return nil
	}
	body := append([]byte(nil), first.Data...)
	for err == nil {
		var c fireflypath.Chunk
		c, err = f.next()
		body = append(body, c.Data...)
	}
	if !errors.Is(err, io.EOF) {
		return rl.fail(f, err)
	}
	r.Reply.Body = body
	rl.complete(f)
	return nil
}

// complete ends a request whose answer was read completely.
func (rl *Relay) complete(f *follower) {
	r := f.request
	r.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateAnswered)
	r.Owner.Notify(r, fireflypath.EventDone, f.cachedTokens())
	f.close()
	rl.ended(r, nil)
}

// fail ends a request whose answer cannot be completed and returns its refusal.
func (rl *Relay) fail(f *follower, err error) error {
	r := f.request
	if f.ctx.Err() != nil {
		f.close()
		f.cancelTarget()
		return rl.withdraw(f)
	}
	r.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateFailed)
	r.Owner.Notify(r, fireflypath.EventFailed, f.cachedTokens())
	f.close()
	refusal := &fireflypath.Refusal{
		Code: fireflypath.ReasonTarget, Tier: r.Work.Tier, Run: fireflypath.RunUnknown,
		Detail: "the answer of " + r.Target.Name + " was lost: " + err.Error(),
		ID:     r.Work.ID, Generation: r.Config.Generation,
	}
	rl.ended(r, refusal)
	return refusal
}

// callerLeft ends the answer of a caller that left. The answer to work that may not
// be cancelled is read to its end, because a target may treat a closed connection
// as a cancellation.
func (rl *Relay) callerLeft(f *follower) {
	r := f.request
	if r.Work.Idempotent {
		f.close()
		f.cancelTarget()
		_ = rl.withdraw(f)
		return
	}
	for {
		if _, err := f.next(); err != nil {
			break
		}
	}
	f.close()
	_ = rl.withdraw(f)
}

// withdraw ends a request whose caller left while it ran.
func (rl *Relay) withdraw(f *follower) error {
	r := f.request
	r.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateFailed)
	r.Owner.Notify(r, fireflypath.EventFailed, f.cachedTokens())
	refusal := &fireflypath.Refusal{
		Code: fireflypath.ReasonWithdrawn, Tier: r.Work.Tier, Run: fireflypath.RunUnknown,
		Detail: "the caller left while the request ran", ID: r.Work.ID, Generation: r.Config.Generation,
	}
	rl.ended(r, refusal)
	return refusal
}
