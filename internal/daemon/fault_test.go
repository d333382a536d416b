package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/fake/service"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// testDaemon is a single daemon with fake targets.
type testDaemon struct {
	*daemon.Daemon
	t        *testing.T
	engines  []*engine.Engine
	services []*service.Service
	records  chan *fireflypath.Record
}

// options configures a testDaemon; the default has one fast engine and one service.
type options struct {
	engine      engine.Config
	service     service.Config
	engines     int
	window      int
	idleTimeout time.Duration
	deps        daemon.Deps
	// body, header, connections, maxWaitingBytes and pendingBodies are limits of the settings.
	body, header, connections, maxWaitingBytes, pendingBodies int
	readinessDelay                                            time.Duration
}

func newTestDaemon(t *testing.T, s options) *testDaemon {
	is := is.New(t)
	r := &testDaemon{t: t, records: make(chan *fireflypath.Record, 1024)}
	s.engine.Addr = loopback.ListenAddr()
	s.service.Addr = s.engine.Addr
	var engines, services []string
	for range max(s.engines, 1) {
		e, err := engine.New(s.engine, clockwork.NewRealClock())
		is.NoErr(err)
		t.Cleanup(func() { _ = e.Close() })
		r.engines = append(r.engines, e)
		engines = append(engines, e.Addr())
	}
	fakeService, err := service.New(s.service, clockwork.NewRealClock())
	is.NoErr(err)
	t.Cleanup(func() { _ = fakeService.Close() })
	r.services = append(r.services, fakeService)
	services = append(services, fakeService.Addr())

	cfg := testkit.Config(engines, services)
	for i := range cfg.Targets {
		cfg.Targets[i].Window = s.window
	}
	daemonSettings := testkit.Settings(cfg)
	daemonSettings.Limits.IdleTimeout = fireflypath.Duration(s.idleTimeout)
	daemonSettings.Stop.ReadinessDelay = fireflypath.Duration(s.readinessDelay)
	daemonSettings.Limits.PendingBodies = s.pendingBodies
	daemonSettings.Limits.Body, daemonSettings.Limits.Header = s.body, s.header
	daemonSettings.Limits.Connections, daemonSettings.Limits.Waiting = s.connections, s.maxWaitingBytes
	s.deps.Recorder = r
	r.Daemon, err = daemon.New(daemonSettings, s.deps)
	is.NoErr(err)
	is.NoErr(r.Start(t.Context()))
	t.Cleanup(r.Kill)
	return r
}

// Keep sends the record to the test.
func (r *testDaemon) Keep(rec *fireflypath.Record) { r.records <- rec }

// Find and Each complete fireflypath.Recorder.
func (r *testDaemon) Find(string) *fireflypath.Record     { return nil }
func (r *testDaemon) Each(func(*fireflypath.Record) bool) {}

func (r *testDaemon) request(ctx context.Context, path, body string, header ...string) *http.Request {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.CallerAddr()+path, strings.NewReader(body))
	is.New(r.t).NoErr(err)
	req.Header.Set("Authorization", "Bearer "+testkit.Token)
	for i := 0; i < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	return req
}

// result is the answer that a caller received. err is set if the answer was cut off.
type result struct {
	status int
	header http.Header
	text   string
	err    error
}

func (r *testDaemon) post(path, body string, header ...string) result {
	resp, err := http.DefaultClient.Do(r.request(r.t.Context(), path, body, header...))
	is.New(r.t).NoErr(err)
	return readResult(resp)
}

func readResult(resp *http.Response) result {
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return result{status: resp.StatusCode, header: resp.Header, text: string(text), err: err}
}

func (r *testDaemon) stream(tokens int) result {
	return r.post("/v1/completions", completion(tokens))
}

func completion(tokens int) string {
	return fmt.Sprintf(`{"model":"m","prompt":"hello","max_tokens":%d,"stream":true}`, tokens)
}

