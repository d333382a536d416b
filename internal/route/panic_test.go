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

// panickingBackend panics at its first dispatch.
type panickingBackend struct {
	instantBackend
	called bool
}

func (p *panickingBackend) Dispatch(
	ctx context.Context, t fireflypath.Target, c *fireflypath.Call,
) (fireflypath.Answer, error) {
	if !p.called {
		p.called = true
		panic("bug in the backend")
	}
	return p.instantBackend.Dispatch(ctx, t, c)
}

// A bug that panics ends only the request that triggers it. Its caller is told that
// the request may have run, and other requests are still served.
func TestPanicEndsOnlyOneRequest(t *testing.T) {
	is := is.New(t)
	clock := clockwork.NewRealClock()
	cfg := testkit.Config(nil, []string{"127.0.0.1:1"})
	p := pools.New(clock, nil, func(c fireflypath.Pool) fireflypath.Scheduler { return fifo.New(c) })
	p.Apply(cfg)
	rt := route.New(route.Deps{
		Name: "d0", Clock: clock, Configs: staticConfig{cfg}, Pools: p, Meter: meter.New(tally.NoopScope),
		Backends: map[fireflypath.PoolKind]fireflypath.Backend{fireflypath.KindService: &panickingBackend{}},
	})
	first := serve(rt).Reply
	is.Equal(first.Status, http.StatusBadGateway)
	is.True(strings.Contains(string(first.Body), `"run":"unknown"`))
	is.Equal(serve(rt).Reply.Status, http.StatusOK)
	for _, d := range p.Demands() {
		for _, n := range d.Running {
			is.Equal(n, 0) // the target's capacity is free again
		}
	}
}
