package gate_test

import (
	"bufio"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slots"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/gate"
	"github.com/fireflypath/fireflypath/internal/gate/callerconn"
	"github.com/fireflypath/fireflypath/internal/gate/limits"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/memory"
	"github.com/fireflypath/fireflypath/internal/route/pools"
)

// testCodec uses header names that differ from the platform's.
type testCodec struct{}

func (testCodec) Headers() fireflypath.Headers {
	return fireflypath.Headers{
		ID: "T-Id", Deadline: "T-Deadline", Key: "T-Key", Team: "T-Team", Target: "T-Target", Instance: "T-Self",
		NotRun: "T-Not-Run", Signature: "T-Signature", Load: "T-Load", Limit: "T-Limit", Leaving: "T-Leaving", Tokens: "T-Tokens", OutputHint: "T-Hint", Parts: "T-Parts",
		Event: "Last-Event-Id", Resumes: "T-Resumes", DaemonOnly: []string{"T-Team", "T-Target", "T-Hold"},
	}
}
func (testCodec) ConfigKey() string                                     { return "" }
func (testCodec) TargetPrefix() string                                  { return "" }
func (testCodec) Config([]byte) (*fireflypath.Config, error)            { return nil, nil }
func (testCodec) Target(string, []byte) (t fireflypath.Target, e error) { return t, e }
func (testCodec) Load(string) (l fireflypath.Load, ok bool)             { return l, ok }
func (testCodec) Limit(h string) (float64, bool) {
	v, err := strconv.ParseFloat(h, 64)
	return v, err == nil
}

func (testCodec) Leaving(h string) bool { return h != "" }

func (testCodec) Brittle(string) (int, bool) { return 0, false }

func (testCodec) SharedParts(h string) []string { return strings.Fields(h) }

func (testCodec) Cost(h string) (fireflypath.Cost, bool) {
	prompt, output, ok := strings.Cut(h, ",")
	p, _ := strconv.Atoi(prompt)
	o, _ := strconv.Atoi(output)
	return fireflypath.Cost{Prompt: p, MaxOutput: o}, ok
}

type staticConfigs struct{ cfg *fireflypath.Config }

func (c *staticConfigs) Current() *fireflypath.Config   { return c.cfg }
func (c *staticConfigs) Changed(uint64) <-chan struct{} { return nil }
func (v *fakeFreshness) Age() time.Duration             { return v.age }
func (v *fakeFreshness) ConfigAge() time.Duration       { return v.age }

// fakeFreshness reports a fixed age of the configuration view.
type fakeFreshness struct{ age time.Duration }

// testSite is a gate in front of targets whose handler the test provides.
type testSite struct {
	t          *testing.T
	cfg        *fireflypath.Config
	freshness  *fakeFreshness
	gateServer *httptest.Server
	targets    map[string]*httptest.Server
	pools      *pools.Pools
	client     *http1.Client
	quarantine recordedQuarantine
	memory     *memory.Budget
	// connBuffer is the size of the buffer for writing to each caller, or 0 for the system's default.
	connBuffer atomic.Int64
	mu         sync.Mutex
	received   []*http.Request
	bodies     []string
}

// recordedQuarantine holds no requests and counts what it is given.
type recordedQuarantine struct {
	crashed, alive, served atomic.Int32
}

func (q *recordedQuarantine) Held([]digest.Digest) (digest.Digest, time.Duration, bool) {
	return 0, 0, false
}

func (q *recordedQuarantine) TargetCrashed([]digest.Digest, fireflypath.Target, time.Time) {
	q.crashed.Add(1)
}

func (q *recordedQuarantine) Alive(fireflypath.Target, time.Time) { q.alive.Add(1) }

func (q *recordedQuarantine) Served([]digest.Digest, fireflypath.Target, time.Time) { q.served.Add(1) }

const key = "secret"

// testBodyMemory is the limit in bytes of the bodies that a gate holds.
const testBodyMemory = 16 << 20