// injectFault injects faults into all engines.
func (r *testDaemon) injectFault(faults ...fault.Fault) {
	for _, e := range r.engines {
		for _, f := range faults {
			is.New(r.t).NoErr(e.Fault(f))
		}
	}
}

// dispatches returns the number of requests that the engines read, and the largest number for one
// request ID.
func (r *testDaemon) dispatches() (sum, most int) {
	for _, e := range r.engines {
		for _, n := range e.Counts().Dispatches {
			sum += n
			most = max(most, n)
		}
	}
	return sum, most
}

func (r *testDaemon) assertComplete(got result, tokens int) {
	r.t.Helper()
	is := is.New(r.t)
	is.NoErr(got.err)
	is.Equal(got.status, http.StatusOK)
	is.Equal(strings.Count(got.text, "\ndata: {"), tokens)
	is.True(strings.HasSuffix(got.text, "data: [DONE]\n\n"))
	for n := 1; n <= tokens+1; n++ {
		is.Equal(strings.Count(got.text, fmt.Sprintf("id: %d\n", n)), 1) // no gap and no overlap
	}
	is.Equal(strings.Count(got.text, got.header.Get("Fireflypath-Request")), tokens) // no events of other requests
}

// A target dies or closes its port while the daemon has work for it. Nothing of the work was sent, so
// it goes to another target and callers notice nothing.
func TestTargetDeadBeforeDispatch(t *testing.T) {
	for _, name := range []fault.Name{fault.Die, fault.Refuse} {
		t.Run(string(name), func(t *testing.T) {
			is := is.New(t)
			r := newTestDaemon(t, options{engines: 2})
			is.NoErr(r.engines[0].Fault(fault.Fault{Name: name}))
			for range 5 {
				r.assertComplete(r.stream(3), 3)
			}
			is.Equal(len(r.engines[0].Counts().Runs), 0)
			sum, most := r.dispatches()
			is.Equal(sum, 5)
			is.Equal(most, 1)
		})
	}
}

// A connection breaks, or an answer is cut off or carries another request's ID, while the target
// still holds the answer. The caller must receive its whole answer exactly once, and the target must
// receive the work only once.
func TestAnswerResumed(t *testing.T) {
	for _, f := range []fault.Fault{
		{Name: fault.Break, After: 2, Count: 1},
		{Name: fault.Truncate, After: 2, Count: 1},
		{Name: fault.WrongID, Count: 1},
	} {
		t.Run(string(f.Name), func(t *testing.T) {
			is := is.New(t)
			r := newTestDaemon(t, options{})
			r.injectFault(f)
			r.assertComplete(r.stream(5), 5)
			sum, _ := r.dispatches()
			is.Equal(sum, 1)
			is.Equal(r.engines[0].Counts().Resumes, 1)
			is.Equal((<-r.records).Resumes, 1)
		})
	}
}

// The target no longer holds an answer that broke off, like a target that died. The caller must see
// that its answer is incomplete and be told that the request may have run.
func TestAnswerLost(t *testing.T) {
	for _, name := range []fault.Name{fault.Break, fault.Truncate} {
		t.Run(string(name), func(t *testing.T) {
			is := is.New(t)
			r := newTestDaemon(t, options{})
			r.injectFault(fault.Fault{Name: name, After: 2, Count: 1}, fault.Fault{Name: fault.Forget})
			got := r.stream(5)
			is.True(got.err != nil) // the connection ends without the final chunk
			is.True(!strings.Contains(got.text, "[DONE]"))
			is.True(strings.Contains(got.text, "event: error"))
			is.True(strings.Contains(got.text, `"run":"unknown"`))
			sum, _ := r.dispatches()
			is.Equal(sum, 1)
		})
	}
}

