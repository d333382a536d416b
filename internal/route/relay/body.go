package relay

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/refuse"
)

// errIncomplete causes the caller's connection to be closed without the terminating
// chunk.
var errIncomplete = errors.New("answer could not be finished")

// streamBody is the body of a streamed answer. It reads from the target only as
// fast as the caller reads, so that a slow caller holds one chunk in memory.
type streamBody struct {
	relay       *Relay
	follower    *follower
	pending     []byte
	err         error
	eventStream bool
	ended       bool
}

func newStreamBody(relay *Relay, f *follower, first fireflypath.Chunk, err error, eventStream bool) *streamBody {
	b := &streamBody{relay: relay, follower: f, pending: first.Data, err: err, eventStream: eventStream}
	if err != nil && !errors.Is(err, io.EOF) {
		b.fail()
	}
	return b
}

// Read returns a chunk as soon as it arrives, together with those that are already
// available, because each Read results in a write to the caller.
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

// fail ends an incomplete answer. The caller of an event stream receives the
// reason as a last event.
func (b *streamBody) fail() {
	err := b.relay.fail(b.follower, b.err)
	b.ended = true
	b.err = errIncomplete
	var refusal *fireflypath.Refusal
	if b.eventStream && errors.As(err, &refusal) {
		b.pending = append(slices.Clip(b.pending), "event: error\ndata: "...)
		b.pending = append(b.pending, refuse.JSON(refusal)...)
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

// Close releases the answer if the caller left before its end.
func (b *streamBody) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.relay.callerLeft(b.follower)
	return nil
}
