package daemon_test

import (
	"fmt"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/daemon"
	fakeengine "github.com/fireflypath/fireflypath/internal/fake/engine"
	fakeservice "github.com/fireflypath/fireflypath/internal/fake/service"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// startFakeTargets starts 12 engines and 12 services that answer without delay, and returns their
// addresses.
func startFakeTargets(b *testing.B) (engines, services []string) {
	is := is.New(b)
	clock := clockwork.NewRealClock()
	for range 12 {
		e, err := fakeengine.New(fakeengine.Config{WithoutCounts: true}, clock)
		is.NoErr(err)
		b.Cleanup(func() { _ = e.Close() })
		s, err := fakeservice.New(fakeservice.Config{}, clock)
		is.NoErr(err)
		b.Cleanup(func() { _ = s.Close() })
		engines, services = append(engines, e.Addr()), append(services, s.Addr())
	}
	return engines, services
}

// BenchmarkRecords measures a request through a daemon over loopback sockets, with and without
// records for the "why" query: the smallest call to a plain service, and an answer of 64 tokens that
// the engine generates without delay.
func BenchmarkRecords(b *testing.B) {
	is := is.New(b)
	engines, services := startFakeTargets(b)
	for _, on := range []bool{false, true} {
		d, err := daemon.New(testkit.Settings(testkit.Config(engines, services)), daemon.Deps{NoRecorder: !on})
		is.NoErr(err)
		is.NoErr(d.Start(b.Context()))
		b.Cleanup(d.Kill)
		var req fasthttp.Request
		req.Header.Set("Authorization", "Bearer "+testkit.Token)
		req.SetRequestURI("http://" + d.CallerAddr() + "/services/packets/x")
		b.Run(fmt.Sprintf("service/records=%v", on), func(b *testing.B) { benchRequest(b, &req) })
		req.SetRequestURI("http://" + d.CallerAddr() + "/v1/completions")
		req.Header.SetMethod("POST")
		req.SetBodyString(`{"model":"m","prompt":"Summarise the casing log.","max_tokens":64}`)
		b.Run(fmt.Sprintf("engine/records=%v", on), func(b *testing.B) { benchRequest(b, &req) })
	}
}

func benchRequest(b *testing.B, req *fasthttp.Request) {
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		var res fasthttp.Response
		for pb.Next() {
			if err := fasthttp.Do(req, &res); err != nil || res.StatusCode() != fasthttp.StatusOK {
				b.Errorf("status %d: %v", res.StatusCode(), err)
				return
			}
		}
	})
}