// A target reads a request and closes the connection. HTTP client libraries retry such a request on
// their own, but the target may have run it. The target must therefore receive it only once, also on
// a reused connection.
func TestTargetClosesAfterReading(t *testing.T) {
	t.Run("engine", func(t *testing.T) {
		is := is.New(t)
		r := newTestDaemon(t, options{})
		r.assertComplete(r.stream(1), 1)
		r.injectFault(fault.Fault{Name: fault.ReadClose, Count: 1})
		got := r.stream(1)
		is.Equal(got.status, http.StatusBadGateway)
		is.True(strings.Contains(got.text, `"run":"unknown"`))
		sum, most := r.dispatches()
		is.Equal(sum, 2)
		is.Equal(most, 1)
	})
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
		t.Run("service "+method, func(t *testing.T) {
			is := is.New(t)
			r := newTestDaemon(t, options{})
			is.Equal(r.post("/services/packets/a", "x").status, http.StatusOK)
			is.NoErr(r.services[0].Fault(fault.Fault{Name: fault.ReadClose}))
			req := r.request(t.Context(), "/services/packets/a", "x")
			req.Method = method
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			defer resp.Body.Close()
			is.Equal(resp.StatusCode, http.StatusBadGateway)
			is.Equal(len(r.services[0].Counts().Dispatches), 2)
			for _, n := range r.services[0].Counts().Dispatches {
				is.Equal(n, 1)
			}
		})
	}
}

// A network device between daemon and target loses the state of open connections. They stay open but
// carry no data; new connections work. The caller must get the rest of its answer over a new one.
func TestSilentConnection(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{engine: engine.Config{Decode: 40}, idleTimeout: 150 * time.Millisecond})
	resp, err := http.DefaultClient.Do(r.request(t.Context(), "/v1/completions", completion(8)))
	is.NoErr(err)
	defer resp.Body.Close()
	body := bufio.NewReader(resp.Body)
	head, err := body.ReadString('}')
	is.NoErr(err)
	r.injectFault(fault.Fault{Name: fault.Silent})
	rest, err := io.ReadAll(body)
	r.assertComplete(result{status: resp.StatusCode, header: resp.Header, text: head + string(rest), err: err}, 8)
	sum, _ := r.dispatches()
	is.Equal(sum, 1)
}

// As above, but before the first token: the work waits in the engine's queue for longer than a
// connection may be silent, and the connection is lost meanwhile.
func TestSilentConnectionBeforeAnswer(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{engine: engine.Config{Prefill: 4}, idleTimeout: 100 * time.Millisecond})
	got := make(chan result, 1)
	go func() { got <- r.stream(3) }()
	for sum, _ := r.dispatches(); sum == 0; sum, _ = r.dispatches() {
		runtime.Gosched()
	}
	r.injectFault(fault.Fault{Name: fault.Silent})
	r.assertComplete(<-got, 3)
	sum, _ := r.dispatches()
	is.Equal(sum, 1)
	is.True((<-r.records).Resumes > 0)
}

// The connection to a plain service goes silent. Its answer cannot be requested again, so after a
// longer timeout the caller is told that the call may have run.
func TestSilentService(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{service: service.Config{Delay: time.Minute}, idleTimeout: 20 * time.Millisecond})
	got := make(chan result, 1)
	go func() { got <- r.post("/services/packets/a", "x") }()
	for len(r.services[0].Counts().Runs) == 0 {
		runtime.Gosched()
	}
	is.NoErr(r.services[0].Fault(fault.Fault{Name: fault.Silent}))
	answer := <-got
	is.Equal(answer.status, http.StatusBadGateway)
	is.True(strings.Contains(answer.text, `"run":"unknown"`))
	is.Equal(len(r.services[0].Counts().Dispatches), 1)
}

// A caller leaves while a service processes a call that must not be repeated. If it were cancelled,
// nobody would know whether it took effect, so it runs to completion.
func TestCallerLeavesWhileServiceRuns(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{service: service.Config{Delay: 200 * time.Millisecond}})
	ctx, cancel := context.WithCancel(t.Context())
	done := r.background(r.request(ctx, "/services/packets/a", "x"))
	for len(r.services[0].Counts().Runs) == 0 {
		runtime.Gosched()
	}
	cancel()
	is.True(<-done != nil)
	is.Equal((<-r.records).State, "answered")
}

