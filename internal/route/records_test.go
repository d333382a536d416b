package route_test

import (
	"context"
	"fmt"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/record"
	"github.com/fireflypath/fireflypath/internal/route"
	"github.com/fireflypath/fireflypath/internal/route/meter"
	"github.com/fireflypath/fireflypath/internal/route/pools"
	"github.com/fireflypath/fireflypath/internal/route/request"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// instantBackend answers immediately, so that a benchmark measures only the route.
type instantBackend struct{}

type okAnswer struct{ read bool }

func (instantBackend) Dispatch(context.Context, fireflypath.Target, *fireflypath.Call) (fireflypath.Answer, error) {
	return &okAnswer{}, nil
}

func (instantBackend) Resume(context.Context, fireflypath.Target, *fireflypath.Call, int) (fireflypath.Answer, error) {
	return nil, fireflypath.ErrGone
}

func (instantBackend) Cancel(context.Context, fireflypath.Target, string) error { return nil }

func (*okAnswer) Head() fireflypath.Head { return fireflypath.Head{Status: 200, Cached: -1} }

func (a *okAnswer) Next(context.Context) (fireflypath.Chunk, error) {
	if a.read {
		return fireflypath.Chunk{}, io.EOF
	}
	a.read = true
	return fireflypath.Chunk{Data: []byte("ok"), Offset: 1}, nil
}

func (*okAnswer) Close() error { return nil }

type staticConfig struct{ cfg *fireflypath.Config }

func (s staticConfig) Current() *fireflypath.Config   { return s.cfg }
func (s staticConfig) Changed(uint64) <-chan struct{} { return nil }

func newRoute(recorder fireflypath.Recorder) *route.Route {
	addrs := make([]string, 12)
	for i := range addrs {
		addrs[i] = fmt.Sprintf("127.0.0.1:%d", 9000+i)
	}
	cfg := testkit.Config(nil, addrs)
	clock := clockwork.NewRealClock()
	p := pools.New(clock, nil, func(p fireflypath.Pool) fireflypath.Scheduler {
		return sched.New(sched.Config{Pool: p, LowestRank: 2})
	})
	p.Apply(cfg)
	return route.New(route.Deps{
		Name: "d0", Clock: clock, Configs: staticConfig{cfg}, Pools: p, Recorder: recorder, Meter: meter.New(tally.NoopScope),
		Backends: map[fireflypath.PoolKind]fireflypath.Backend{fireflypath.KindService: instantBackend{}},
	})
}

func serve(rt *route.Route) *request.Request {
	return serveAs(rt, testkit.Token)
}

func serveAs(rt *route.Route, token string) *request.Request {
	r := &request.Request{Inbound: request.Inbound{
		Method: "GET", Path: "/services/packets/x", Service: "packets", ServicePath: "/x", Token: token,
	}}
	rt.Serve(context.Background(), r)
	if r.Reply.Stream != nil {
		_, _ = io.Copy(io.Discard, r.Reply.Stream)
		_ = r.Reply.Stream.Close()
	}
	return r
}

// An answered request has a record under the id that its caller receives.
func TestRecordOfAnsweredRequest(t *testing.T) {
	is := is.New(t)
	recorder := record.New(0)
	r := serve(newRoute(recorder))
	is.Equal(r.Reply.Status, 200)
	got := recorder.Find(r.Work.ID)
	is.True(got != nil)
	is.Equal(got.State, "answered")
	is.Equal(got.Team, "a")
	is.True(got.Target != "")
	is.Equal(len(got.Considered), 12)
}

// Guards against a request with an unknown key that is refused before it waits, but
// recorded as waiting. An operator who counts requests by state would count it as
// still waiting.
func TestRecordOfRefusedRequest(t *testing.T) {
	is := is.New(t)
	recorder := record.New(0)
	r := serveAs(newRoute(recorder), "unknown")
	is.Equal(r.Reply.Status, 401)
	got := recorder.Find(r.Work.ID)
	is.True(got != nil)
	is.Equal(got.State, "refused")
}

// BenchmarkServe measures the time of a request in the route, without network I/O,
// with and without records.
func BenchmarkServe(b *testing.B) {
	for _, on := range []bool{false, true} {
		b.Run(fmt.Sprintf("records=%v", on), func(b *testing.B) {
			var recorder fireflypath.Recorder
			if on {
				recorder = record.New(0)
			}
			rt := newRoute(recorder)
			b.ReportAllocs()
			for b.Loop() {
				serve(rt)
			}
		})
	}
}
