package engine

import (
	"bytes"
	"context"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
)

const maxTestEvent = 1 << 10

// testBody is a response body in memory.
type testBody struct{ io.Reader }

func (testBody) Complete() {}
func (testBody) Close()    {}

// readAll reads all events of a body after an offset.
func readAll(r io.Reader, offset int) (chunks []fireflypath.Chunk, err error) {
	s := newStream(testBody{r}, "d.1", offset, maxTestEvent, fireflypath.Head{})
	defer s.Close()
	for {
		c, err := s.Next(context.Background())
		if err != nil {
			return chunks, err
		}
		c.Data = bytes.Clone(c.Data)
		chunks = append(chunks, c)
	}
}

const (
	event1    = "id: 1\ndata: {\"id\":\"d.1\",\"x\":\"a\"}\n\n"
	event2    = "id: 2\ndata: { \"x\":\"b\", \"id\":\"d.1\"}\n\n"
	doneEvent = "id: 3\ndata: [DONE]\n\n"
)

// A response is truncated, contains the events of another request, skips numbers or is not
// in the expected format. Only events of the request in the correct order may be returned,
// and the response may count as complete only after the event that ends it.
func TestStream(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		offset int
		events int
		want   error
	}{
		{name: "complete", body: event1 + event2 + doneEvent, events: 3, want: io.EOF},
		{name: "resumed", body: event2 + doneEvent, offset: 1, events: 2, want: io.EOF},
		{name: "resumed with overlap", body: event1 + event2 + doneEvent, offset: 1, events: 2, want: io.EOF},
		{name: "CRLF line endings", body: strings.ReplaceAll(event1+event2+doneEvent, "\n", "\r\n"), events: 3, want: io.EOF},
		{name: "comments", body: ": ping\n\n" + event1 + ": ping\n\n" + event2 + doneEvent, events: 3, want: io.EOF},
		{name: "truncated", body: event1, events: 1, want: fireflypath.ErrTruncated},
		{name: "truncated in an event", body: event1 + event2[:20], events: 1, want: fireflypath.ErrTruncated},
		{name: "truncated before the empty line", body: event1 + event2 + "id: 3\ndata: [DONE]\n", events: 2, want: fireflypath.ErrTruncated},
		{name: "gap", body: event1 + doneEvent, events: 1, want: errGap},
		{name: "event of another request", body: event1 + strings.Replace(event2, "d.1", "d.2", 1) + doneEvent, events: 1, want: fireflypath.ErrRequestMismatch},
		{name: "longer id", body: strings.Replace(event1, "d.1", "d.11", 1), want: fireflypath.ErrRequestMismatch},
		{name: "id in the text", body: `id: 1` + "\n" + `data: {"x":"\"id\":\"d.1\""}` + "\n\n", want: fireflypath.ErrRequestMismatch},
		{name: "no number", body: "data: {\"id\":\"d.1\"}\n\n", want: errNoNumber},
		{name: "number is not an integer", body: "id: x\ndata: {}\n\n", want: errNoNumber},
		{name: "too long", body: "id: 1\ndata: " + strings.Repeat("x", 2*maxTestEvent), want: errTooLong},
		{name: "no events before the end", body: "id: 1\ndata: [DONE]\n\n", events: 1, want: io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			chunks, err := readAll(strings.NewReader(tt.body), tt.offset)
			is.True(errors.Is(err, tt.want))
			is.Equal(len(chunks), tt.events)
		})
	}
}

func FuzzStream(f *testing.F) {
	for _, body := range []string{
		event1 + event2 + doneEvent, event1 + doneEvent, event1 + event2[:20], "id: 1\ndata: [DONE]\n\n", ": ping\r\n\r\n" + event1,
		"id: 1\ndata: {\"id\":\"d.2\"}\n\n", "data: x\ndata: y\nid: 2\n\n", "id: -1\ndata: {}\n\n", "\n\n\n",
	} {
		f.Add([]byte(body), 0)
		f.Add([]byte(body), 1)
	}
	f.Fuzz(func(t *testing.T, body []byte, offset int) {
		offset = max(offset, 0) % 8
		chunks, err := readAll(bytes.NewReader(body), offset)
		for i, c := range chunks {
			if c.Offset != offset+i+1 {
				t.Fatalf("event %d: unexpected number %d", i, c.Offset)
			}
			if len(c.Data) > maxTestEvent {
				t.Fatalf("event has %d bytes, above the limit", len(c.Data))
			}
		}
		ended := len(chunks) > 0 && bytes.Contains(chunks[len(chunks)-1].Data, doneMarker)
		if errors.Is(err, io.EOF) && !ended {
			t.Fatal("response complete without the event that ends it")
		}
		bytewise, bytewiseErr := readAll(iotest.OneByteReader(bytes.NewReader(body)), offset)
		if len(bytewise) != len(chunks) || !errors.Is(bytewiseErr, err) {
			t.Fatalf("read byte by byte: %d events and %v; read at once: %d and %v", len(bytewise), bytewiseErr, len(chunks), err)
		}
	})
}