// An answer for a caller that did not ask for a stream breaks off. The rest is read on a new
// connection, and the caller receives one complete text.
func TestCompleteAnswerResumed(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{})
	r.injectFault(fault.Fault{Name: fault.Break, After: 2, Count: 1})
	got := r.post("/v1/chat/completions", `{"model":"m","messages":[{"role":"user","content":"hello"}],"max_tokens":5}`)
	is.Equal(got.status, http.StatusOK)
	var m struct {
		Choices []struct{ Message struct{ Content string } }
	}
	is.NoErr(json.Unmarshal([]byte(got.text), &m))
	is.Equal(m.Choices[0].Message.Content, engine.ExpectedText("hello", 5))
}

// A target needs longer than the caller's deadline. After the dispatch the work is done in any case,
// so the caller still receives its complete answer.
func TestLateAnswerIsDelivered(t *testing.T) {
	r := newTestDaemon(t, options{engine: engine.Config{Decode: 20}})
	got := r.post("/v1/completions", completion(8), "Fireflypath-Deadline", "330ms")
	r.assertComplete(got, 8)
}

// A caller disconnects while its request waits. Nobody will read the answer, so the work must not be
// sent to a target.
func TestCallerLeavesWhileWaiting(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{engine: engine.Config{Decode: 10, Batch: 1}, window: 1})
	first, err := http.DefaultClient.Do(r.request(t.Context(), "/v1/completions", completion(20)))
	is.NoErr(err)
	defer first.Body.Close()

	ctx, cancel := context.WithCancel(t.Context())
	done := r.background(r.request(ctx, "/v1/completions", completion(1)))
	r.awaitWaitingRequest()
	cancel()
	is.True(<-done != nil)
	rec := <-r.records
	is.Equal(rec.State, "withdrawn")
	is.Equal(rec.Target, "")
	is.Equal(r.engines[0].Counts().Dispatches[rec.ID], 0)
}

// background sends a request in the background and ignores its answer.
func (r *testDaemon) background(req *http.Request) <-chan error {
	done := make(chan error, 1)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			resp.Body.Close()
		}
		done <- err
	}()
	return done
}

// awaitWaitingRequest blocks until one request waits in the pool of engines.
func (r *testDaemon) awaitWaitingRequest() {
	for r.t.Context().Err() == nil {
		for _, d := range r.Demands() {
			sum := 0
			for _, k := range d.WaitingRequests {
				sum += k
			}
			if d.Pool == "engines" && sum == 1 {
				return
			}
		}
		runtime.Gosched()
	}
}

// A caller disconnects while its answer is generated. The engine must be told to stop, because
// otherwise the work would occupy capacity that waiting requests need.
func TestCallerLeavesWhileRunning(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{engine: engine.Config{Decode: 20}})
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := http.DefaultClient.Do(r.request(ctx, "/v1/completions", completion(200)))
	is.NoErr(err)
	cancel()
	resp.Body.Close()
	rec := <-r.records
	is.Equal(rec.State, "failed")
	is.Equal(rec.Refusal.Code, fireflypath.ReasonWithdrawn)
	is.Equal(r.engines[0].Counts().Cancels, 1)
}

// A target that is leaving refuses new work. The caller must receive the refusal as not run, and no
// further requests may be sent to that target.
func TestTargetRefuses(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{engines: 2})
	is.NoErr(r.engines[0].Fault(fault.Fault{Name: fault.Draining}))
	refused := 0
	for range 6 {
		got := r.stream(1)
		if got.status == http.StatusServiceUnavailable {
			refused++
			is.True(strings.Contains(got.text, `"run":"no"`))
			is.True(got.header.Get("Retry-After") != "")
			continue
		}
		r.assertComplete(got, 1)
	}
	is.True(refused <= 1)
	is.Equal(len(r.engines[0].Counts().Dispatches), refused)
	is.Equal(len(r.engines[0].Counts().Runs), 0)
}

