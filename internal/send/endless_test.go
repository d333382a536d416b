package send_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/send"
	"github.com/fireflypath/fireflypath/internal/testkit"
)

// Guards against a target whose bytes are no answer and never end: the request waits for it until its
// time is over.
func TestAnswerWithoutEndFailsEarly(t *testing.T) {
	for name, sent := range map[string]struct{ once, repeated string }{
		"no line end":  {"", "x"},
		"status line":  {"HTTP/1.1 200 ", "O"},
		"header line":  {"HTTP/1.1 200 OK\r\nX: ", "v"},
		"header lines": {"HTTP/1.1 200 OK\r\n", "X: v\r\n"},
		"chunk size":   {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
		"trailer":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", "X: v\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			addr := testkit.ServeEndless(t, sent.once, sent.repeated)
			s := send.New(0)
			defer s.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			var req fasthttp.Request
			req.SetRequestURI("http://h.example/x")
			x, err := s.Send(ctx, addr, &req, false)
			if err == nil {
				_, err = io.ReadAll(x)
				x.Close()
			}
			is.True(err != nil)
			is.NoErr(ctx.Err())
		})
	}
}
