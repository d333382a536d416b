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

const limit = 1 << 10

// text is a body in memory.
type text struct{ io.Reader }

func (text) Done()  {}
func (text) Close() {}

// read takes all events of a body from behind an offset.
func read(r io.Reader, offset int) (chunks []fireflypath.Chunk, err error) {
	s := newStream(text{r}, "d.1", offset, limit, fireflypath.Head{})
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
	one  = "id: 1\ndata: {\"id\":\"d.1\",\"x\":\"a\"}\n\n"
	two  = "id: 2\ndata: { \"x\":\"b\", \"id\":\"d.1\"}\n\n"
	done = "id: 3\ndata: [DONE]\n\n"
)

// An answer arrives cut, crossed, out of sequence or in a form that nobody
// asked for. Whatever is passed on is the caller's own and in sequence, and it
// counts as whole only behind its end mark.
func TestStream(t *testing.T) {
	tests := []struct {
		name   string
		body   string
		offset int
		events int
		want   error
	}{
		{name: "whole", body: one + two + done, events: 3, want: io.EOF},
		{name: "resumed", body: two + done, offset: 1, events: 2, want: io.EOF},
		{name: "overlap", body: one + two + done, offset: 1, events: 2, want: io.EOF},
		{name: "line ends", body: strings.ReplaceAll(one+two+done, "\n", "\r\n"), events: 3, want: io.EOF},
		{name: "comments", body: ": ping\n\n" + one + ": ping\n\n" + two + done, events: 3, want: io.EOF},
		{name: "cut", body: one, events: 1, want: fireflypath.ErrTruncated},
		{name: "cut in an event", body: one + two[:20], events: 1, want: fireflypath.ErrTruncated},
		{name: "cut before the empty line", body: one + two + "id: 3\ndata: [DONE]\n", events: 2, want: fireflypath.ErrTruncated},
		{name: "gap", body: one + done, events: 1, want: errGap},
		{name: "crossed", body: one + strings.Replace(two, "d.1", "d.2", 1) + done, events: 1, want: fireflypath.ErrRequestMismatch},
		{name: "longer id", body: strings.Replace(one, "d.1", "d.11", 1), want: fireflypath.ErrRequestMismatch},
		{name: "id in the text", body: `id: 1` + "\n" + `data: {"x":"\"id\":\"d.1\""}` + "\n\n", want: fireflypath.ErrRequestMismatch},
		{name: "no number", body: "data: {\"id\":\"d.1\"}\n\n", want: errNumber},
		{name: "number of another kind", body: "id: x\ndata: {}\n\n", want: errNumber},
		{name: "too long", body: "id: 1\ndata: " + strings.Repeat("x", 2*limit), want: errTooLong},
		{name: "end mark at once", body: "id: 1\ndata: [DONE]\n\n", events: 1, want: io.EOF},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			chunks, err := read(strings.NewReader(tt.body), tt.offset)
			is.True(errors.Is(err, tt.want))
			is.Equal(len(chunks), tt.events)
		})
	}
}

func FuzzStream(f *testing.F) {
	for _, body := range []string{
		one + two + done, one + done, one + two[:20], "id: 1\ndata: [DONE]\n\n", ": ping\r\n\r\n" + one,
		"id: 1\ndata: {\"id\":\"d.2\"}\n\n", "data: x\ndata: y\nid: 2\n\n", "id: -1\ndata: {}\n\n", "\n\n\n",
	} {
		f.Add([]byte(body), 0)
		f.Add([]byte(body), 1)
	}
	f.Fuzz(func(t *testing.T, body []byte, offset int) {
		offset = max(offset, 0) % 8
		chunks, err := read(bytes.NewReader(body), offset)
		for i, c := range chunks {
			if c.Offset != offset+i+1 {
				t.Fatalf("event %d has the number %d", i, c.Offset)
			}
			if len(c.Data) > limit {
				t.Fatalf("event of %d bytes", len(c.Data))
			}
		}
		ended := len(chunks) > 0 && bytes.Contains(chunks[len(chunks)-1].Data, dataDone)
		if errors.Is(err, io.EOF) && !ended {
			t.Fatal("whole without an end mark")
		}
		again, err2 := read(iotest.OneByteReader(bytes.NewReader(body)), offset)
		if len(again) != len(chunks) || !errors.Is(err2, err) {
			t.Fatalf("byte by byte: %d events and %v, at once %d and %v", len(again), err2, len(chunks), err)
		}
	})
}
