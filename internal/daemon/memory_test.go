package daemon_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/pkg/settings"
	"github.com/fireflypath/fireflypath/platform/standin"
)

// BenchmarkHeapOfTargets reports the live heap that a daemon has more once it knows a number of
// targets. Each daemon of a fleet knows all of them.
func BenchmarkHeapOfTargets(b *testing.B) {
	for _, n := range []int{15, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				b.ReportMetric(float64(heapOfTargets(b, n))/1024, "KB")
			}
		})
	}
}

func heapOfTargets(b *testing.B, n int) int64 {
	b.Helper()
	is := is.New(b)
	store := standin.New()
	srv := httptest.NewServer(store)
	defer srv.Close()
	is.NoErr(store.PutConfig(1, []fireflypath.Route{{
		Name: "r", Host: crashHost, Prefix: "/r/", Form: fireflypath.FormWhole, Attempts: 2, Public: true,
		Timeout: fireflypath.Duration(5 * time.Second), Split: []fireflypath.Split{{Pool: crashPool}},
	}}, []fireflypath.Pool{{Name: crashPool}}, nil))
	for i := range n {
		is.NoErr(store.PutTarget(fireflypath.Target{
			Name: fmt.Sprintf("i-%010x", i*7919), Pool: crashPool, Addr: fmt.Sprintf("10.1.%d.%d:8600", i/250, i%250), Domain: "a", Slots: 5,
			Incarnation: uint64(1_796_288_695_573 + i),
		}))
	}
	free := loopback.ListenAddr()
	before := liveHeap()
	d, err := daemon.New(settings.Settings{
		Name: "entry", Domain: "a", Listen: settings.Listen{Callers: free, Ready: free, Peers: free, Operators: free},
		Platform: settings.Platform{Addr: srv.Listener.Addr().String()}, Peers: settings.Peers{AllowPlaintext: true},
		Gate: &settings.Gate{
			RevocationDelay: fireflypath.Duration(5 * time.Second), ActivationDelay: fireflypath.Duration(2 * time.Second),
			TerminationGrace: fireflypath.Duration(30 * time.Millisecond),
			Retries:          settings.RetryBudget{Ratio: 1, Window: fireflypath.Duration(10 * time.Second), Allowance: 100},
		},
	}, daemon.Deps{Clock: clockwork.NewRealClock(), Log: zap.NewNop()})
	is.NoErr(err)
	is.NoErr(d.Start(b.Context()))
	defer func() { is.NoErr(d.Stop(context.Background())) }()
	time.Sleep(4 * time.Second) // the first listing has been applied everywhere
	return liveHeap() - before
}

// liveHeap returns the bytes on the heap after garbage collections.
func liveHeap() int64 {
	for range 3 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
