// Package events splits a stream of server-sent events into complete events.
package events

import (
	"bytes"
	"io"
	"math/big"

	"github.com/cockroachdb/errors"
)

const (
	// initialBuffer is the buffer's size in bytes before it grows; it fits several
	// typical events.
	initialBuffer = 4 << 10
	// smallEvent is the buffer size in bytes up to which a stream is not broken off for want of memory.
	smallEvent = 64 << 10
	// maxEvent is the buffer size in bytes beyond which it does not grow. A host holds one such
	// buffer for each stream that it forwards.
	maxEvent = 256 << 10
	// maxComments bounds the bytes of comments and empty lines between two events.
	maxComments = 256 << 10
	// maxSkipped bounds the bytes of events that are skipped because they were delivered before.
	maxSkipped = 4 << 20
)

var (
	// ErrTooLarge is returned for an event that exceeds the maximum buffer size.
	ErrTooLarge = errors.New("event is too large")
	// ErrNoMemory is returned for a long event if others use the memory that it needs.
	ErrNoMemory = errors.New("no memory for the event")
	// ErrNoEvents is returned for a stream that goes on without new events: with comments only, or
	// with events that were delivered before.
	ErrNoEvents = errors.New("stream goes on without new events")
	// ErrPartialEvent is returned for a stream that ends in the middle of an event, which its target
	// has broken off.
	ErrPartialEvent = errors.New("stream ended in the middle of an event")
)

// Reader returns only complete events. If a target fails in the middle of an event,
// the partial event is discarded, so that another target can resume the stream after
// the last complete one.
type Reader struct {
	src    io.Reader
	memory Memory
	buf    []byte
	// start and end delimit the unread bytes in buf.
	start, end int
	// pos is the position after the returned events.
	pos Position
	// firstID is the id of the first event in src with one.
	firstID string
	// repeats counts the events that were skipped.
	repeats int
	// skipThrough is the highest id of the events to skip, or nil.
	skipThrough *big.Int
	continued   continuation
	// scan is how far the first unread event was searched for its end. Without it, a long event that
	// arrives in small pieces is searched from its beginning with each of them.
	scan scanState
	// comments and skipped count the bytes that the limits of these names bound.
	comments, skipped int
	// partial is the number of bytes after the last event at the end of the stream.
	partial int
	// readErr is the error of the last read from src.
	readErr error
}

// Memory counts the bytes that a Reader holds.
type Memory interface {
	// Add counts n more bytes in any case, Grow only if there is room for them, which it reports.
	Add(n int)
	Grow(n int) bool
}

// NewReader reads events from src. If after is a number, events with an id up to it
// have been delivered before and are skipped.
func NewReader(src io.Reader, after string, memory Memory) *Reader {
	r := newReader(src, Position{lastID: after}, memory)
	if n, ok := number(after); ok {
		r.skipThrough = n
	}
	return r
}

// Continue reads events from src that go on with a stream after a known position. It skips the events before,
// and fails with ErrNotContinued where src is known not to go on there or cannot be told to.
func Continue(src io.Reader, after Position, memory Memory) *Reader {
	r := newReader(src, after, memory)
	r.skipThrough, r.continued.after = after.last, after.last
	return r
}

func newReader(src io.Reader, pos Position, memory Memory) *Reader {
	memory.Add(initialBuffer)
	return &Reader{src: src, memory: memory, buf: make([]byte, initialBuffer), pos: pos}
}

// LastID returns the id of the last returned event, or the id given to NewReader if
// there is none yet.
func (r *Reader) LastID() string {
	return r.pos.lastID
}

// Position returns the position after the events that were returned.
func (r *Reader) Position() Position {
	return r.pos
}

// FirstID returns the id of the first event that src gave with one, whether it was returned or skipped.
func (r *Reader) FirstID() string {
	return r.firstID
}

// Repeats returns the number of events that were skipped because they were delivered before.
func (r *Reader) Repeats() int {
	return r.repeats
}

// Partial returns the number of bytes that followed the last complete event at the end of the stream.
func (r *Reader) Partial() int {
	return r.partial
}

// Next returns one or more complete events; the slice is valid until the next call.
// At the end of the stream it returns io.EOF together with the comments and empty lines that
// follow the last event. A partial event is discarded, and ErrPartialEvent is returned.
func (r *Reader) Next() ([]byte, error) {
	for {
		before := r.pos
		out, err := r.takeEvents()
		if r.comments > maxComments || r.skipped > maxSkipped {
			r.pos = before
			return nil, ErrNoEvents
		}
		if len(out) > 0 || err != nil {
			return out, err
		}
		if r.readErr != nil {
			return r.remainder()
		}
		if err := r.fill(); err != nil {
			r.breakOff(r.buf[r.start:r.end])
			return nil, err
		}
	}
}

