package http1_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/testkit/lossy"
)

// Guards against requests that are cut off at a sound target because it fell silent for a second or so
// and went on, whether it was idle, working or about to receive the request.
func TestSilentTargetIsWaitedFor(t *testing.T) {
	client := net.IPv4(127, 0, 0, 61)
	const silence, work = 1700 * time.Millisecond, 4 * time.Second
	for _, c := range []struct {
		name       string
		from, sent time.Duration
	}{
		{"while it works", 900 * time.Millisecond, 0},
		{"later while it works", 1900 * time.Millisecond, 0},
		{"as the request is sent", 0, 10 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			ln, err := lossy.Listen(loopback.ListenAddr())
			is.NoErr(err)
			srv := &httptest.Server{Listener: ln, Config: &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(idHeader) != "first" {
					time.Sleep(work)
				}
				w.Header().Set(idHeader, r.Header.Get(idHeader))
				_, _ = io.WriteString(w, "whole")
			})}}
			srv.Start()
			t.Cleanup(srv.Close)
			hc := newClientFrom(client)
			_, err = readBody(t, hc, ln.Addr().String(), "first") // opens the connection
			is.NoErr(err)
			time.AfterFunc(c.from, func() { is.NoErr(ln.Drop(client)) })
			time.AfterFunc(c.from+silence, func() { is.NoErr(ln.Restore()) })
			time.Sleep(c.sent)
			body, err := readBody(t, hc, ln.Addr().String(), "second")
			is.NoErr(err)
			is.Equal(body, "whole")
		})
	}
}

func newClientFrom(source net.IP) *http1.Client {
	return newClientWith(http1.Direct{Source: source})
}