// startSite serves one pool with two targets. The handler answer gets the number of the
// request, counted from 1.
func startSite(t *testing.T, change func(*fireflypath.Config), answer func(n int, w http.ResponseWriter, r *http.Request)) *testSite {
	t.Helper()
	sum := sha256.Sum256([]byte(key))
	s := &testSite{t: t, freshness: &fakeFreshness{}, targets: map[string]*httptest.Server{}}
	s.cfg = &fireflypath.Config{
		Generation: 1, Version: 1,
		Pools: []fireflypath.Pool{{Name: "p", Kind: fireflypath.KindService}},
		Teams: []fireflypath.Team{{Name: "red", Keys: []fireflypath.Key{{Hash: hex.EncodeToString(sum[:])}}}},
		Routes: []fireflypath.Route{
			route("once", "/once/", fireflypath.FormWhole, fireflypath.RepeatNever),
			route("safe", "/safe/", fireflypath.FormWhole, fireflypath.RepeatSafe),
			route("stream", "/stream/", fireflypath.FormEvents, fireflypath.RepeatNever),
			route("resume", "/resume/", fireflypath.FormEvents, fireflypath.RepeatSafe),
		},
	}
	var n atomic.Int32
	for _, name := range []string{"t1", "t2"} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, _ := io.ReadAll(r.Body)
			s.mu.Lock()
			s.received = append(s.received, r)
			s.bodies = append(s.bodies, string(b))
			s.mu.Unlock()
			w.Header().Set("T-Id", r.Header.Get("T-Id"))
			w.Header().Set("T-Signature", "by "+name)
			answer(int(n.Add(1)), w, r)
		}))
		t.Cleanup(srv.Close)
		s.targets[name] = srv
		s.cfg.Targets = append(s.cfg.Targets, fireflypath.Target{Name: name, Pool: "p", Addr: srv.Listener.Addr().String(), Domain: "d", Slots: 4})
	}
	if change != nil {
		change(s.cfg)
	}
	s.serve(slots.StandaloneTuning(), tally.NoopScope, zap.NewNop())
	return s
}

// serve starts the gate. It replaces one that was started before.
func (s *testSite) serve(tuning slots.Tuning, scope tally.Scope, log *zap.Logger) {
	clock := clockwork.NewRealClock()
	s.memory = memory.New(testBodyMemory, testBodyMemory*3/4)
	ps := pools.New(clock, nil, func(p fireflypath.Pool) fireflypath.Scheduler { return slots.New(p, 1, tuning) })
	ps.Apply(s.cfg)
	s.pools, s.client = ps, http1.New(clock, "T-Id", http1.Direct{})
	g := gate.New(gate.Deps{
		Clock: clock, Codec: testCodec{}, Configs: &staticConfigs{s.cfg}, Freshness: s.freshness, Pools: ps,
		Client: s.client, Quarantine: &s.quarantine,
		Limits:  limits.New(limits.Config{Ratio: 10, Window: 10 * time.Second, Allowance: 100}, 1, 1),
		Memory:  s.memory,
		Returns: tuning.Returns, Scope: scope, Log: log,
		MaxKeyViewAge: time.Minute, MaxNotFoundViewAge: 30 * time.Second,
	})
	s.gateServer = httptest.NewUnstartedServer(g)
	s.gateServer.Config.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if n := int(s.connBuffer.Load()); n > 0 {
			_ = c.(*net.TCPConn).SetWriteBuffer(n) // an error shows as memory that is free too early
		}
		return callerconn.Context(ctx, c)
	}
	s.gateServer.Start()
	s.t.Cleanup(s.gateServer.Close)
}

func route(name, prefix string, form fireflypath.Form, repeat fireflypath.Repeat) fireflypath.Route {
	return fireflypath.Route{
		Name: name, Host: "h.example", Prefix: prefix, Form: form, Repeat: repeat, Attempts: 2,
		Timeout: fireflypath.Duration(20 * time.Second), Goal: fireflypath.Duration(time.Second),
		Split: []fireflypath.Split{{Pool: "p", Weight: 1}}, Resumable: form == fireflypath.FormEvents && repeat == fireflypath.RepeatSafe,
	}
}

func (s *testSite) request(ctx context.Context, path, body string) *http.Request {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.gateServer.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("T-Id", "id-1")
	r.Header.Set("T-Key", key)
	r.Header.Set("T-Deadline", "15000")
	return r
}

// response is an HTTP response without its body.
type response struct {
	StatusCode int
	Header     http.Header
}

func (s *testSite) do(r *http.Request) (response, string, error) {
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return response{}, "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header}, string(b), err
}

func (s *testSite) post(path, body string) (response, string, error) {
	return s.do(s.request(s.t.Context(), path, body))
}

func (s *testSite) requests() []*http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]*http.Request(nil), s.received...)
}

