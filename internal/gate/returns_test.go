package gate_test

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
)

// More callers come than two slots can serve. Those that are refused with a promise and return at their time,
// with less time left, must be recognized through the wire and the logs must tell why they were served.
func TestCallerReturnsAtItsTime(t *testing.T) {
	is := is.New(t)
	s := startSite(t, func(cfg *fireflypath.Config) {
		for i := range cfg.Targets {
			cfg.Targets[i].Slots = 1
		}
		for i := range cfg.Routes {
			cfg.Routes[i].Patience = fireflypath.Duration(500 * time.Millisecond)
		}
	}, func(_ int, w http.ResponseWriter, _ *http.Request) {
		time.Sleep(60 * time.Millisecond)
		w.WriteHeader(http.StatusOK)
	})
	tuning := slots.StandaloneTuning()
	tuning.Returns = true
	scope := tally.NewTestScope("", nil)
	core, logged := observer.New(zap.InfoLevel)
	s.serve(tuning, scope, zap.New(core))

	const limit = 5 * time.Second
	var served, refusedAgain atomic.Int32
	var wg sync.WaitGroup
	call := func(n int) {
		defer wg.Done()
		began := time.Now()
		body := fmt.Sprint("work ", n)
		for attempt := range 2 {
			r := s.request(t.Context(), "/once/x", body)
			r.Header.Set("T-Deadline", strconv.FormatInt((limit-time.Since(began)).Milliseconds(), 10))
			resp, _, err := s.do(r)
			switch {
			case err != nil:
				return
			case resp.StatusCode == http.StatusOK:
				served.Add(int32(attempt))
				return
			case attempt == 1:
				refusedAgain.Add(1)
				return
			}
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if err != nil {
				return
			}
			time.Sleep(min(time.Duration(seconds*float64(time.Second)), (limit-time.Since(began))/3))
		}
	}
	for n := range 120 {
		wg.Add(1)
		go call(n)
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()

	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Name()] += c.Value()
	}
	t.Logf("returned and served %d, refused again %d, counters %v", served.Load(), refusedAgain.Load(), counts)
	is.True(counts["gate.returns.promised"] > 0)
	is.True(counts["gate.returns.kept"] > 0)
	is.True(counts["gate.returns.kept"] <= counts["gate.returns.promised"])
	is.True(3*counts["gate.returns.refused_again"] <= counts["gate.returns.kept"])
	is.True(logged.FilterMessage("request refused").FilterField(zap.Bool("promised", true)).Len() > 0)
	is.True(logged.FilterField(zap.Stringer("return", fireflypath.ReturnKept)).Len() == int(counts["gate.returns.kept"]))
}

// Without the setting, no line and no counter of the gate says anything of returning callers.
func TestReturnsAreNotCountedWhenOff(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	core, logged := observer.New(zap.InfoLevel)
	s.serve(slots.StandaloneTuning(), tally.NoopScope, zap.New(core))
	_, _, err := s.post("/once/x", "a")
	is.NoErr(err)
	for _, e := range logged.All() {
		for _, f := range e.Context {
			is.True(f.Key != "return" && f.Key != "promised" && f.Key != "elapsed")
		}
	}
}
