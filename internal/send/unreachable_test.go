package send_test

import (
	"net"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/send"
)

// A target's process has ended and its host refuses the connection. If the sender did not
// distinguish this from other failures, the daemons would keep placing requests there and
// lose a second for each.
func TestRefusedConnectionIsUnreachable(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", loopback.ListenAddr())
	is.NoErr(err)
	addr := ln.Addr().String()
	is.NoErr(ln.Close())
	s := send.New(0)
	defer s.Close()
	for _, fresh := range []bool{false, true} {
		_, err = s.Send(t.Context(), addr, &fasthttp.Request{}, fresh)
		is.True(errors.Is(err, fireflypath.ErrUnreachable))
		is.True(errors.Is(err, fireflypath.ErrUnsent))
	}
}
