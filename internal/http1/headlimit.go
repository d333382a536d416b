package http1

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
)

const (
	// maxHeadSize bounds the status line and the header of one response, in bytes.
	maxHeadSize = 64 << 10
	// maxHeadLines bounds their lines. Short lines cost several times their size in memory.
	maxHeadLines = 256
	// headTimeout is how long a response may take from its first bytes to the end of its header. A
	// header fits into one or two packets; the rest leaves time to send one of them again.
	headTimeout = 2 * time.Second
)

// ErrOversizedHead means that a target sends more than a header may have, for example bytes without a
// line end.
var ErrOversizedHead = errors.New("answer header is above the limit")

// headReader reads from a connection to a target and bounds the header of a response. Without it, a
// target that sends bytes without end fills the memory of the daemon, and of each daemon that the
// request is sent from next.
type headReader struct {
	conn  net.Conn
	clock clockwork.Clock
	// limited is true while a header is read. size and lines are what arrived since it began. They
	// may include the first bytes after the header, which are not followed by another read then.
	limited     bool
	size, lines int
	// deadlineSet is true if the connection has a deadline for the end of the header.
	deadlineSet bool
}

// begin starts the limits of a header.
func (r *headReader) begin() {
	r.limited, r.size, r.lines = true, 0, 0
}

// end ends the limits of a header.
func (r *headReader) end() error {
	r.limited = false
	if !r.deadlineSet {
		return nil
	}
	r.deadlineSet = false
	return r.conn.SetReadDeadline(time.Time{})
}

// Read implements io.Reader.
func (r *headReader) Read(b []byte) (int, error) {
	if !r.limited {
		return r.conn.Read(b)
	}
	if r.size >= maxHeadSize || r.lines > maxHeadLines {
		return 0, ErrOversizedHead
	}
	if r.size > 0 && !r.deadlineSet {
		r.deadlineSet = true
		if err := r.conn.SetReadDeadline(r.clock.Now().Add(headTimeout)); err != nil {
			return 0, err
		}
	}
	n, err := r.conn.Read(b)
	r.size += n
	r.lines += bytes.Count(b[:n], []byte{'\n'})
	return n, err
}

var _ io.Reader = (*headReader)(nil)