// remainder returns the unread bytes if the stream ended after an event, and otherwise only an
// error.
func (r *Reader) remainder() ([]byte, error) {
	out := r.buf[r.start:r.end]
	r.start = r.end
	r.breakOff(out)
	if !errors.Is(r.readErr, io.EOF) {
		r.partial = len(out)
		return nil, r.readErr
	}
	if !betweenEvents(out) {
		r.partial = len(out)
		return nil, ErrPartialEvent
	}
	if err := r.checkEnd(); err != nil {
		return nil, err
	}
	return out, r.readErr
}

// betweenEvents reports whether the bytes after the last event are no part of another one: empty
// lines and complete comments.
func betweenEvents(b []byte) bool {
	for len(b) > 0 {
		line, n, complete := cutLine(b)
		if !complete || len(line) > 0 && line[0] != ':' {
			return false
		}
		b = b[n:]
	}
	return true
}

// fill reads from src, growing the buffer if it is full.
func (r *Reader) fill() error {
	if r.start > 0 {
		r.end = copy(r.buf, r.buf[r.start:r.end])
		r.start = 0
	}
	if r.end == len(r.buf) {
		if err := r.grow(); err != nil {
			return err
		}
	}
	n, err := r.src.Read(r.buf[r.end:])
	if bytes.ContainsAny(r.buf[r.end:r.end+n], "\r\n") {
		r.scan.newLines = true
	}
	r.end += n
	r.readErr = err
	return nil
}

// grow doubles the buffer. A stream of long events is broken off when memory runs out: the daemon would
// otherwise end with all that it carries.
func (r *Reader) grow() error {
	n := len(r.buf)
	switch {
	case n >= maxEvent:
		return ErrTooLarge
	case 2*n <= smallEvent:
		r.memory.Add(n)
	case !r.memory.Grow(n):
		return ErrNoMemory
	}
	r.buf = append(r.buf, make([]byte, n)...)
	return nil
}

// takeEvents returns the buffered complete events, skipping those already delivered. It fails for the first
// one that does not continue the stream.
func (r *Reader) takeEvents() ([]byte, error) {
	start := r.start
	for {
		n := r.scan.eventLength(r.buf[r.start:r.end])
		if n == 0 {
			return r.buf[start:r.start], nil
		}
		r.scan = scanState{newLines: true}
		b := parseBlock(r.buf[r.start : r.start+n])
		if r.firstID == "" {
			r.firstID = b.id
		}
		skip, err := r.place(b)
		if (skip || err != nil) && r.start > start {
			return r.buf[start:r.start], nil // the block is read again
		}
		if err != nil {
			return nil, err
		}
		if skip {
			r.start += n
			start = r.start
			r.skipped += n
			r.repeats++
			continue
		}
		r.countComments(b, n)
		if b.isEvent() {
			r.pos.advance(b, r.pos.last == r.continued.after)
		}
		r.start += n
	}
}

// countComments counts the bytes since the last block that is no comment.
func (r *Reader) countComments(b block, n int) {
	if !b.comment {
		r.comments = 0
		return
	}
	r.comments += n
}

// scanState is how far an event was searched for its end.
type scanState struct {
	// searched is the length of the complete lines at the beginning of the event, none of which ends it.
	searched int
	// pairs is true if the last of them ends with a carriage return and a line feed.
	pairs bool
	// newLines is true if line ends may have arrived since the last search.
	newLines bool
}

// eventLength returns the length of the first complete event in b, or 0. An event ends with an empty
// line. Until it is found, b has to begin with the same event.
func (s *scanState) eventLength(b []byte) int {
	if !s.newLines {
		return 0
	}
	s.newLines = false
	for s.searched < len(b) {
		line, n, complete := cutLine(b[s.searched:])
		if !complete {
			return 0
		}
		at := s.searched + n
		switch {
		case len(line) > 0 && b[at-1] == '\r' && at == len(b):
			s.newLines = true // the next byte decides whether a line feed belongs to this line end
			return 0
		case len(line) > 0:
			s.pairs = n == len(line)+len("\r\n")
			s.searched = at
		case s.pairs && n == 1 && b[at-1] == '\r' && at == len(b):
			s.newLines = true // the other half of the pair is still on its way
			return 0
		default:
			return at
		}
	}
	return 0
}

// cutLine returns the first line of b without its end, and its length with it. Lines end with a
// carriage return, a line feed or both.
func cutLine(b []byte) (line []byte, n int, complete bool) {
	i := bytes.IndexAny(b, "\r\n")
	if i < 0 {
		return b, len(b), false
	}
	n = i + 1
	if b[i] == '\r' && n < len(b) && b[n] == '\n' {
		n++
	}
	return b[:i], n, true
}
