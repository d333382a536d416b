package dispatch_test

import (
	"context"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/dispatch"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// failingBackend is a backend whose dispatches fail before any byte is sent, and the
// pool that ends the request.
type failingBackend struct{ err error }

func (f failingBackend) Dispatch(context.Context, fireflypath.Target, *fireflypath.Call) (fireflypath.Answer, error) {
	return nil, errors.Mark(f.err, fireflypath.ErrUnsent)
}

func (failingBackend) Resume(context.Context, fireflypath.Target, *fireflypath.Call, int) (fireflypath.Answer, error) {
	return nil, nil
}
func (failingBackend) Cancel(context.Context, fireflypath.Target, string) error { return nil }

var errEnd = errors.New("the wait ended")

func (failingBackend) Requeue(context.Context, *request.Request) error     { return errEnd }
func (failingBackend) Notify(*request.Request, fireflypath.EventKind, int) {}

// A target that accepts no connection is reported to the other daemons without
// waiting for its next poll. A failure on this host, such as no file descriptor
// left, must not be reported: it would take every target out of service when the
// load is highest.
func TestOnlyUnreachableTargetsAreReported(t *testing.T) {
	for _, tt := range []struct {
		name     string
		err      error
		reported []string
	}{
		{"target accepts no connection", fireflypath.ErrUnreachable, []string{"e0"}},
		{"no file descriptor left", errors.New("too many open files"), nil},
		{"caller left", context.Canceled, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var reported []string
			f := failingBackend{tt.err}
			d := dispatch.New(map[fireflypath.PoolKind]fireflypath.Backend{fireflypath.KindEngine: f},
				func(string) {}, func(target string) { reported = append(reported, target) })
			r := &request.Request{
				Owner: f, Target: fireflypath.Target{Name: "e0"}, Pool: &fireflypath.Pool{Kind: fireflypath.KindEngine},
			}
			is.True(errors.Is(d.Run(t.Context(), r), errEnd))
			is.Equal(reported, tt.reported)
		})
	}
}
