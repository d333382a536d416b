package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// Errors of events; the answer is read again on a new connection.
var (
	errTooLong = errors.New("event is longer than the bound")
	errNumber  = errors.New("event has no number")
	errGap     = errors.New("event numbers have a gap")
)

var (
	fieldID   = []byte("id:")
	fieldData = []byte("data:")
	dataDone  = []byte("[DONE]")
	eventEnd  = []byte("\n\n")
)

// readers hold the bytes read ahead of the caller, so they are small.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// source is a body being read.
type source interface {
	io.Reader
	// Done gives up a body whose content is complete, Close any other.
	Done()
	Close()
}

// stream is an answer as server-sent events.
type stream struct {
	x      source
	r      *bufio.Reader
	id     string
	prefix []byte
	head   fireflypath.Head
	// offset is the number of the last event returned.
	offset int
	limit  int
	event  []byte
	done   bool
}

func newStream(x source, id string, offset, limit int, head fireflypath.Head) *stream {
	r := readers.Get().(*bufio.Reader)
	r.Reset(x)
	return &stream{
		x: x, r: r, id: id, offset: offset, limit: limit, head: head,
		prefix: []byte(`{"id":` + strconv.Quote(id)),
	}
}

// Head is the status and header.
func (s *stream) Head() fireflypath.Head {
	return s.head
}

// Next returns the next event with its lines, checked to be the one that
// follows and to belong to the request.
func (s *stream) Next(ctx context.Context) (fireflypath.Chunk, error) {
	if s.done {
		return fireflypath.Chunk{}, io.EOF
	}
	for {
		e, err := s.read()
		if err != nil {
			return fireflypath.Chunk{}, err
		}
		if e.data == nil || e.number <= s.offset {
			continue
		}
		if e.number != s.offset+1 {
			return fireflypath.Chunk{}, errGap
		}
		if bytes.Equal(e.data, dataDone) {
			s.done = true
			s.offset = e.number
			return fireflypath.Chunk{Data: s.event, Offset: e.number}, nil
		}
		if !s.mine(e.data) {
			return fireflypath.Chunk{}, fireflypath.ErrRequestMismatch
		}
		s.offset = e.number
		return fireflypath.Chunk{Data: s.event, Offset: e.number, Tokens: 1}, nil
	}
}

// Close gives the connection up.
func (s *stream) Close() error {
	if s.r == nil {
		return nil
	}
	s.r.Reset(nil)
	readers.Put(s.r)
	s.r = nil
	if s.done {
		s.x.Done()
		return nil
	}
	s.x.Close()
	return nil
}

// Ready reports whether Next returns without waiting for the engine.
func (s *stream) Ready() bool {
	if s.done || s.r.Buffered() == 0 {
		return s.done
	}
	b, err := s.r.Peek(s.r.Buffered())
	return err == nil && bytes.Contains(b, eventEnd)
}

// mine checks the id in an event's data.
//
// A proxy or an engine under fault can put one request's events on another's
// connection. The caller would read a stranger's answer, so each event is
// checked before a byte of it is passed on.
func (s *stream) mine(data []byte) bool {
	if bytes.HasPrefix(data, s.prefix) {
		return true
	}
	var m struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(data, &m) == nil && m.ID == s.id
}

// parsed is one event; its slices point into the stream's buffer.
type parsed struct {
	number int
	data   []byte
}

// read takes lines up to an empty one.
func (s *stream) read() (parsed, error) {
	s.event = s.event[:0]
	var e parsed
	start, end := 0, 0
	for {
		line, err := s.line()
		if err != nil {
			return e, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			break
		}
		if v, ok := bytes.CutPrefix(text, fieldID); ok {
			if e.number, err = strconv.Atoi(string(bytes.TrimSpace(v))); err != nil {
				return e, errNumber
			}
		}
		if v, ok := bytes.CutPrefix(text, fieldData); ok {
			end = len(s.event) - (len(line) - len(text))
			start = end - len(v)
		}
	}
	if end == 0 {
		return e, nil
	}
	if e.number <= 0 {
		return e, errNumber
	}
	e.data = bytes.TrimSpace(s.event[start:end])
	return e, nil
}

// line appends a line to the event and returns it.
func (s *stream) line() ([]byte, error) {
	from := len(s.event)
	for {
		part, err := s.r.ReadSlice('\n')
		s.event = append(s.event, part...)
		if len(s.event) > s.limit {
			return nil, errTooLong
		}
		switch {
		case err == nil:
			return s.event[from:], nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, fireflypath.ErrTruncated
		default:
			return nil, err
		}
	}
}
