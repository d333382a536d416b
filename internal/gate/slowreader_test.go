package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/memory"
)

// maxTestWait bounds a wait for what has to happen within a few seconds.
const maxTestWait = 20 * time.Second

// sendWithoutReading sends a request and reads nothing of its answer.
func (s *testSite) sendWithoutReading(path string, deadline time.Duration, body string) net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.gateServer.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { c.Close() })
	if n := int(s.connBuffer.Load()); n > 0 {
		_ = c.(*net.TCPConn).SetReadBuffer(n)
	}
	_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h.example\r\nT-Id: id-1\r\nT-Key: %s\r\nT-Deadline: %d\r\nContent-Length: %d\r\n\r\n%s",
		path, key, deadline.Milliseconds(), len(body), body)
	if err != nil {
		s.t.Fatal(err)
	}
	return c
}

// awaitMemory returns once the gate holds no more than the given number of bytes.
func (s *testSite) awaitMemory(most int) {
	s.t.Helper()
	for end := time.Now().Add(maxTestWait); s.memory.Used() > most; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			s.t.Fatalf("%d bytes are held, at most %d are allowed", s.memory.Used(), most)
		}
	}
}

// Guards against callers that stop reading: their bodies keep the memory of all others for as long as they
// leave their connections open, and every further body is refused.
func TestCallersThatStopReadingHoldNoMemory(t *testing.T) {
	const (
		callers = 12
		// answerSize in bytes is above what the buffers of a connection take.
		answerSize = 32 << 20
	)
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan struct{}, callers)
			s := startSite(t, func(cfg *fireflypath.Config) {
				for i := range cfg.Targets {
					cfg.Targets[i].Slots = callers
				}
			}, func(n int, w http.ResponseWriter, _ *http.Request) {
				if n > callers {
					io.WriteString(w, "data: whole\n\n")
					return
				}
				arrived <- struct{}{}
				event := []byte("data: " + strings.Repeat("x", 32<<10) + "\n\n")
				for range answerSize / len(event) {
					if _, err := w.Write(event); err != nil {
						return
					}
				}
			})
			for range callers {
				s.sendWithoutReading(path, 300*time.Millisecond, strings.Repeat("b", 512<<10))
			}
			for range callers {
				<-arrived
			}
			s.awaitMemory(0)
			resp, body, err := s.post(path, strings.Repeat("b", 4<<20))
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200)
			is.Equal(body, "data: whole\n\n")
		})
	}
}

// Guards against many callers that read slowly: each of their answers is within its own bound, and together
// they end the daemon by its memory. Callers that read get their answers meanwhile.
func TestAnswersOfSlowReadersAreBoundedTogether(t *testing.T) {
	const (
		callers    = 200
		answerSize = 200 << 10
		eventSize  = 1 << 10
		// perCaller is what a running request holds in any case, in bytes.
		perCaller = 4 << 10
	)
	for _, path := range []string{"/once/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			is := is.New(t)
			var answered sync.WaitGroup
			answered.Add(callers)
			s := startSite(t, func(cfg *fireflypath.Config) {
				for i := range cfg.Targets {
					cfg.Targets[i].Slots = callers
				}
			}, func(_ int, w http.ResponseWriter, r *http.Request) {
				if r.ContentLength == 0 {
					defer answered.Done()
					event := "data: " + strings.Repeat("x", eventSize) + "\n\n"
					_, _ = io.WriteString(w, strings.Repeat(event, answerSize/len(event)+1))
					return
				}
				io.WriteString(w, "data: whole\n\n")
			})
			s.connBuffer.Store(16 << 10)
			conns := make([]net.Conn, callers)
			for i := range conns {
				conns[i] = s.sendWithoutReading(path, 15*time.Second, "")
			}
			answered.Wait()
			is.True(s.memory.Used() <= testBodyMemory+callers*perCaller)
			resp, body, err := s.post(path, strings.Repeat("b", 16<<10))
			is.NoErr(err)
			is.Equal(resp.StatusCode, 200) // callers of small requests are served meanwhile
			is.Equal(body, "data: whole\n\n")
			var read sync.WaitGroup
			for _, c := range conns {
				read.Go(func() {
					resp, err := http.ReadResponse(bufio.NewReader(c), nil)
					is.NoErr(err)
					defer resp.Body.Close()
					n, err := io.Copy(io.Discard, resp.Body)
					is.NoErr(err)
					is.True(n > answerSize) // what runs goes on
				})
			}
			read.Wait()
			s.awaitMemory(0)
		})
	}
}

// Guards against new work that comes on top while what runs uses all memory. It is refused truthfully,
// before its body is read.
func TestNewWorkIsRefusedWhileMemoryIsFull(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, answerWhole)
	held := s.memory.Reserve(memory.KindEvents)
	held.Add(testBodyMemory)
	for _, body := range []string{"", "body"} {
		resp, text, err := s.post("/once/", body)
		is.NoErr(err)
		is.Equal(resp.StatusCode, 503)
		is.True(resp.Header.Get("Retry-After") != "")
		is.True(strings.Contains(text, `"run":"no"`))
	}
	is.Equal(len(s.requests()), 0)
	held.Close()
	resp, _, err := s.post("/once/", "body")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 200)
}

// Guards against units of a quota that are given back for a request that ran, because its answer was
// complete and nobody read it: a team that never reads runs more than its quota.
func TestQuotaIsKeptForUnreadAnswer(t *testing.T) {
	is := is.New(t)
	s := startSite(t, func(cfg *fireflypath.Config) {
		cfg.Teams[0].Quota = &fireflypath.Quota{Unit: fireflypath.UnitRequests, Rate: 0.01}
	}, func(_ int, w http.ResponseWriter, _ *http.Request) {
		io.WriteString(w, strings.Repeat("x", 200<<10))
	})
	s.connBuffer.Store(4 << 10)
	s.sendWithoutReading("/once/", 300*time.Millisecond, "body")
	for end := time.Now().Add(maxTestWait); s.memory.Usage()[memory.KindAnswers] == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	s.awaitMemory(0)
	resp, _, err := s.post("/once/", "")
	is.NoErr(err)
	is.Equal(resp.StatusCode, 429)
}
