package gate_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

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
