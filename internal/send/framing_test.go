package send_test

import (
	"io"
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/send"
)

// Guards against an answer that is taken for complete because its connection ended.
func TestEndOfConnectionIsNoEndOfAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		answer   string
		complete bool
	}{
		"length":               {"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", true},
		"chunks":               {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", true},
		"length, cut":          {"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc", false},
		"chunks, cut":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false},
		"neither":              {"HTTP/1.1 200 OK\r\n\r\nabc", false},
		"neither, of HTTP/1.0": {"HTTP/1.0 200 OK\r\n\r\nabc", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ln, err := net.Listen("tcp", loopback.ListenAddr())
			is.NoErr(err)
			defer ln.Close()
			go func() {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = conn.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(conn, c.answer)
				conn.Close()
			}()
			s := send.New(0)
			defer s.Close()
			var req fasthttp.Request
			req.SetRequestURI("http://h.example/x")
			x, err := s.Send(t.Context(), ln.Addr().String(), &req, false)
			if err == nil {
				_, err = io.ReadAll(x)
				x.Close()
			}
			is.Equal(err == nil, c.complete)
			is.Equal(errors.Is(err, fireflypath.ErrTruncated), !c.complete)
		})
	}
}
