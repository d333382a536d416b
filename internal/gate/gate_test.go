package gate_test

import (
	"bufio"
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