func answerWhole(_ int, w http.ResponseWriter, _ *http.Request) { io.WriteString(w, "whole") }

func TestRequestIsForwardedUnchanged(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, answerWhole)
	r := s.request(t.Context(), "/once/a%2Fb/../c?x=%20y&&", "body\x00")
	r.Header.Set("X-Other", "kept")
	r.Header.Set("Connection", "X-Hop")
	r.Header.Set("X-Hop", "dropped")
	resp, body, err := s.do(r)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "whole")
	is.True(strings.HasPrefix(resp.Header.Get("T-Signature"), "by t"))
	is.Equal(resp.Header.Get("T-Id"), "id-1")
	got := s.requests()[0]
	is.Equal(got.RequestURI, "/once/a%2Fb/../c?x=%20y&&")
	is.Equal(got.Method, http.MethodPost)
	is.Equal(s.bodies[0], "body\x00")
	is.Equal(got.Header.Get("X-Other"), "kept")
	is.Equal(got.Header.Get("X-Hop"), "")
	is.Equal(got.Header.Get("T-Key"), "") // the key must not reach targets
	is.Equal(got.Header.Get("T-Team"), "red")
	is.True(strings.HasPrefix(got.Header.Get("T-Target"), "t"))
	left, err := strconv.Atoi(got.Header.Get("T-Deadline"))
	is.NoErr(err)
	is.True(left <= 15000 && left > 5000)
}

// Guards against callers that set headers reserved for daemons, to pass for another team or
// to use a slot reserved for another request.
func TestForgedHeadersAreDropped(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, answerWhole)
	r := s.request(t.Context(), "/once/", "")
	r.Header.Set("T-Team", "blue")
	r.Header.Set("T-Target", "t9")
	r.Header.Set("T-Hold", "h1")
	_, _, err := s.do(r)
	is.NoErr(err)
	got := s.requests()[0]
	is.Equal(got.Header.Values("T-Team"), []string{"red"})
	is.Equal(len(got.Header.Values("T-Target")), 1)
	is.True(got.Header.Get("T-Target") != "t9")
	is.Equal(got.Header.Get("T-Hold"), "")
}

func TestUnknownRouteAndKeyAreRefused(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, answerWhole)
	resp, _, err := s.post("/none/", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 404)
	r := s.request(t.Context(), "/once/", "")
	r.Header.Set("T-Key", "wrong")
	resp, _, err = s.do(r)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 401)
	is.Equal(len(s.requests()), 0)
}

// A daemon that is cut off from the store does not learn that a key was revoked. Once its
// view is too old it must refuse keyed requests as not run, and must not report a route as
// unknown that may have been added since.
func TestStaleViewRefusesKeyedRequests(t *testing.T) {
	is := is.New(t)
	s := startSite(t, func(cfg *fireflypath.Config) {
		r := route("public", "/public/", fireflypath.FormWhole, fireflypath.RepeatSafe)
		r.Public = true
		cfg.Routes = append(cfg.Routes, r)
	}, answerWhole)
	s.freshness.age = 2 * time.Minute
	for _, path := range []string{"/once/", "/none/"} {
		resp, body, err := s.post(path, "")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
		is.True(resp.Header.Get("Retry-After") != "")
		is.True(strings.Contains(body, `"run":"no"`))
	}
	is.Equal(len(s.requests()), 0)
	resp, _, err := s.post("/public/", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
}

func TestExhaustedQuotaIsRefused(t *testing.T) {
	is := is.New(t)
	s := startSite(t, func(cfg *fireflypath.Config) {
		cfg.Teams[0].Quota = &fireflypath.Quota{Unit: fireflypath.UnitTokens, Rate: 100, Burst: 100}
	}, answerWhole)
	r := s.request(t.Context(), "/once/", "")
	r.Header.Set("T-Tokens", "50,1000")
	resp, _, err := s.do(r)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 429)
	after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	is.NoErr(err)
	is.True(after > 0)
	is.Equal(len(s.requests()), 0)
}

// A request that a target refuses as not run is sent to another target, even if it must not
// run twice.
func TestNotRunRequestIsSentToAnotherTarget(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			w.Header().Set("T-Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		io.WriteString(w, "whole")
	})
	resp, body, err := s.post("/once/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "whole")
	got := s.requests()
	is.Equal(len(got), 2)
	is.True(got[0].Header.Get("T-Target") != got[1].Header.Get("T-Target"))
}

