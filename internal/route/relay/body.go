package relay

import (
	"io"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/refuse"
)

// errCut makes the caller's connection end without the end mark.
var errCut = errors.New("answer could not be finished")

// body is a streamed answer. It reads from the target only as fast as the
// caller takes, so a slow caller costs one piece of memory.
type body struct {
	l      *Relay
	f      *follower
	rest   []byte
	err    error
	events bool
	ended  bool
}

func newBody(l *Relay, f *follower, first fireflypath.Chunk, err error, events bool) *body {
	b := &body{l: l, f: f, rest: first.Data, err: err, events: events}
	if err != nil && !errors.Is(err, io.EOF) {
		b.fail()
	}
	return b
}

// Read returns a piece as soon as it comes, and with it those that are there
// already: each Read is a write to the caller.
func (b *body) Read(p []byte) (int, error) {
	for len(b.rest) == 0 {
		if b.err != nil {
			return 0, b.finish()
		}
		c, err := b.f.next()
		b.rest, b.err = c.Data, err
		if err != nil && !errors.Is(err, io.EOF) {
			b.fail()
		}
	}
	n := b.fill(p, 0)
	for b.err == nil && len(b.rest) == 0 && n < len(p) && b.f.ready() {
		c, err := b.f.next()
		b.rest, b.err = c.Data, err
		if err != nil && !errors.Is(err, io.EOF) {
			b.fail()
		}
		n = b.fill(p, n)
	}
	return n, nil
}

func (b *body) fill(p []byte, n int) int {
	k := copy(p[n:], b.rest)
	b.rest = b.rest[k:]
	return n + k
}

// fail ends a cut answer: the caller of a stream reads why.
func (b *body) fail() {
	ref := b.l.fail(b.f, b.err)
	b.ended = true
	b.err = errCut
	var r *fireflypath.Refusal
	if b.events && errors.As(ref, &r) {
		b.rest = append(slices.Clip(b.rest), "event: error\ndata: "...)
		b.rest = append(b.rest, refuse.JSON(r)...)
		b.rest = append(b.rest, "\n\n"...)
	}
}

func (b *body) finish() error {
	if b.ended {
		return b.err
	}
	b.ended = true
	if errors.Is(b.err, io.EOF) {
		b.l.whole(b.f)
	}
	return b.err
}

// Close ends an answer whose caller left before its end.
func (b *body) Close() error {
	if b.ended {
		return nil
	}
	b.ended = true
	b.l.abandoned(b.f)
	return nil
}
