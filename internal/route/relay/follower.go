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
	// maxFailures bounds resumes in a row that fail at once. With the pauses
	// below they last about 1.5 s, longer than a target's network takes to
	// come back from a moved route, and far shorter than a restart: a
	// restarted target no longer holds the answer.
	maxFailures = 5
	basePause   = 50 * time.Millisecond
	// maxTimeouts bounds resumes in a row that bring nothing for the silence
	// limit. A target may queue work that long, so it is generous; it ends
	// the wait for one that accepts connections and does nothing else.
	maxTimeouts = 30
	// cancelTimeout bounds telling a target that its work is no longer wanted.
	cancelTimeout = 2 * time.Second
)

// follower reads one answer over as many connections as it takes.
//
// An open connection can break or go silent while the target still works on
// the answer. The caller would wait for ever or read half an answer; a resume
// behind the last event on a new connection costs no second run.
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

// start returns the first piece, after which there is a head.
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

// next returns the next piece, or io.EOF after the whole answer.
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

// ready reports whether next returns without waiting.
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

// reportFirstToken reports the first token, when the first piece is on its way to the
// caller. An answer that came all at once is only reported as done.
func (f *follower) reportFirstToken() {
	f.firstReported = true
	f.request.Owner.Notify(f.request, fireflypath.EventFirst, f.cachedTokens())
}

// resume asks for the rest until a connection answers, or returns why not.
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

// allowResume pauses before a resume and reports whether there may be one more.
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

// cancelTarget ends the answer of a caller that left. The target is told to stop
// only if the work may be cut; other work runs to its end, unread.
func (f *follower) cancelTarget() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.ctx), cancelTimeout)
	defer cancel()
	_ = f.request.Backend.Cancel(ctx, f.request.Target, f.request.Work.ID)
}
