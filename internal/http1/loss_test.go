package http1_test

import (
	"net"
	"net/http"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/http1"
	"github.com/fireflypath/fireflypath/internal/loopback"
)

// isolatedDialer is the dialer of a daemon that seems to have lost its paths.
type isolatedDialer struct {
	http1.Direct
	indirect bool
}

func (isolatedDialer) ReportLoss(http1.Conn, fireflypath.Target) bool { return false }
func (d isolatedDialer) IsDirect(http1.Conn) bool                     { return !d.indirect }

// Guards against crashes of several targets in a row that count as lost paths of the daemon: what
// crashed them would never be recognised.
func TestEndOfConnectionIsNoLostPath(t *testing.T) {
	for _, indirect := range []bool{false, true} {
		is := is.New(t)
		ln, err := net.Listen("tcp", loopback.ListenAddr())
		is.NoErr(err)
		t.Cleanup(func() { ln.Close() })
		go func() {
			for {
				c, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = c.Read(make([]byte, 1))
				c.Close()
			}
		}()
		client := http1.New(clockwork.NewRealClock(), "T-Id", isolatedDialer{indirect: indirect})
		_, err = client.Send(t.Context(), fireflypath.Target{Name: "t", Addr: ln.Addr().String()}, &http1.Request{
			ID: "r", Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{},
		})
		is.True(errors.Is(err, http1.ErrPathLost)) // no reason to take the target out of use
		is.Equal(http1.ConnectionLost(err), !indirect)
	}
}
