package relay

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// endless always has the next piece.
type endless struct{ taken int }

func (*endless) Head() fireflypath.Head { return fireflypath.Head{} }
func (*endless) Ready() bool            { return true }
func (*endless) Close() error           { return nil }

func (e *endless) Next(context.Context) (fireflypath.Chunk, error) {
	e.taken++
	return fireflypath.Chunk{Data: make([]byte, 100), Offset: e.taken}, nil
}

type owner struct{}

func (owner) Requeue(context.Context, *request.Request) error     { return nil }
func (owner) Notify(*request.Request, fireflypath.EventKind, int) {}

// A caller reads slowly, or not at all, while its engine is fast. What the
// daemon took from the engine beyond the caller's reads stays in memory, for
// each such caller.
func TestSlowCallerHoldsOnePiece(t *testing.T) {
	is := is.New(t)
	e := &endless{}
	r := &request.Request{Answer: e, Owner: owner{}}
	f := newFollower(t.Context(), clockwork.NewFakeClock(), r)
	b := newStreamBody(nil, f, fireflypath.Chunk{}, nil, true)
	p := make([]byte, 1050)
	for n := 1; n <= 100; n++ {
		k, err := b.Read(p)
		is.NoErr(err)
		is.Equal(k, len(p))
		is.True(100*e.taken-n*len(p) < 100)
	}
}
