package http1

import (
	"bufio"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fireflypath/fireflypath/internal/socket"
)

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	Conn
	raw syscall.RawConn
	// head bounds the headers that reader reads.
	head   *headReader
	reader *bufio.Reader
	// written counts the bytes that the kernel accepted. Only 0 proves that nothing
	// was sent.
	written atomic.Int64
	// idleSince is when the connection became idle. closesAt is when the target may close
	// it, or zero if the target announced no time.
	idleSince, closesAt time.Time
}

// Write counts the bytes that the kernel accepts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// stale reports whether an idle connection must not be used: the target closed it or is
// about to, does not acknowledge probes, or unsolicited bytes arrived. Such bytes would be read as the response to the
// next request. A request written to a closed connection may or may not have been
// read, so it could not be sent again.
func (c *conn) stale(now time.Time) bool {
	if c.reader.Buffered() > 0 || !c.closesAt.IsZero() && !now.Before(c.closesAt) {
		return true
	}
	return socket.Readable(c.raw) || socket.Unanswered(c.raw)
}
