package http1

import (
	"bufio"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath/internal/duplex"
	"github.com/fireflypath/fireflypath/internal/socket"
)

// maxCarriedIDs bounds the request ids that a connection remembers, in 8 bytes each. A second response that
// arrives after as many other requests can still be taken for that to a request with the same id.
const maxCarriedIDs = 16

// conn is one connection to a target. It carries one request at a time.
type conn struct {
	Conn
	// duplex reads and writes Conn.
	duplex *duplex.Conn
	raw    syscall.RawConn
	// head bounds the headers that reader reads.
	head   *headReader
	reader *bufio.Reader
	// written counts the bytes that the kernel accepted. Only 0 proves that nothing
	// was sent.
	written atomic.Int64
	// idleSince is when the connection became idle. closesAt is when the target may close
	// it, or zero if the target announced no time.
	idleSince, closesAt time.Time
	// carriedIDs holds the hashes of the last request ids, carried counts all requests. Of two responses
	// to the same id nothing tells which request one belongs to.
	carriedIDs [maxCarriedIDs]uint64
	carried    int
}

// recordID records the id of the next request.
func (c *conn) recordID(id string) {
	c.carriedIDs[c.carried%maxCarriedIDs] = xxhash.Sum64String(id)
	c.carried++
}

// hasCarried reports whether the connection has recently carried a request with the id.
func (c *conn) hasCarried(id string) bool {
	return slices.Contains(c.carriedIDs[:min(c.carried, maxCarriedIDs)], xxhash.Sum64String(id))
}

// Write counts the bytes that the kernel accepts.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.duplex.Write(b)
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
