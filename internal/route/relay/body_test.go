package relay

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// endlessAnswer always has a next chunk available.
type endlessAnswer struct{ chunks int }

func (*endlessAnswer) Head() fireflypath.Head { return fireflypath.Head{} }
func (*endlessAnswer) Ready() bool            { return true }
func (*endlessAnswer) Close() error           { return nil }

func (e *endlessAnswer) Next(context.Context) (fireflypath.Chunk, error) {
	e.chunks++
	return fireflypath.Chunk{Data: make([]byte, 100), Offset: e.chunks}, nil
}

type nopOwner struct{}

func (nopOwner) Requeue(context.Context, *request.Request) error     { return nil }
func (nopOwner) Notify(*request.Request, fireflypath.EventKind, int) {}

// Guards against buffering the answer of a fast engine for a caller that reads
// slowly or not at all. Whatever is read from the engine ahead of the caller stays
// in memory, for each such caller.
func TestSlowCallerBuffersOneChunk(t *testing.T) {
	is := is.New(t)
	e := &endlessAnswer{}
	r := &request.Request{Answer: e, Owner: nopOwner{}}
	f := newFollower(t.Context(), clockwork.NewFakeClock(), r)
	b := newStreamBody(nil, f, fireflypath.Chunk{}, nil, true)
	p := make([]byte, 1050)
	for n := 1; n <= 100; n++ {
		k, err := b.Read(p)
		is.NoErr(err)
		is.Equal(k, len(p))
		is.True(100*e.chunks-n*len(p) < 100)
	}
}
