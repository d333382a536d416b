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
	// maxBroken bounds resumes in a row that fail at once. With the pauses
	// below they last about 1.5 s, longer than a target's network takes to
	// come back from a moved route, and far shorter than a restart: a
	// restarted target no longer holds the answer.
	maxBroken  = 5
	firstPause = 50 * time.Millisecond
	// maxSilent bounds resumes in a row that bring nothing for the silence
	// limit. A target may queue work that long, so it is generous; it ends
	// the wait for one that accepts connections and does nothing else.
	maxSilent = 30
	// cancelTime bounds telling a target that its work is no longer wanted.
	cancelTime = 2 * time.Second
)

// follower reads one answer over as many connections as it takes.
//
// An open connection can break or go silent while the target still works on
// the answer. The caller would wait for ever or read half an answer; a resume
// behind the last event on a new connection costs no second run.
type follower struct {
	ctx    context.Context
	clock  clockwork.Clock
	r      *request.Request
	answer fireflypath.Answer
	offset int
	broken int
	silent int
	begun  bool
	told   bool
	closed bool
}

func newFollower(ctx context.Context, clock clockwork.Clock, r *request.Request) *follower {
	if !r.Work.Idempotent {
		ctx = context.WithoutCancel(ctx)
	}
	return &follower{ctx: ctx, clock: clock, r: r, answer: r.Answer}
}

// begin returns the first piece, after which there is a head.
func (f *follower) begin() (fireflypath.Chunk, error) {
	if f.answer == nil {
		if err := f.resume(f.r.Broken); err != nil {
			return fireflypath.Chunk{}, err
		}
	}
	return f.next()
}

func (f *follower) head() fireflypath.Head {
	return f.answer.Head()
}

func (f *follower) cached() int {
	if f.answer == nil {
		return -1
	}
	return f.answer.Head().Cached
}

// next returns the next piece, or io.EOF after the whole answer.
func (f *follower) next() (fireflypath.Chunk, error) {
	if f.begun && !f.told && !f.ready() {
		f.tell()
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
	f.r.Tokens += c.Tokens
	f.broken = 0
	f.silent = 0
	if f.begun {
		return
	}
	f.begun = true
	f.r.Draft.First(f.clock.Now())
}

// tell reports the first token, when the first piece is on its way to the
// caller. An answer that came all at once is only reported as done.
func (f *follower) tell() {
	f.told = true
	f.r.Owner.Tell(f.r, fireflypath.EventFirst, f.cached())
}

// resume asks for the rest until a connection answers, or returns why not.
func (f *follower) resume(cause error) error {
	for {
		if f.ctx.Err() != nil {
			return errors.Wrap(f.ctx.Err(), "caller left")
		}
		if !f.count(cause) {
			return cause
		}
		a, err := f.r.Backend.Resume(f.ctx, f.r.Target, &f.r.Call, f.offset)
		if errors.Is(err, fireflypath.ErrGone) {
			return errors.Wrap(cause, err.Error())
		}
		f.r.Draft.Resumed()
		if err == nil {
			f.replace(a)
			return nil
		}
		cause = err
	}
}

// count pauses before a resume and reports whether there may be one more.
func (f *follower) count(cause error) bool {
	var t net.Error
	if errors.As(cause, &t) && t.Timeout() && !errors.Is(cause, fireflypath.ErrUnsent) {
		f.silent++
		return f.silent <= maxSilent
	}
	f.broken++
	if f.broken > maxBroken {
		return false
	}
	if f.broken == 1 {
		return true
	}
	select {
	case <-f.clock.After(firstPause << f.broken):
	case <-f.ctx.Done():
	}
	return true
}

func (f *follower) replace(a fireflypath.Answer) {
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

// abandon ends the answer of a caller that left. The target is told to stop
// only if the work may be cut; other work runs to its end, unread.
func (f *follower) abandon() {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(f.ctx), cancelTime)
	defer cancel()
	_ = f.r.Backend.Cancel(ctx, f.r.Target, f.r.Work.ID)
}
