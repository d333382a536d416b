package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
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
