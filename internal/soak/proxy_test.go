package soak

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The proxy drops data from a target for a while. If it forwarded later data of the same
// connection, a caller would receive a stream with a gap that looks complete. A real network
// never does that, and the checks would blame the daemon.
func TestConnectionStaysSilentAfterDroppedBytes(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	p, err := newProxy(newPorts(), ln.Addr().String())
	is.NoErr(err)
	defer p.close()
	c, err := net.Dial("tcp", p.addr())
	is.NoErr(err)
	defer c.Close()
	far, err := ln.Accept()
	is.NoErr(err)
	buf := make([]byte, 8)
	_, err = far.Write([]byte("one"))
	is.NoErr(err)
	_, err = io.ReadFull(c, buf[:3])
	is.NoErr(err)
	p.dropFrom.Store(true)
	_, err = far.Write([]byte("two"))
	is.NoErr(err)
	// The other direction still works. Once this byte has arrived, the bytes above have
	// been read or will be read before any later ones.
	_, err = c.Write([]byte("x"))
	is.NoErr(err)
	_, err = io.ReadFull(far, buf[:1])
	is.NoErr(err)
	is.NoErr(c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)))
	_, err = c.Read(buf)
	is.True(err != nil)
	p.clearFaults()
	_, err = far.Write([]byte("three"))
	is.NoErr(err)
	is.NoErr(far.Close())
	is.NoErr(c.SetReadDeadline(time.Now().Add(5 * time.Second)))
	n, err := c.Read(buf)
	is.Equal(n, 0)
	is.True(err != nil && !errors.Is(err, io.EOF)) // reset instead of EOF
}
