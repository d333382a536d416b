package daemon_test

import (
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// BenchmarkOverhead sends one small streamed request directly to a fake engine and through a daemon
// in the same run: first at 1,000 requests per second, then as many as eight callers can send.
func BenchmarkOverhead(b *testing.B) {
	is := is.New(b)
	e, err := engine.New(engine.Config{Addr: loopback.ListenAddr(), Batch: 512, WithoutCounts: true}, clockwork.NewRealClock())
	is.NoErr(err)
	b.Cleanup(func() { _ = e.Close() })
	d, err := daemon.New(testkit.Settings(testkit.Config([]string{e.Addr()}, nil)), daemon.Deps{})
	is.NoErr(err)
	is.NoErr(d.Start(b.Context()))
	b.Cleanup(d.Kill)
	for _, at := range []struct{ name, addr string }{{"direct", e.Addr()}, {"daemon", d.CallerAddr()}} {
		b.Run("rate1000/"+at.name, func(b *testing.B) { benchPaced(b, at.addr) })
		b.Run("full/"+at.name, func(b *testing.B) { benchParallel(b, at.addr) })
	}
}

func benchPaced(b *testing.B, addr string) {
	c := &fasthttp.HostClient{Addr: addr, MaxConns: 1024}
	h := hdrhistogram.New(1, int64(time.Minute), 3)
	var mu sync.Mutex
	var wg sync.WaitGroup
	next := time.Now()
	for range b.N {
		time.Sleep(time.Until(next))
		next = next.Add(time.Millisecond)
		wg.Go(func() {
			took := sendSmall(b, c)
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(int64(took))
		})
	}
	wg.Wait()
	b.ReportMetric(float64(h.ValueAtQuantile(50))/1000, "p50-us")
	b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-us")
}

func benchParallel(b *testing.B, addr string) {
	c := &fasthttp.HostClient{Addr: addr, MaxConns: 1024}
	b.SetParallelism(8)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			sendSmall(b, c)
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
}

func sendSmall(b *testing.B, c *fasthttp.HostClient) time.Duration {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + c.Addr + "/v1/completions")
	req.Header.Set("Authorization", "Bearer "+testkit.Token)
	req.Header.Set("X-Request-Id", "bench")
	req.SetBodyString(completion(1))
	begin := time.Now()
	if err := c.Do(req, resp); err != nil || resp.StatusCode() != fasthttp.StatusOK {
		b.Errorf("status %d: %v %s", resp.StatusCode(), err, resp.Body())
	}
	return time.Since(begin)
}
