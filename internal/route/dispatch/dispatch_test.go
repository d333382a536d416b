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

// failing is a backend that sends nothing, and the pool that ends the request.
type failing struct{ err error }

func (f failing) Dispatch(context.Context, fireflypath.Target, *fireflypath.Call) (fireflypath.Answer, error) {
	return nil, errors.Mark(f.err, fireflypath.ErrUnsent)
}

func (failing) Resume(context.Context, fireflypath.Target, *fireflypath.Call, int) (fireflypath.Answer, error) {
	return nil, nil
}
func (failing) Cancel(context.Context, fireflypath.Target, string) error { return nil }

var errEnd = errors.New("the wait ended")

func (failing) Requeue(context.Context, *request.Request) error     { return errEnd }
func (failing) Notify(*request.Request, fireflypath.EventKind, int) {}

// A request meets a target that takes no connection, before the next look at
// that target. The other daemons must hear of it. That this host has no
// descriptor left says nothing of the target: told to all, it would take every
// target out when the load is highest.
func TestOnlyUnreachedTargetsAreTold(t *testing.T) {
	for _, tt := range []struct {
		name string
		err  error
		told []string
	}{
		{"takes no connection", fireflypath.ErrUnreached, []string{"e0"}},
		{"no descriptor here", errors.New("too many open files"), nil},
		{"caller left", context.Canceled, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var told []string
			f := failing{tt.err}
			d := dispatch.New(map[fireflypath.Kind]fireflypath.Backend{fireflypath.KindEngine: f},
				func(string) {}, func(target string) { told = append(told, target) })
			r := &request.Request{
				Owner: f, Target: fireflypath.Target{Name: "e0"}, Pool: &fireflypath.Pool{Kind: fireflypath.KindEngine},
			}
			is.True(errors.Is(d.Run(t.Context(), r), errEnd))
			is.Equal(told, tt.told)
		})
	}
}
