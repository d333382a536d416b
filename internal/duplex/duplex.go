// Package duplex reads and writes a connection at the same time without losing its reset.
package duplex

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// Conn is a connection that one goroutine reads while another one writes.
//
// A socket reports a reset once, to whichever call comes first. If that is a write, the read that follows
// gets an end in order, and what was broken off looks complete. Read reports such a reset in its place.
type Conn struct {
	net.Conn
	// writing is held during a write.
	writing sync.Mutex
	// reset is true once a write has been told of a reset. writing guards it.
	reset bool
}

// New returns a connection that reads and writes c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(b)
	if errors.Is(err, unix.ECONNRESET) {
		c.reset = true
	}
	return n, err
}

// Read implements net.Conn. It returns io.EOF only for a connection that the other end has ended in order,
// and unix.ECONNRESET for one that was reset. After either, nothing more can be written.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, io.EOF) && c.wasReset() {
		err = errors.Wrap(unix.ECONNRESET, "read")
	}
	return n, err
}

// wasReset reports whether a write was told of a reset. It ends a write that is in progress, as that may just
// have been told.
func (c *Conn) wasReset() bool {
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // an error means that the connection is closed, which ends the write
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.reset
}
