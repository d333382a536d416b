package send

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fireflypath/fireflypath/internal/socket"
)

// conn is a connection to a target. It counts the bytes written and bounds the time that a
// read waits for bytes.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	written atomic.Int64
	// readTimeout bounds each read; 0 means no timeout.
	readTimeout time.Duration
	// readDeadline, if set, overrides readTimeout.
	readDeadline time.Time
	used         bool
	// unfinished is the previous exchange, if its last chunk was not read yet.
	unfinished *Exchange
}

// Write counts the bytes that the kernel accepted. Only 0 proves that a request was never
// sent.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Read fails with a timeout if no bytes arrive.
//
// A connection can stop delivering bytes although new connections work. Without a timeout
// the request would wait forever; with it, the response is resumed on a new connection.
func (c *conn) Read(b []byte) (int, error) {
	deadline := c.readDeadline
	if deadline.IsZero() && c.readTimeout > 0 {
		deadline = time.Now().Add(c.readTimeout)
	}
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// stale reports whether an idle connection must not be used: the target closed it, or
// unsolicited bytes arrived.
//
// A target closes idle connections when it restarts. A request written to such a
// connection may or may not have been read, so it could not be sent again. This check
// avoids that for nearly all requests. Bytes that already arrived would be read as the
// response to the next request.
func (c *conn) stale() bool {
	if x := c.unfinished; x != nil {
		c.unfinished = nil
		if !x.readChunkEnd() {
			return true
		}
	}
	return socket.Readable(c.raw)
}
