package relay

import (
	"context"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

const (
	// maxFailures bounds consecutive resumes that fail immediately. With the pauses
	// between them they last about 1.5 s, which is longer than a target's network
	// needs to recover from a moved route and far shorter than a restart. A
	// restarted target no longer has the answer.
	maxFailures = 5
	basePause   = 50 * time.Millisecond
	// maxTimeouts bounds consecutive resumes that receive nothing until the read
	// timeout. It is high because a target may queue a request for that long; it
	// ends the wait for a target that only accepts connections.
	maxTimeouts = 30
	// cancelTimeout bounds the request that cancels work at a target.
	cancelTimeout = 2 * time.Second
)

// follower reads one answer and resumes it on a new connection as often as needed.
//
// A connection can break or go silent while the target still works on the answer.
// The caller would wait forever or read an incomplete answer. Resuming after the
// last event on a new connection does not run the request a second time.
type follower struct {
	ctx           context.Context
	clock         clockwork.Clock
	request       *request.Request
	answer        fireflypath.Answer
	offset        int
	failures      int
	timeouts      int
	started       bool
	firstReported bool
	closed        bool
}

func newFollower(ctx context.Context, clock clockwork.Clock, r *request.Request) *follower {
	if !r.Work.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return &follower{ctx: ctx, clock: clock, request: r, answer: r.Answer}
}

// start returns the first chunk. The answer's head is available afterwards.
func (f *follower) start() (fireflypath.Chunk, error) {
	if f.answer == nil {
		if err := f.resume(f.request.AnswerErr); err != nil {
			return fireflypath.Chunk{}, err
		}
	}
	return f.next()
}

func (f *follower) head() fireflypath.Head {
	return f.answer.Head()
}

func (f *follower) cachedTokens() int {
	if f.answer == nil {
		return -1
	}
	return f.answer.Head().Cached
}

// next returns the next chunk, or io.EOF after the complete answer.
func (f *follower) next() (fireflypath.Chunk, error) {
	if f.started && !f.firstReported && !f.ready() {
		f.reportFirstToken()
	}
	for {
		c, err := f.answer.Next(f.ctx)
		if err == nil {
			f.progress(c)
			return c, nil
		}
		if errors.Is(err, io.EOF) {
			return c, err
		}
		if err := f.resume(err); err != nil {
			return c, err
		}
	}
}

// ready reports whether next returns without blocking.
func (f *follower) ready() bool {
	r, ok := f.answer.(interface{ Ready() bool })
	return ok && r.Ready()
}

func (f *follower) progress(c fireflypath.Chunk) {
	f.offset = c.Offset
	f.request.Tokens += c.Tokens
	f.failures = 0
	f.timeouts = 0
	if f.started {
		return
	}
	f.started = true
	f.request.Draft.First(f.clock.Now())
}

// reportFirstToken reports the first token once the first chunk is on its way to
// the caller. An answer that arrives all at once is only reported as done.
func (f *follower) reportFirstToken() {
	f.firstReported = true
	f.request.Owner.Notify(f.request, fireflypath.EventFirstOutput, f.cachedTokens())
}

// resume requests the rest of the answer until a connection answers, or returns an
// error if it gives up.
func (f *follower) resume(cause error) error {
	for {
		if f.ctx.Err() != nil {
			return errors.Wrap(f.ctx.Err(), "caller left")
		}
		if !f.allowResume(cause) {
			return cause
		}
		a, err := f.request.Backend.Resume(f.ctx, f.request.Target, &f.request.Call, f.offset)
		if errors.Is(err, fireflypath.ErrGone) {
			return errors.Wrap(cause, err.Error())
		}
		f.request.Draft.Resumed()
		if err == nil {
			f.setAnswer(a)
			return nil
		}
		cause = err
	}
}

// allowResume counts the failure that requires a resume and pauses before the next
// one. It returns false if there were too many in a row.
func (f *follower) allowResume(cause error) bool {
	var t net.Error
	if errors.As(cause, &t) && t.Timeout() && !errors.Is(cause, fireflypath.ErrUnsent) {
		f.timeouts++
		return f.timeouts <= maxTimeouts
	}
	f.failures++
	if f.failures > maxFailures {
		return false
	}
	if f.failures == 1 {
		return true
	}
	select {
	case <-f.clock.After(basePause << f.failures):
	case <-f.ctx.Done():
	}
	return true
}

func (f *follower) setAnswer(a fireflypath.Answer) {
	if f.answer != nil {
		_ = f.answer.Close()
	}
	f.answer = a
}

func (f *follower) close() {
	if f.closed {
		return
	}
	f.closed = true
	if f.answer != nil {
		_ = f.answer.Close()
	}
}

// cancelTarget asks the target to stop work whose caller left. It is used only for
// work that may be cancelled; other work runs to its end.
func (f *follower) cancelTarget() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.ctx), cancelTimeout)
	defer cancel()
	_ = f.request.Backend.Cancel(ctx, f.request.Target, f.request.Work.ID)
}