// Guards against a target that is pressed while it recovers: the time that it asks for when it
// turns a request away is kept, whatever form of number it has.
func TestTargetThatAsksForBackoffIsLeftAlone(t *testing.T) {
	for text, rests := range map[string]bool{"30": true, "29.5": true, "0": false, "-1": false, "x": false, "": false, "NaN": false} {
		t.Run(text, func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, func(cfg *fireflypath.Config) { cfg.Targets = cfg.Targets[:1] }, func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 1 {
					w.Header().Set("T-Not-Run", "1")
					w.Header().Set("Retry-After", text)
					w.WriteHeader(http.StatusServiceUnavailable)
				}
			})
			for range 2 {
				r := s.request(t.Context(), "/once/x", "body")
				r.Header.Set("T-Deadline", "600") // the first is turned away, the second is refused at once or served
				_, _, err := s.do(r)
				is.NoErr(err)
			}
			is.Equal(len(s.requests()) == 1, rests)
		})
	}
}

// Guards against a target that is taken for leaving, limited or free on the word of another one:
// its address is used again, or the answer is not authentic.
func TestOnlyTargetItselfDeclares(t *testing.T) {
	for _, tt := range []struct {
		name  string
		first func(w http.ResponseWriter)
		// arrivals is how many of the last ten requests reach the only target.
		arrivals int
	}{
		{"leaving target", func(w http.ResponseWriter) { w.Header().Set("T-Leaving", "1") }, 0},
		{"another target at the address", func(w http.ResponseWriter) {
			w.Header().Set("T-Leaving", "1")
			w.Header().Set("T-Limit", "0")
			w.WriteHeader(http.StatusMisdirectedRequest)
		}, 10},
		{"limited target", func(w http.ResponseWriter) { w.Header().Set("T-Limit", "0") }, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, func(cfg *fireflypath.Config) { cfg.Targets = cfg.Targets[:1] }, func(n int, w http.ResponseWriter, _ *http.Request) {
				if n == 1 {
					tt.first(w)
				}
			})
			for range 11 {
				r := s.request(t.Context(), "/once/x", "body")
				r.Header.Set("T-Deadline", "400")
				_, _, err := s.do(r)
				is.NoErr(err)
			}
			is.Equal(len(s.requests())-1, tt.arrivals)
		})
	}
}

// Two registrations have one address, as when a target starts where another one crashed. A
// request for the old one must not be run by the new one, and every caller must get its
// response from a single run.
func TestTwoTargetsWithSameAddress(t *testing.T) {
	is := is.New(t)
	s := startSite(t, func(cfg *fireflypath.Config) {
		cfg.Targets[1].Addr = cfg.Targets[0].Addr
	}, func(_ int, w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("T-Target") != "t1" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		io.WriteString(w, "whole")
	})
	for range 10 {
		resp, body, err := s.post("/once/", "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 200)
		is.Equal(body, "whole")
	}
	is.True(len(s.requests()) <= 12) // the stale registration gets few requests
}

// If all targets refuse, the caller is told that its request was not run.
func TestRefusalByAllTargetsIsReportedAsNotRun(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("T-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	r := s.request(t.Context(), "/once/", "b")
	r.Header.Set("T-Deadline", "700")
	resp, body, err := s.do(r)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 503)
	is.True(strings.Contains(body, `"run":"no"`))
}

func resetConnection(w http.ResponseWriter) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err == nil {
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}
}

// A connection breaks after the target read the request. A retry could run a request twice
// that is not idempotent, such as a delivery notice.
func TestUnknownOutcomeIsNotRetried(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) { resetConnection(w) })
	for _, path := range []string{"/once/", "/stream/"} {
		before := len(s.requests())
		resp, body, err := s.post(path, "b")
		is.NoErr(err)
		is.Equal(resp.StatusCode, 502)
		is.True(strings.Contains(body, `"run":"unknown"`))
		is.Equal(len(s.requests()), before+1)
	}
}

func TestIdempotentRequestIsRetried(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(n int, w http.ResponseWriter, _ *http.Request) {
		if n == 1 {
			resetConnection(w)
			return
		}
		io.WriteString(w, "whole")
	})
	resp, body, err := s.post("/safe/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "whole")
	is.Equal(len(s.requests()), 2)
}

