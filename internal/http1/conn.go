package http1

import (
	"bufio"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fireflypath/fireflypath/internal/socket"
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	net.Conn
	raw    syscall.RawConn
	reader *bufio.Reader
	// written counts the bytes that the kernel took; only 0 proves that nothing left.
	written atomic.Int64
	// since is when it became idle; until is when the target closes it, if it said so.
	since, until time.Time
}

// Write counts the bytes that leave.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// stale reports whether an idle connection has anything to read: its end, or
// bytes of an answer that nobody asked for. Those would be taken for the next
// request's answer, and a request written to a closed connection may or may not
// have been read, so that it could not be sent again.
func (c *conn) stale(now time.Time) bool {
	if c.reader.Buffered() > 0 || !c.until.IsZero() && !now.Before(c.until) {
		return true
	}
	return socket.Readable(c.raw)
}