// A caller sends a request with an idempotency key, its daemon dies, and it retries at another daemon
// with the same key. The request must not run twice; the caller is told that it may have run.
func TestKeyedCallRetriedAtAnotherDaemon(t *testing.T) {
	is := is.New(t)
	store := testkit.NewMapStore(clockwork.NewRealClock())
	first := newTestDaemon(t, options{deps: daemon.Deps{Store: store}, service: service.Config{Delay: time.Minute}})
	done := first.background(first.request(t.Context(), "/services/packets/a", "x", "Idempotency-Key", "k"))
	for len(first.services[0].Counts().Keys) == 0 {
		runtime.Gosched()
	}
	first.Kill()
	is.True(<-done != nil)

	second := newTestDaemon(t, options{deps: daemon.Deps{Store: store}})
	got := second.post("/services/packets/a", "x", "Idempotency-Key", "k")
	is.Equal(got.status, http.StatusConflict)
	is.True(strings.Contains(got.text, `"run":"unknown"`))
	is.Equal(len(second.services[0].Counts().Runs), 0)
}

// A target refuses a request with an idempotency key as not run. The key must be released, or the
// caller's retry would be refused although nothing ran.
func TestKeyReleasedAfterRefusal(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{})
	is.NoErr(r.services[0].Fault(fault.Fault{Name: fault.NotRun, Count: 1}))
	got := r.post("/services/packets/a", "x", "Idempotency-Key", "k")
	is.Equal(got.status, http.StatusServiceUnavailable)
	is.True(strings.Contains(got.text, `"run":"no"`))
	is.Equal(r.post("/services/packets/a", "x", "Idempotency-Key", "k").status, http.StatusOK)
	is.Equal(r.post("/services/packets/a", "x", "Idempotency-Key", "k").status, http.StatusConflict)
	is.Equal(r.services[0].Counts().Keys["k"], 1)
}

// A service writes its answer in pieces. If the daemon buffered the answer until its end, a caller
// that reads a long export would take the connection for dead.
func TestServiceChunksAreNotBuffered(t *testing.T) {
	is := is.New(t)
	read := make(chan struct{})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		_, _ = io.WriteString(w, "first\n")
		w.(http.Flusher).Flush()
		<-read
		_, _ = io.WriteString(w, "second\n")
	}))
	defer s.Close()
	d, err := daemon.New(testkit.Settings(testkit.Config(nil, []string{s.Listener.Addr().String()})), daemon.Deps{})
	is.NoErr(err)
	is.NoErr(d.Start(t.Context()))
	defer d.Kill()
	r := &testDaemon{t: t, Daemon: d}
	resp, err := http.DefaultClient.Do(r.request(t.Context(), "/services/packets/a", ""))
	is.NoErr(err)
	defer resp.Body.Close()
	body := bufio.NewReader(resp.Body)
	line, err := body.ReadString('\n')
	is.NoErr(err)
	is.Equal(line, "first\n")
	close(read)
	rest, err := io.ReadAll(body)
	is.NoErr(err)
	is.Equal(string(rest), "second\n")
}

// Two programs of a team send the same request with the same key concurrently. One runs; the other
// caller is told which request holds the key.
func TestConcurrentCallersWithSameKey(t *testing.T) {
	is := is.New(t)
	r := newTestDaemon(t, options{})
	answers := make(chan result, 2)
	for range 2 {
		go func() { answers <- r.post("/services/packets/a", "x", "Idempotency-Key", "k") }()
	}
	one, other := <-answers, <-answers
	if one.status != http.StatusOK {
		one, other = other, one
	}
	is.Equal(one.status, http.StatusOK)
	is.Equal(other.status, http.StatusConflict)
	is.True(strings.Contains(other.text, one.header.Get("Fireflypath-Request")))
	is.Equal(r.services[0].Counts().Keys["k"], 1)
}
