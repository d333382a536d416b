package gate_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// frame is how a target marks the end of its answer.
type frame string

const (
	frameClose   frame = "close"
	frameLength  frame = "length"
	frameChunked frame = "chunked"
)

// ending is how a target ends its connection after an answer.
type ending string

const (
	// endFIN ends the connection in order, endRST with a reset. endCut ends it in order before the frame
	// is complete.
	endFIN ending = "FIN"
	endRST ending = "RST"
	endCut ending = "cut"
)

// writeRaw writes an answer with the given frame and end and closes its connection.
func writeRaw(w http.ResponseWriter, r *http.Request, status int, f frame, e ending, body string) {
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	head := fmt.Sprintf("HTTP/1.1 %d x\r\nT-Id: %s\r\nT-Signature: by %s\r\n", status, r.Header.Get("T-Id"), r.Header.Get("T-Target"))
	switch f {
	case frameClose:
		io.WriteString(c, head+"\r\n"+body)
	case frameLength:
		n := len(body)
		if e != endFIN {
			n += 10
		}
		io.WriteString(c, head+"Content-Length: "+strconv.Itoa(n)+"\r\n\r\n"+body)
	case frameChunked:
		io.WriteString(c, head+"Transfer-Encoding: chunked\r\n\r\n"+strconv.FormatInt(int64(len(body)), 16)+"\r\n"+body+"\r\n")
		if e == endFIN {
			io.WriteString(c, "0\r\n\r\n")
		}
	}
	if e == endRST {
		awaitAcknowledgement(c)
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// ended is how an answer ends for a caller.
type ended string

const (
	// endedFramed is an answer whose frame says that it is complete, endedClose one that ends with its
	// connection, so that the caller knows no more than the daemon. endedBroken is one that the caller
	// knows to be incomplete.
	endedFramed ended = "framed"
	endedClose  ended = "close"
	endedBroken ended = "broken"
)

// received is an answer as a caller gets it.
type received struct {
	status int
	header http.Header
	body   string
	ended  ended
}

// receive sends a request in a version of HTTP over a connection of its own and reads the answer.
func (s *testSite) receive(version, method, path string) received {
	s.t.Helper()
	is := is.New(s.t)
	c, err := net.Dial("tcp", s.gateServer.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	fmt.Fprintf(c, "%s %s %s\r\nHost: h.example\r\nT-Id: id-1\r\nT-Key: %s\r\nT-Deadline: 15000\r\nContent-Length: 0\r\n\r\n", method, path, version, key)
	return receiveAnswer(s.t, c, method)
}

// receiveAnswer reads the answer to a request that was sent over the connection.
func receiveAnswer(t *testing.T, c io.Reader, method string) received {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return received{ended: endedBroken}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	out := received{status: resp.StatusCode, header: resp.Header, body: string(body), ended: endedFramed}
	switch {
	case err != nil:
		out.ended = endedBroken
	case resp.ContentLength < 0 && len(resp.TransferEncoding) == 0:
		out.ended = endedClose
	}
	return out
}

// longBody is more than a daemon buffers.
var longBody = strings.Repeat("0123456789abcdef", 600<<10/16)

// Guards against an answer that its target broke off and that reaches the caller as a complete one:
// a daemon must not vouch for an end that it cannot know, nor hide a break.
func TestEndOfAnswerIsPassedOn(t *testing.T) {
	const between, inside = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n", "id: 1\ndata: 1\n\nid: 2\nda"
	const first = "id: 1\ndata: 1\n\n"
	for _, c := range []struct {
		name, path string
		frame      frame
		end        ending
		body, want string
		// ended and ended10 are what callers of HTTP/1.1 and 1.0 get. status is 200 if not given.
		ended, ended10 ended
		status         int
	}{
		{"whole", "/once/", frameClose, endFIN, "whole", "whole", endedClose, endedClose, 0},
		{"empty", "/once/", frameClose, endFIN, "", "", endedClose, endedClose, 0},
		{"whole, long", "/once/", frameClose, endFIN, longBody, longBody, endedClose, endedClose, 0},
		{"whole, reset", "/once/", frameClose, endRST, "whole", "", endedFramed, endedFramed, 502},
		{"whole, long, reset", "/once/", frameClose, endRST, longBody, longBody, endedBroken, endedBroken, 0},
		{"whole with length", "/once/", frameLength, endFIN, "whole", "whole", endedFramed, endedFramed, 0},
		{"whole with length, long", "/once/", frameLength, endFIN, longBody, longBody, endedFramed, endedFramed, 0},
		{"whole with length, long, cut", "/once/", frameLength, endCut, longBody, longBody, endedBroken, endedBroken, 0},
		{"whole in chunks", "/once/", frameChunked, endFIN, "whole", "whole", endedFramed, endedFramed, 0},
		{"whole in chunks, long", "/once/", frameChunked, endFIN, longBody, longBody, endedFramed, endedClose, 0},
		{"whole in chunks, long, cut", "/once/", frameChunked, endCut, longBody, longBody, endedBroken, endedBroken, 0},
		{"stream", "/stream/", frameClose, endFIN, between, between, endedClose, endedClose, 0},
		{"stream without events", "/stream/", frameClose, endFIN, "", "", endedClose, endedClose, 0},
		{"stream, reset", "/stream/", frameClose, endRST, between, between, endedBroken, endedBroken, 0},
		{"stream, inside an event", "/stream/", frameClose, endFIN, inside, first, endedBroken, endedBroken, 0},
		{"stream, before its first event", "/stream/", frameClose, endFIN, "id: 1\nda", "", endedFramed, endedFramed, 502},
		{"stream with length", "/stream/", frameLength, endFIN, between, between, endedFramed, endedClose, 0},
		{"stream with length, inside an event", "/stream/", frameLength, endFIN, inside, first, endedBroken, endedBroken, 0},
		{"stream in chunks", "/stream/", frameChunked, endFIN, between, between, endedFramed, endedClose, 0},
		{"stream in chunks, cut", "/stream/", frameChunked, endCut, between, between, endedBroken, endedBroken, 0},
		{"stream in chunks, inside an event", "/stream/", frameChunked, endFIN, inside, first, endedBroken, endedBroken, 0},
	} {
		for version, want := range map[string]ended{"HTTP/1.1": c.ended, "HTTP/1.0": c.ended10} {
			t.Run(c.name+", "+version, func(t *testing.T) {
				is := is.New(t)
				s := startSite(t, nil, func(_ int, w http.ResponseWriter, r *http.Request) {
					writeRaw(w, r, http.StatusOK, c.frame, c.end, c.body)
				})
				got := s.receive(version, http.MethodPost, c.path+"x")
				is.Equal(got.ended, want)
				if c.status != 0 {
					is.Equal(got.status, c.status)
					return
				}
				is.Equal(got.status, http.StatusOK)
				if want == endedBroken && len(c.want) > len(first) {
					is.True(strings.HasPrefix(c.want, got.body)) // a reset may discard what was on its way
					return
				}
				is.True(got.body == c.want)
			})
		}
	}
}

// Guards against a stream that ends inside an event and is passed on with the part, or given up,
// although another target can go on with it.
func TestStreamThatEndsInsideEventGoesOn(t *testing.T) {
	for _, c := range []struct{ first, second frame }{
		{frameClose, frameChunked}, {frameClose, frameClose}, {frameChunked, frameChunked}, {frameLength, frameChunked},
	} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, nil, func(n int, w http.ResponseWriter, r *http.Request) {
				if n == 1 {
					writeRaw(w, r, http.StatusOK, c.first, endFIN, eventText(1)+eventText(2)+"id: 3\nda")
					return
				}
				from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
				text := ""
				for i := from + 1; i <= 5; i++ {
					text += eventText(i)
				}
				writeRaw(w, r, http.StatusOK, c.second, endFIN, text)
			})
			got := s.receive("HTTP/1.1", http.MethodPost, "/resume/x")
			is.Equal(got.body, eventText(1)+eventText(2)+eventText(3)+eventText(4)+eventText(5))
			is.True(got.ended != endedBroken)
			is.Equal(len(s.requests()), 2)
		})
	}
}

