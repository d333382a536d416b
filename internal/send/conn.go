package send

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fireflypath/fireflypath/internal/socket"
)

// conn counts what leaves and bounds the silence of what comes.
type conn struct {
	net.Conn
	raw     syscall.RawConn
	written atomic.Int64
	// silence bounds each read; 0 lets it wait for ever.
	silence time.Duration
	// until, if set, takes the place of silence.
	until time.Time
	used  bool
	// tail is the last exchange, if its end mark was not read yet.
	tail *Exchange
}

// Write counts the bytes that the kernel took: only 0 proves that a request
// never left.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Read fails with a timeout after a silence.
//
// A connection can go silent for good while new ones work. Without a bound the
// request would wait on it for ever; with it, the answer is asked for again on
// a new connection.
func (c *conn) Read(b []byte) (int, error) {
	until := c.until
	if until.IsZero() && c.silence > 0 {
		until = time.Now().Add(c.silence)
	}
	if err := c.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return c.Conn.Read(b)
}

// stale reports whether an idle connection has anything to read: its end, or
// bytes of an answer that nobody asked for.
//
// A target closes idle connections when it restarts. A request written to such
// a connection may or may not have been read, so it could not be sent again;
// looking first keeps nearly all of them out of that state. Bytes that are
// already there would be taken for the next request's answer.
func (c *conn) stale() bool {
	if x := c.tail; x != nil {
		c.tail = nil
		if !x.finish() {
			return true
		}
	}
	return socket.Readable(c.raw)
}
