package gate_test

import (
	"io"
	"net/http"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

// sendEndless takes the connection of a request over and writes to it until it is closed. It returns how
// many bytes were taken.
func sendEndless(w http.ResponseWriter, once, repeated string) (taken int64) {
	rc := http.NewResponseController(w)
	conn, _, err := rc.Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	_, err = conn.Write([]byte(once))
	for b := []byte(strings.Repeat(repeated, 1+(4<<10)/len(repeated))); err == nil; {
		var n int
		n, err = conn.Write(b)
		taken += int64(n)
	}
	return taken
}

// Guards against targets whose bytes are no answer and never end, at as many requests as they take at
// once: the daemon ends by its memory, and with it all that it carries. Callers see an unknown outcome
// early, and a repeat where one is allowed.
func TestAnswersWithoutEndAtAllSlots(t *testing.T) {
	const (
		// requests are sent at once, as many as the two targets take.
		requests = 60
		// maxMemory is what a host of 284 MB has left beside an idle daemon, in bytes.
		maxMemory = 200 << 20
		// maxTaken is what one attempt may take from its target, in bytes, with the buffers of the
		// connection.
		maxTaken = 16 << 20
	)
	signed := "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nT-Signature: x\r\nTransfer-Encoding: chunked\r\n"
	for name, c := range map[string]struct{ path, once, repeated string }{
		"header line":    {"/once/", "HTTP/1.1 200 OK\r\nX: ", "v"},
		"header lines":   {"/once/", "HTTP/1.1 200 OK\r\n", "a:\n"},
		"interim answer": {"/once/", "HTTP/1.1 103 Early Hints\r\n", "a:\n"},
		"unsigned body":  {"/once/", "HTTP/1.1 200 OK\r\nT-Id: id-1\r\n\r\n", "x"},
		"event":          {"/stream/", signed + "\r\n", "4\r\nxxxx\r\n"},
		"comments":       {"/stream/", signed + "\r\n", "4\r\n:x\n\n\r\n"},
		"refusal":        {"/once/", "HTTP/1.1 429 Wait\r\nT-Id: id-1\r\nT-Signature: x\r\n\r\n", "x"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			debug.FreeOSMemory() // what other tests have left does not count
			var arrived, oversized atomic.Int32
			allArrived := make(chan struct{})
			s := startSite(t, func(cfg *fireflypath.Config) {
				for i := range cfg.Targets {
					cfg.Targets[i].Slots = requests / len(cfg.Targets)
				}
			}, func(_ int, w http.ResponseWriter, _ *http.Request) {
				if arrived.Add(1) == requests {
					close(allArrived)
				}
				<-allArrived // none waits for a target whose first answers have failed
				if n := sendEndless(w, c.once, c.repeated); n > maxTaken {
					oversized.Add(1)
				}
			})
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() {
					r := s.request(t.Context(), c.path, "")
					resp, _, err := s.do(r)
					// An unknown outcome, before the caller's time is over, or a stream that is broken off.
					is.True(err != nil || resp.StatusCode == http.StatusBadGateway)
				})
			}
			wg.Wait()
			is.Equal(oversized.Load(), int32(0))
			var m runtime.MemStats
			runtime.ReadMemStats(&m)
			is.True(m.HeapSys-m.HeapReleased < maxMemory)
		})
	}
}

// Guards against a caller that pays for one such target although its request may be sent again.
func TestAnswerWithoutEndIsRetried(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			sendEndless(w, "HTTP/1.1 200 OK\r\n", "a:\n")
			return
		}
		answerWhole(n, w, r)
	})
	resp, body, err := s.post("/safe/", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "whole")
}

// Guards against a target that refuses a request and sends the body of the refusal slowly: the request waits
// for it instead of being sent to another target.
func TestSlowRefusalDelaysNoRetry(t *testing.T) {
	is := is.New(t)
	done := make(chan struct{})
	s := startSite(t, nil, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			w.Header().Set("T-Not-Run", "1")
			w.Header().Set("Content-Length", "100")
			w.WriteHeader(http.StatusServiceUnavailable)
			_ = http.NewResponseController(w).Flush()
			<-done
			return
		}
		answerWhole(n, w, r)
	})
	defer close(done)
	started := time.Now()
	resp, _, err := s.post("/once/", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
	is.True(time.Since(started) < 10*time.Second) // the caller's time is 15 s
}

// Guards against a long answer without end that is kept until it ends: it is passed on as it arrives, and
// ends, broken off, with the request's time.
func TestWholeAnswerWithoutEndIsBroken(t *testing.T) {
	const maxKept = 64 << 20 // far below what arrives in the request's time, in bytes
	is := is.New(t)
	var sent atomic.Int64
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) {
		sent.Add(sendEndless(w, "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nT-Signature: x\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nxxxx\r\n"))
	})
	debug.FreeOSMemory()
	r := s.request(t.Context(), "/once/", "")
	r.Header.Set("T-Deadline", "500")
	resp, err := http.DefaultTransport.RoundTrip(r)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	is.True(err != nil) // broken off, not complete
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	is.True(m.HeapSys-m.HeapReleased < maxKept)
}
