// Package events reads server-sent events one whole event at a time.
package events

import (
	"bytes"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
)

const (
	// buffer is the first size of the buffer: some events.
	buffer = 4 << 10
	// largest bounds one event.
	largest = 1 << 20
)

// ErrTooLarge means that an event is longer than can be held.
var ErrTooLarge = errors.New("event is too large")

// Events splits a stream. A target may stop in the middle of an event; what was
// read of it is never passed on, so that another target can go on behind the
// last whole one.
type Events struct {
	src io.Reader
	buf []byte
	// from and to bound the unread bytes in buf.
	from, to int
	// last is the id of the last event returned.
	last string
	// skip is the number up to which events are dropped, -1 for none.
	skip int64
	err  error
}

// New reads events from src. Events up to the id after, if that is a number,
// were delivered before and are dropped.
func New(src io.Reader, after string) *Events {
	e := &Events{src: src, buf: make([]byte, buffer), last: after, skip: -1}
	if n, err := strconv.ParseInt(after, 10, 64); err == nil {
		e.skip = n
	}
	return e
}

// Last is the id of the last event returned, or the one given to New.
func (e *Events) Last() string {
	return e.last
}

// Next returns one or more whole events, valid until the next call. It returns
// io.EOF after the stream's whole end; bytes after the last event that are no
// event are returned then.
func (e *Events) Next() ([]byte, error) {
	for {
		if out := e.whole(); len(out) > 0 {
			return out, nil
		}
		if e.err != nil {
			return e.rest()
		}
		if err := e.fill(); err != nil {
			return nil, err
		}
	}
}

// rest is what is left at the end of the stream.
func (e *Events) rest() ([]byte, error) {
	out := e.buf[e.from:e.to]
	e.from = e.to
	if !errors.Is(e.err, io.EOF) {
		return nil, e.err
	}
	return out, e.err
}

func (e *Events) fill() error {
	if e.from > 0 {
		e.to = copy(e.buf, e.buf[e.from:e.to])
		e.from = 0
	}
	if e.to == len(e.buf) {
		if len(e.buf) >= largest {
			return ErrTooLarge
		}
		e.buf = append(e.buf, make([]byte, len(e.buf))...)
	}
	n, err := e.src.Read(e.buf[e.to:])
	e.to += n
	e.err = err
	return nil
}

// whole takes all whole events that are there, without those delivered before.
func (e *Events) whole() []byte {
	start := e.from
	for {
		n := end(e.buf[e.from:e.to])
		if n == 0 {
			return e.buf[start:e.from]
		}
		event := e.buf[e.from : e.from+n]
		id, ok := eventID(event)
		if ok && e.delivered(id) {
			if e.from > start {
				return e.buf[start:e.from]
			}
			e.from += n
			start = e.from
			continue
		}
		if ok {
			e.last = id
		}
		e.from += n
	}
}

func (e *Events) delivered(id string) bool {
	if e.skip < 0 {
		return false
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n <= e.skip
}

// end is the length of the first whole event, or 0.
func end(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case crlf < 0 || lf >= 0 && lf < crlf:
		return lf + len("\n\n")
	default:
		return crlf + len("\r\n\r\n")
	}
}

// eventID is the value of the event's id line.
func eventID(event []byte) (string, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if ok {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}
