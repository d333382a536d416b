package daemon_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/fireflypath/fireflypath/internal/fake/engine"
)

// An operator stops a daemon while answers are under way and requests wait.
// None of them is cut; new connections are refused and readiness says no, so
// that the balancer sends nobody here.
func TestPlannedStopFinishesAll(t *testing.T) {
	is := is.New(t)
	r := newRig(t, setup{engine: engine.Config{Decode: 20, Batch: 1}, window: 1})
	running, err := http.DefaultClient.Do(r.request(t.Context(), "/v1/completions", completion(10)))
	is.NoErr(err)
	defer running.Body.Close()
	waited := make(chan result, 1)
	go func() { waited <- r.stream(2) }()
	r.untilOneWaits()

	stopped := make(chan error, 1)
	go func() { stopped <- r.Stop(t.Context()) }()
	for r.Ready() {
	}
	text, err := io.ReadAll(running.Body)
	r.isWhole(result{status: running.StatusCode, header: running.Header, text: string(text), err: err}, 10)
	r.isWhole(<-waited, 2)
	is.NoErr(<-stopped)
	_, err = net.Dial("tcp", r.CallerAddr())
	is.True(err != nil)
}

// The limit of a planned stop passes while a request still waits. It did not
// run, and its caller reads just that; the answer that runs on is cut where
// the caller can see it.
func TestPlannedStopAtItsLimit(t *testing.T) {
	is := is.New(t)
	r := newRig(t, setup{engine: engine.Config{Decode: 5, Batch: 1}, window: 1})
	running, err := http.DefaultClient.Do(r.request(t.Context(), "/v1/completions", completion(500)))
	is.NoErr(err)
	defer running.Body.Close()
	waited := make(chan result, 1)
	go func() { waited <- r.stream(2) }()
	r.untilOneWaits()

	over, cancel := context.WithCancel(t.Context())
	cancel()
	is.NoErr(r.Stop(over))
	got := <-waited
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.text, `"code":"stopping"`))
	is.True(strings.Contains(got.text, `"run":"no"`))
	text, err := io.ReadAll(bufio.NewReader(running.Body))
	is.True(err != nil)
	is.True(!strings.Contains(string(text), "[DONE]"))
}

// A daemon that was stopped leaves no goroutine behind. In a process with
// several of them, as in tests and the demo, each would keep polling targets.
func TestStopLeavesNothing(t *testing.T) {
	is := is.New(t)
	before := goleak.IgnoreCurrent()
	r := newRig(t, setup{})
	r.isWhole(r.stream(3), 3)
	is.NoErr(r.Stop(t.Context()))
	for _, e := range r.engines {
		is.NoErr(e.Close())
	}
	for _, s := range r.services {
		is.NoErr(s.Close())
	}
	http.DefaultClient.CloseIdleConnections()
	const library = "github.com/valyala/fasthttp."
	is.NoErr(goleak.Find(
		before,
		// These sleep for up to ten seconds and then end by themselves.
		goleak.IgnoreAnyFunction(library+"(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction(library+"(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction(library+"updateServerDate.func1"),
	))
}

// A planned stop begins, and the balancer has not noticed yet: what it still
// sends is served until the notice is over.
func TestPlannedStopGivesNotice(t *testing.T) {
	is := is.New(t)
	r := newRig(t, setup{notice: time.Hour})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- r.Stop(ctx) }()
	for r.Ready() {
	}
	r.isWhole(r.stream(3), 3)
	cancel()
	is.NoErr(<-stopped)
}
