package lossy_test

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/testkit/lossy"
)

var cut, other = net.IPv4(127, 0, 0, 41), net.IPv4(127, 0, 0, 42)

func dial(l net.Listener, from net.IP) (net.Conn, error) {
	d := net.Dialer{Timeout: 200 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: from}}
	return d.Dial("tcp", l.Addr().String())
}

// Guards against a partition in tests that loses nothing, or more than it says.
func TestPacketsOfOneClientAreDropped(t *testing.T) {
	is := is.New(t)
	l, err := lossy.Listen(loopback.ListenAddr())
	is.NoErr(err)
	defer l.Close()
	echoed := func(c net.Conn) error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		is.NoErr(c.SetReadDeadline(time.Now().Add(200 * time.Millisecond)))
		_, err := c.Read(make([]byte, 1))
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				b := make([]byte, 1)
				for {
					if _, err := c.Read(b); err != nil {
						return
					}
					if _, err := c.Write(b); err != nil {
						return
					}
				}
			}()
		}
	}()
	c, err := dial(l, cut)
	is.NoErr(err)
	defer c.Close()
	is.NoErr(echoed(c))
	is.NoErr(l.DropNew(cut))
	_, err = dial(l, cut)
	is.True(os.IsTimeout(err))
	is.NoErr(echoed(c)) // what is open lives on
	is.NoErr(l.Drop(cut))
	is.True(errors.Is(echoed(c), os.ErrDeadlineExceeded))
	o, err := dial(l, other)
	is.NoErr(err)
	is.NoErr(echoed(o))
	is.NoErr(l.Restore())
	again, err := dial(l, cut)
	is.NoErr(err)
	is.NoErr(echoed(again))
	l.Reset(other)
	is.True(echoed(o) != nil)
	is.NoErr(echoed(again))
}