// A target accepts the request and sends nothing, as after a power loss. An idempotent
// request is retried at another target before its caller's deadline; one that must not run
// twice is left alone.
func TestSilentTargetTimesOut(t *testing.T) {
	is := is.New(t)
	s := startSite(t, func(cfg *fireflypath.Config) {
		for i := range cfg.Routes {
			cfg.Routes[i].Goal = fireflypath.Duration(20 * time.Millisecond)
		}
	}, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 || strings.HasPrefix(r.URL.Path, "/once/") {
			<-r.Context().Done()
			return
		}
		io.WriteString(w, "whole")
	})
	resp, body, err := s.post("/safe/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "whole")
	is.Equal(len(s.requests()), 2)
	r := s.request(t.Context(), "/once/", "b")
	r.Header.Set("T-Deadline", "300")
	resp, _, err = s.do(r)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 504)
	is.Equal(len(s.requests()), 3)
}

// Both targets return an error. The caller gets a target's error, and no further target is
// tried beyond the route's attempts.
func TestTargetFailureIsForwarded(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(n int, w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
		fmt.Fprintf(w, "failure %d", n)
	})
	resp, body, err := s.post("/safe/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 500)
	is.True(strings.HasPrefix(body, "failure "))
	is.True(resp.Header.Get("T-Signature") != "")
	is.Equal(len(s.requests()), 2)
}

// A 503 without the not-run header may come from a target that ran the request. Forwarded
// unchanged, the caller would take it for not run and retry.
func TestUnmarked503IsReportedAsUnknown(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	resp, body, err := s.post("/once/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 502)
	is.True(strings.Contains(body, `"run":"unknown"`))
	is.Equal(len(s.requests()), 1)
}

// A success without the target's signature was not sent by the target.
func TestUnsignedSuccessIsRejected(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Del("T-Signature")
		io.WriteString(w, "somebody else's")
	})
	resp, _, err := s.post("/once/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 502)
}

func eventText(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }

// A target crashes in the middle of an event. The stream must resume at the other target
// after the last complete event, within the same response, without lost or duplicate events.
func TestStreamResumesAtAnotherTarget(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			io.WriteString(w, eventText(1)+eventText(2)+"id: 3\nda")
			w.(http.Flusher).Flush()
			resetConnection(w)
			return
		}
		from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
		for i := from + 1; i <= 5; i++ {
			io.WriteString(w, eventText(i))
		}
	})
	resp, body, err := s.post("/resume/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, eventText(1)+eventText(2)+eventText(3)+eventText(4)+eventText(5))
	got := s.requests()
	is.Equal(len(got), 2)
	is.Equal(resp.Header.Get("T-Signature"), "by "+got[0].Header.Get("T-Target")) // the headers are the first target's
}

// When a stream breaks that cannot be resumed, the caller must be able to tell: the response
// lacks its terminating chunk.
func TestTruncatedStreamIsDetectable(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, eventText(1))
		w.(http.Flusher).Flush()
		resetConnection(w)
	})
	resp, body, err := s.post("/stream/", "b")
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, eventText(1))
	is.True(err != nil)
	is.Equal(len(s.requests()), 1)
}

// When the caller disconnects, the target's request must be cancelled and its slot released.
func TestCallerDisconnectCancelsRequest(t *testing.T) {
	is := is.New(t)
	working, ended := make(chan struct{}), make(chan struct{})
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, r *http.Request) {
		close(working)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-working
		cancel()
	}()
	_, _, err := s.do(s.request(ctx, "/stream/", "b"))
	is.True(err != nil)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("request still runs at the target after the caller disconnected")
	}
}

// When the deadline passes while a target runs the request, the caller gets a response at
// once that does not claim that the request was not run.
func TestTimeoutIsReportedAsUnknown(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, _ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	r := s.request(t.Context(), "/once/", "b")
	r.Header.Set("T-Deadline", "200")
	resp, body, err := s.do(r)
	is.NoErr(err)
	is.Equal(resp.StatusCode, 504)
	is.True(strings.Contains(body, `"run":"unknown"`))
}

