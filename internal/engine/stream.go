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

// Errors of malformed event streams. The response is then resumed on a new connection.
var (
	errTooLong  = errors.New("event is longer than the bound")
	errNoNumber = errors.New("event has no number")
	errGap      = errors.New("event numbers have a gap")
	errNoEvents = errors.New("stream goes on without new events")
)

var (
	fieldPrefixID   = []byte("id:")
	fieldPrefixData = []byte("data:")
	doneMarker      = []byte("[DONE]")
	eventEnd        = []byte("\n\n")
)

// readerPool holds the buffers of streams. They are small, because they only hold bytes that
// were received and not yet returned.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, 4<<10) }}

// bodyReader is the body of a response.
type bodyReader interface {
	io.Reader
	// Complete releases a body whose content was read completely; Close releases any
	// other.
	Complete()
	Close()
}

// stream reads a response of server-sent events.
type stream struct {
	body     bodyReader
	reader   *bufio.Reader
	id       string
	idPrefix []byte
	head     fireflypath.Head
	// offset is the number of the last event returned.
	offset   int
	maxEvent int
	// sinceEvent counts the bytes since the last new event: comments, and events that were returned
	// before.
	sinceEvent int
	// buf holds the lines of the current event.
	buf []byte
	// ended is true once the event that ends the stream was returned.
	ended bool
}

func newStream(body bodyReader, id string, offset, maxEvent int, head fireflypath.Head) *stream {
	reader := readerPool.Get().(*bufio.Reader)
	reader.Reset(body)
	return &stream{
		body: body, reader: reader, id: id, offset: offset, maxEvent: maxEvent, head: head,
		idPrefix: []byte(`{"id":` + strconv.Quote(id)),
	}
}

// Head returns the status and the header.
func (s *stream) Head() fireflypath.Head {
	return s.head
}

// Next returns the next event with all its lines. It checks that the event has the next
// number and belongs to the request. Events up to the offset are skipped.
func (s *stream) Next(ctx context.Context) (fireflypath.Chunk, error) {
	if s.ended {
		return fireflypath.Chunk{}, io.EOF
	}
	for {
		ev, err := s.readEvent()
		if err != nil {
			return fireflypath.Chunk{}, err
		}
		if ev.data == nil || ev.number <= s.offset {
			if s.sinceEvent += len(s.buf); s.sinceEvent > s.maxWithoutEvent() {
				return fireflypath.Chunk{}, errNoEvents
			}
			continue
		}
		s.sinceEvent = 0
		if ev.number != s.offset+1 {
			return fireflypath.Chunk{}, errGap
		}
		if bytes.Equal(ev.data, doneMarker) {
			s.ended = true
			s.offset = ev.number
			return fireflypath.Chunk{Data: s.buf, Offset: ev.number}, nil
		}
		if !s.belongsToRequest(ev.data) {
			return fireflypath.Chunk{}, fireflypath.ErrRequestMismatch
		}
		s.offset = ev.number
		return fireflypath.Chunk{Data: s.buf, Offset: ev.number, Tokens: 1}, nil
	}
}

// maxSkippedEvent is the size in bytes up to which all events that were returned before may come once
// more.
const maxSkippedEvent = 4 << 10

// maxWithoutEvent returns how many bytes may arrive without a new event.
func (s *stream) maxWithoutEvent() int {
	return s.maxEvent + s.offset*maxSkippedEvent
}

// Close releases the connection.
func (s *stream) Close() error {
	if s.reader == nil {
		return nil
	}
	s.reader.Reset(nil)
	readerPool.Put(s.reader)
	s.reader = nil
	if s.ended {
		s.body.Complete()
		return nil
	}
	s.body.Close()
	return nil
}

// Ready reports whether Next would return without waiting for the engine.
func (s *stream) Ready() bool {
	if s.ended || s.reader.Buffered() == 0 {
		return s.ended
	}
	b, err := s.reader.Peek(s.reader.Buffered())
	return err == nil && bytes.Contains(b, eventEnd)
}

// belongsToRequest checks the id in the data of an event.
//
// A faulty proxy or engine can send the events of one request on the connection of
// another. The caller would receive the response to another caller's request, so each
// event is checked before any of it is forwarded.
func (s *stream) belongsToRequest(data []byte) bool {
	if bytes.HasPrefix(data, s.idPrefix) {
		return true
	}
	var message struct {
		ID string `json:"id"`
	}
	return json.Unmarshal(data, &message) == nil && message.ID == s.id
}

// event is a parsed event. Its data is a slice of the stream's buffer.
type event struct {
	number int
	data   []byte
}

// readEvent reads lines up to an empty one.
func (s *stream) readEvent() (event, error) {
	s.buf = s.buf[:0]
	var ev event
	dataStart, dataEnd := 0, 0
	for {
		line, err := s.readLine()
		if err != nil {
			return ev, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			break
		}
		if v, ok := bytes.CutPrefix(text, fieldPrefixID); ok {
			if ev.number, err = strconv.Atoi(string(bytes.TrimSpace(v))); err != nil {
				return ev, errNoNumber
			}
		}
		if v, ok := bytes.CutPrefix(text, fieldPrefixData); ok {
			dataEnd = len(s.buf) - (len(line) - len(text))
			dataStart = dataEnd - len(v)
		}
	}
	if dataEnd == 0 {
		return ev, nil
	}
	if ev.number <= 0 {
		return ev, errNoNumber
	}
	ev.data = bytes.TrimSpace(s.buf[dataStart:dataEnd])
	return ev, nil
}

// readLine appends a line to the event and returns it.
func (s *stream) readLine() ([]byte, error) {
	start := len(s.buf)
	for {
		part, err := s.reader.ReadSlice('\n')
		s.buf = append(s.buf, part...)
		if len(s.buf) > s.maxEvent {
			return nil, errTooLong
		}
		switch {
		case err == nil:
			return s.buf[start:], nil
		case errors.Is(err, bufio.ErrBufferFull):
		case errors.Is(err, io.EOF):
			return nil, fireflypath.ErrTruncated
		default:
			return nil, err
		}
	}
}
