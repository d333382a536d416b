package route_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route"
	"github.com/fireflypath/fireflypath/internal/route/meter"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/testkit"
	"github.com/fireflypath/fireflypath/internal/testkit/fifo"
)

// mistaken panics at its first call.
type mistaken struct {
	instant
	called bool
}

func (m *mistaken) Dispatch(ctx context.Context, t fireflypath.Target, c *fireflypath.Call) (fireflypath.Answer, error) {
	if !m.called {
		m.called = true
		panic("a mistake")
	}
	return m.instant.Dispatch(ctx, t, c)
}

// A mistake in the code panics for one request. Its caller reads that the
// request may have run, and the requests of all others go on.
func TestPanicEndsOneRequest(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	cfg := testkit.Config(nil, []string{"127.0.0.1:1"})
	p := pools.New(clock, nil, func(c fireflypath.Pool) fireflypath.Scheduler { return fifo.New(c) })
	p.Apply(cfg)
	rt := route.New(route.Deps{
		Name: "d0", Clock: clock, Configs: fixed{cfg}, Pools: p, Meter: meter.New(tally.NoopScope),
		Backends: map[fireflypath.Kind]fireflypath.Backend{fireflypath.KindService: &mistaken{}},
	})
	first := serve(rt).Reply
	is.Equal(first.Status, http.StatusBadGateway)
	is.True(strings.Contains(string(first.Body), `"run":"unknown"`))
	is.Equal(serve(rt).Reply.Status, http.StatusOK)
	for _, d := range p.Demands() {
		for _, n := range d.Running {
			is.Equal(n, 0) // the target's place is free again
		}
	}
}
