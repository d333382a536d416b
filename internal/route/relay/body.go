package relay

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/refuse"
)

// errIncomplete makes the caller's connection end without the end mark.
var errIncomplete = errors.New("answer could not be finished")

// streamBody is a streamed answer. It reads from the target only as fast as the
// caller takes, so a slow caller costs one piece of memory.
type streamBody struct {
	relay       *Relay
	follower    *follower
	pending     []byte
	err         error
	eventStream bool
	ended       bool
}

func newStreamBody(l *Relay, f *follower, first fireflypath.Chunk, err error, events bool) *streamBody {
	b := &streamBody{relay: l, follower: f, pending: first.Data, err: err, eventStream: events}
	if err != nil && !errors.Is(err, io.EOF) {
		b.fail()
	}
	return b
}

// Read returns a piece as soon as it comes, and with it those that are there
// already: each Read is a write to the caller.
func (b *streamBody) Read(p []byte) (int, error) {
	for len(b.pending) == 0 {
		if b.err != nil {
			return 0, b.finish()
		}
		c, err := b.follower.next()
		b.pending, b.err = c.Data, err
		if err != nil && !errors.Is(err, io.EOF) {
			b.fail()
		}
	}
	n := b.copyPending(p, 0)
	for b.err == nil && len(b.pending) == 0 && n < len(p) && b.follower.ready() {
		c, err := b.follower.next()
		b.pending, b.err = c.Data, err
		if err != nil && !errors.Is(err, io.EOF) {
			b.fail()
		}
		n = b.copyPending(p, n)
	}
	return n, nil
}

func (b *streamBody) copyPending(p []byte, n int) int {
	k := copy(p[n:], b.pending)
	b.pending = b.pending[k:]
	return n + k
}

// fail ends a cut answer: the caller of a stream reads why.
func (b *streamBody) fail() {
	ref := b.relay.fail(b.follower, b.err)
	b.ended = true
	b.err = errIncomplete
	var r *fireflypath.Refusal
	if b.eventStream && errors.As(ref, &r) {
		b.pending = append(slices.Clip(b.pending), "event: error\ndata: "...)
		b.pending = append(b.pending, refuse.JSON(r)...)
		b.pending = append(b.pending, "\n\n"...)
	}
}

func (b *streamBody) finish() error {
	if b.ended {
		return b.err
	}
	b.ended = true
	if errors.Is(b.err, io.EOF) {
		b.relay.complete(b.follower)
	}
	return b.err
}

// Close ends an answer whose caller left before its end.
func (b *streamBody) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.relay.callerLeft(b.follower)
	return nil
}
