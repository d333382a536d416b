package demo_test

import (
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/testkit"
	"github.com/fireflypath/fireflypath/pkg/client"
)

// endpoints are the clients of an engine without processing time and of a daemon in
// front of it.
type endpoints struct {
	direct *client.Client
	daemon *client.Client
}

func newEndpoints(b *testing.B) endpoints {
	is := is.New(b)
	e, err := engine.New(engine.Config{Batch: 256, WithoutCounts: true}, clockwork.NewRealClock())
	is.NoErr(err)
	b.Cleanup(func() { e.Close() })
	d, err := daemon.New(testkit.Settings(testkit.Config([]string{e.Addr()}, nil)), daemon.Deps{})
	is.NoErr(err)
	is.NoErr(d.Start(b.Context()))
	b.Cleanup(d.Kill)
	return endpoints{client.New(e.Addr()), client.New(d.CallerAddr())}
}

// sendSmallRequest sends a short prompt whose answer has a few tokens.
func sendSmallRequest(b *testing.B, c *client.Client, stream bool) {
	body := `{"model":"m","prompt":"which truck comes on Monday?","max_tokens":4,"stream":false}`
	if stream {
		body = `{"model":"m","prompt":"which truck comes on Monday?","max_tokens":4,"stream":true}`
	}
	a, err := c.Do(b.Context(), &client.Request{Path: "/v1/completions", Token: testkit.Token, Body: []byte(body)})
	if err != nil || a.Status != 200 || a.Refusal != nil || (stream && a.Tokens != 4) {
		b.Error("incomplete answer: ", err, a)
	}
}

func quantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return float64(d[int(q*float64(len(d)-1))].Nanoseconds()) / 1000
}

// BenchmarkOverhead sends small requests at 1,000 per second, alternating every half
// second between the engine and the daemon.
func BenchmarkOverhead(b *testing.B) {
	b.Run("whole", func(b *testing.B) { benchmarkOverhead(b, false) })
	b.Run("stream", func(b *testing.B) { benchmarkOverhead(b, true) })
}

func benchmarkOverhead(b *testing.B, stream bool) {
	const rate, slice = 1000, 500
	p := newEndpoints(b)
	var mu sync.Mutex
	took := make(map[*client.Client][]time.Duration)
	var wg sync.WaitGroup
	start := time.Now()
	for i := 0; b.Loop(); i++ {
		due := start.Add(time.Duration(i) * time.Second / rate)
		time.Sleep(time.Until(due))
		c := p.direct
		if i/slice%2 == 1 {
			c = p.daemon
		}
		wg.Go(func() {
			sent := time.Now()
			sendSmallRequest(b, c, stream)
			d := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			took[c] = append(took[c], d)
		})
	}
	wg.Wait()
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(quantile(took[p.direct], 0.5), "direct-p50-µs")
	b.ReportMetric(quantile(took[p.direct], 0.99), "direct-p99-µs")
	b.ReportMetric(quantile(took[p.daemon], 0.5), "daemon-p50-µs")
	b.ReportMetric(quantile(took[p.daemon], 0.99), "daemon-p99-µs")
}

// BenchmarkSustained keeps 64 concurrent callers busy and measures the heap in use
// after a tenth and after nine tenths of the requests.
func BenchmarkSustained(b *testing.B) {
	p := newEndpoints(b)
	for _, bb := range []struct {
		name string
		c    *client.Client
	}{{"direct", p.direct}, {"daemon", p.daemon}} {
		b.Run(bb.name, func(b *testing.B) {
			const callers = 64
			var n atomic.Int64
			var early, late atomic.Uint64
			var wg sync.WaitGroup
			start := time.Now()
			for range callers {
				wg.Go(func() {
					for i := n.Add(1); i <= int64(b.N); i = n.Add(1) {
						sendSmallRequest(b, bb.c, true)
						switch i {
						case int64(b.N / 10):
							early.Store(heapInUse())
						case int64(b.N * 9 / 10):
							late.Store(heapInUse())
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/time.Since(start).Seconds(), "req/s")
			b.ReportMetric(float64(early.Load())/1e6, "early-MB")
			b.ReportMetric(float64(late.Load())/1e6, "late-MB")
		})
	}
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