// A request with two lengths, or with chunks and a length, may hide a second request in its
// body. The hidden request must not reach a target.
func TestSmuggledRequestsAreNotForwarded(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, answerWhole)
	hidden := "POST /once/hidden HTTP/1.1\r\nHost: h.example\r\nT-Id: x\r\nT-Key: " + key + "\r\nContent-Length: 0\r\n\r\n"
	head := "POST /once/ HTTP/1.1\r\nHost: h.example\r\nT-Id: id-1\r\nT-Key: " + key + "\r\n"
	for _, raw := range []string{
		head + "Content-Length: 0\r\nContent-Length: " + strconv.Itoa(len(hidden)) + "\r\n\r\n" + hidden,
		head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + hidden,
		head + "Content-Length : 4\r\n\r\n" + hidden,
	} {
		c, err := net.Dial("tcp", s.gateServer.Listener.Addr().String())
		is.NoErr(err)
		_, err = io.WriteString(c, raw)
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		is.True(resp.StatusCode == http.StatusBadRequest || resp.StatusCode == http.StatusNotImplemented) // 501 is for an unsupported transfer encoding
		resp.Body.Close()
		c.Close()
	}
	for _, r := range s.requests() {
		is.True(!strings.Contains(r.RequestURI, "hidden"))
	}
}

// Targets join and change their order while a stream is open. The stream must neither stall
// nor be moved to another target.
func TestOpenStreamSurvivesTargetChanges(t *testing.T) {
	is := is.New(t)
	began, joined := make(chan struct{}), make(chan struct{})
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, eventText(1))
		w.(http.Flusher).Flush()
		close(began)
		<-joined
		io.WriteString(w, eventText(2)+eventText(3))
	})
	go func() {
		defer close(joined)
		<-began
		next := *s.cfg
		next.Generation++
		next.Targets = nil
		for i := range 6 {
			next.Targets = append(next.Targets, fireflypath.Target{
				Name: fmt.Sprint("new", i), Pool: "p", Addr: s.targets["t1"].Listener.Addr().String(), Domain: "d", Slots: 4,
			})
		}
		next.Targets = append(next.Targets, s.cfg.Targets[1], s.cfg.Targets[0])
		s.pools.Apply(&next)
		s.pools.ApplyShare("p", fireflypath.Share{Fractions: map[string]float64{"new0": 1}})
		s.client.Sweep(next.Targets)
	}()
	resp, body, err := s.post("/stream/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, eventText(1)+eventText(2)+eventText(3))
	is.Equal(len(s.requests()), 1)
}

// A target freezes with a request that is then retried at another target, and resumes later.
// Its late response must be discarded: delivered, the caller would get two responses, or
// the response to another request.
func TestLateAnswerOfFrozenTargetIsDiscarded(t *testing.T) {
	is := is.New(t)
	resume, resumed := make(chan struct{}), make(chan struct{})
	s := startSite(t, func(cfg *fireflypath.Config) {
		for i := range cfg.Routes {
			cfg.Routes[i].Goal = fireflypath.Duration(20 * time.Millisecond)
		}
	}, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			<-resume
			defer close(resumed)
		}
		io.WriteString(w, "answer to "+r.URL.Path+" by "+r.Header.Get("T-Target"))
	})
	c, err := net.Dial("tcp", s.gateServer.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	in := bufio.NewReader(c)
	ask := func(path string) string {
		r := s.request(t.Context(), path, "b")
		is.NoErr(r.Write(c))
		resp, err := http.ReadResponse(in, r)
		is.NoErr(err)
		defer resp.Body.Close()
		text, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		return string(text)
	}
	first := ask("/safe/first")
	frozen := s.requests()[0].Header.Get("T-Target")
	is.True(strings.HasPrefix(first, "answer to /safe/first by "))
	is.True(!strings.HasSuffix(first, frozen)) // another target answered
	close(resume)
	<-resumed
	for i := range 5 {
		path := fmt.Sprint("/safe/next", i)
		is.True(strings.HasPrefix(ask(path), "answer to "+path+" by "))
	}
	is.Equal(len(s.requests()), 2+5) // no further runs
}

// A request that must not run twice stays with a frozen target, and its caller gets the
// response once the target resumes.
func TestNonIdempotentRequestWaitsForFrozenTarget(t *testing.T) {
	is := is.New(t)
	resume := make(chan struct{})
	s := startSite(t, func(cfg *fireflypath.Config) {
		for i := range cfg.Routes {
			cfg.Routes[i].Goal = fireflypath.Duration(20 * time.Millisecond)
		}
	}, func(_ int, w http.ResponseWriter, _ *http.Request) {
		<-resume
		io.WriteString(w, "the packet")
	})
	time.AfterFunc(100*time.Millisecond, func() { close(resume) }) // after the time limit for idempotent requests
	resp, body, err := s.post("/once/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "the packet")
	is.Equal(len(s.requests()), 1)
}