// Guards against a daemon that vouches for the end of a stream because its first target used chunks,
// while the target that went on with it ended with its connection.
func TestResumedStreamIsVouchedForByLastTarget(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(n int, w http.ResponseWriter, r *http.Request) {
		if n == 1 {
			writeRaw(w, r, http.StatusOK, frameChunked, endCut, eventText(1))
			return
		}
		writeRaw(w, r, http.StatusOK, frameClose, endFIN, eventText(2))
	})
	got := s.receive("HTTP/1.1", http.MethodPost, "/resume/x")
	is.Equal(got.body, eventText(1)+eventText(2))
	is.Equal(got.ended, endedBroken)
}

// Guards against a failure of a target that is passed on after all attempts with a length that the
// target did not give.
func TestSavedFailureKeepsItsFrame(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeRaw(w, r, http.StatusInternalServerError, frameClose, endFIN, "the failure")
	})
	got := s.receive("HTTP/1.1", http.MethodPost, "/safe/x")
	is.Equal(got.status, http.StatusInternalServerError)
	is.Equal(got.body, "the failure")
	is.Equal(got.ended, endedClose)
}

// Guards against a request that ends its targets and is cleared of that, because an answer that broke off
// counts as a complete one.
func TestEndOfConnectionClearsNoRequest(t *testing.T) {
	for _, c := range []struct {
		name                   string
		frame                  frame
		end                    ending
		body                   string
		crashed, alive, served int32
	}{
		{"complete", frameChunked, endFIN, eventText(1), 0, 0, 1},
		{"inside an event", frameChunked, endFIN, "id: 1\nda", 0, 0, 0},
		{"cut", frameChunked, endCut, eventText(1), 1, 0, 0},
		{"without a frame", frameClose, endFIN, eventText(1), 0, 1, 0},
		{"without a frame, inside an event", frameClose, endFIN, "id: 1\nda", 1, 0, 0},
		{"without a frame, reset", frameClose, endRST, eventText(1), 1, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startSite(t, nil, func(_ int, w http.ResponseWriter, r *http.Request) {
				writeRaw(w, r, http.StatusOK, c.frame, c.end, c.body)
			})
			s.receive("HTTP/1.1", http.MethodPost, "/stream/x")
			is.Equal([]int32{s.quarantine.crashed.Load(), s.quarantine.alive.Load(), s.quarantine.served.Load()}, []int32{c.crashed, c.alive, c.served})
		})
	}
}

