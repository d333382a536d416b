package http1_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

const (
	// maxEndlessMemory is what may be allocated for one answer that does not end, in bytes. A host of
	// 284 MB stands a hundred of them at once.
	maxEndlessMemory = 1 << 20
	// callerPatience is the time of the callers. An attempt that takes as long has failed too late to
	// be made again elsewhere.
	callerPatience = 10 * time.Second
)

// endlessHeads are answers whose header has no end: what is sent once, and what is repeated after it.
var endlessHeads = map[string]struct{ once, repeated string }{
	"no line end":            {"", "x"},
	"zero bytes":             {"", "\x00"},
	"status line":            {"HTTP/1.1 200 ", "O"},
	"header line":            {"HTTP/1.1 200 OK\r\nX: ", "v"},
	"header lines":           {"HTTP/1.1 200 OK\r\n", "X: v\r\n"},
	"short header lines":     {"HTTP/1.1 200 OK\r\n", "a:\n"},
	"continued header lines": {"HTTP/1.1 200 OK\r\nX: v\r\n", " v\r\n"},
	"interim answer":         {"HTTP/1.1 103 Early Hints\r\n", "X: v\r\n"},
	"interim answers":        {"", "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"body of another answer": {"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nTransfer-Encoding: chunked\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n"},
	"body without an id":     {"HTTP/1.1 200 OK\r\n\r\n", "x"},
	"long body of another":   {"HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 1000000000000\r\n\r\n", "x"},
}

// Guards against a target whose bytes are no answer and never end: they fill the daemon's memory until
// the caller's time is over, and those of the next daemon when the request is sent again.
func TestAnswerWithoutEndFailsEarly(t *testing.T) {
	for name, sent := range endlessHeads {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := testkit.ServeEndless(t, sent.once, sent.repeated)
			ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
			defer cancel()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := newClient().Send(ctx, fireflypath.Target{Name: "t", Addr: addr}, newRequest("1"))
			runtime.ReadMemStats(&after)
			is.True(err != nil)
			is.NoErr(ctx.Err()) // failed before the caller's time was over
			is.True(len(err.Error()) < 1<<10)
			is.True(after.TotalAlloc-before.TotalAlloc <= maxEndlessMemory)
		})
	}
}

// Guards against a target that sends a byte of its header now and then, so that no pause is long and the
// attempt lasts as long as its caller waits.
func TestSlowHeaderFailsEarly(t *testing.T) {
	for name, once := range map[string]string{
		"header":                 "HTTP/1.1 200 OK\r\nX: ",
		"body of another answer": "HTTP/1.1 200 OK\r\n" + idHeader + ": other\r\nContent-Length: 100000\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tg := startTarget(t, func(c net.Conn, _ int, _ *http.Request) bool {
				_, err := io.WriteString(c, once)
				for err == nil {
					time.Sleep(20 * time.Millisecond)
					_, err = io.WriteString(c, "v")
				}
				return false
			})
			ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
			defer cancel()
			_, err := newClient().Send(ctx, fireflypath.Target{Name: "t", Addr: tg.addr()}, newRequest("1"))
			is.True(err != nil)
			is.NoErr(ctx.Err())
		})
	}
}

// Guards against bounds that refuse sound answers: a long header in many packets, many lines, and the
// empty lines of a body right behind the header, on a connection that is used again.
func TestLongHeaderIsRead(t *testing.T) {
	is := is.New(t)
	body := strings.Repeat("\n", 8<<10)
	tg := startTarget(t, func(c net.Conn, _ int, r *http.Request) bool {
		id := r.Header.Get(idHeader)
		io.WriteString(c, "HTTP/1.1 200 OK\r\n"+idHeader+": "+id+"\r\n"+strings.Repeat("X: "+strings.Repeat("v", 200)+"\r\n", 200))
		time.Sleep(5 * time.Millisecond)
		io.WriteString(c, "Content-Length: 8192\r\n\r\n"+body)
		return true
	})
	c := newClient()
	for _, name := range []string{"1", "2", "3"} {
		got, err := readBody(t, c, tg.addr(), name)
		is.NoErr(err)
		is.Equal(got, body)
	}
	is.Equal(tg.conns.Load(), int32(1))
}