// Guards against a caller that reads slowly and loses the end of a complete answer to the reset that
// would mark a break.
func TestSlowCallerGetsWholeAnswer(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat(longBody, 8)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, r *http.Request) {
		writeRaw(w, r, http.StatusOK, frameClose, endFIN, body)
	})
	c, err := net.Dial("tcp", s.gateServer.Listener.Addr().String())
	is.NoErr(err)
	defer c.Close()
	fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nT-Id: id-1\r\nT-Key: %s\r\nContent-Length: 0\r\n\r\n", key)
	got := receiveAnswer(t, slowReader{c}, http.MethodPost)
	is.Equal(got.ended, endedClose)
	is.True(got.body == body)
}

// slowReader reads a little at a time.
type slowReader struct{ net.Conn }

func (r slowReader) Read(b []byte) (int, error) {
	time.Sleep(time.Millisecond)
	return r.Conn.Read(b[:min(len(b), 64<<10)])
}

// Guards against a daemon that says that a resource is empty because the answer to HEAD has no body.
func TestHeadKeepsLength(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "77") })
	got := s.receive("HTTP/1.1", http.MethodHead, "/once/x")
	is.Equal(got.status, http.StatusOK)
	is.Equal(got.header.Get("Content-Length"), "77")
}

// Guards against a document that is taken for a part of an event because its route serves streams.
func TestDocumentOnStreamRouteIsForwarded(t *testing.T) {
	is := is.New(t)
	s := startSite(t, nil, func(_ int, w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json; charset=utf-8")
		io.WriteString(w, `{"stream":false}`)
	})
	resp, body, err := s.post("/stream/", "b")
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
	is.Equal(body, `{"stream":false}`)
}

// Guards against a daemon whose own end, planned or not, is the end of an answer without a frame for
// its caller.
func TestEndOfDaemonIsNoEndOfAnswer(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		is := is.New(t)
		began := make(chan struct{})
		s := startSite(t, nil, func(_ int, w http.ResponseWriter, r *http.Request) {
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer c.Close()
			io.WriteString(c, "HTTP/1.1 200 OK\r\nT-Id: id-1\r\nT-Signature: x\r\n\r\n"+eventText(1))
			<-began
			_, _ = c.Read(make([]byte, 1)) // until the daemon gives up
		})
		c, err := net.Dial("tcp", s.gateServer.Listener.Addr().String())
		is.NoErr(err)
		defer c.Close()
		fmt.Fprintf(c, "POST /stream/x %s\r\nHost: h.example\r\nT-Id: id-1\r\nT-Key: %s\r\nContent-Length: 0\r\n\r\n", version, key)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		defer resp.Body.Close()
		b := make([]byte, len(eventText(1)))
		_, err = io.ReadFull(resp.Body, b)
		is.NoErr(err)
		close(began)
		s.gateServer.CloseClientConnections()
		_, err = resp.Body.Read(b)
		is.True(err != nil && !errors.Is(err, io.EOF))
	}
}
