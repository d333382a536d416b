package events_test

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/gate/events"
)

// countedBytes counts the bytes that a reader holds, and has room for no more than limit.
type countedBytes struct{ held, limit int }

func (c *countedBytes) Add(n int) { c.held += n }

func (c *countedBytes) Grow(n int) bool {
	if c.held+n > c.limit {
		return false
	}
	c.held += n
	return true
}

func newReader(src io.Reader, after string) *events.Reader {
	return events.NewReader(src, after, &countedBytes{limit: 1 << 20})
}

func readAll(r *events.Reader) (string, error) {
	var out strings.Builder
	for {
		b, err := r.Next()
		out.Write(b)
		if err != nil {
			return out.String(), err
		}
	}
}

// Events may arrive split at any byte. The reader must return every byte exactly once.
func TestReaderReturnsEveryByteOnce(t *testing.T) {
	is := is.New(t)
	text := "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 9\rdata: c\r\r: comment\n\nid: 3\ndata: c\n\n: end\n"
	for _, src := range []io.Reader{
		strings.NewReader(text), iotest.OneByteReader(strings.NewReader(text)), iotest.HalfReader(strings.NewReader(text)),
	} {
		r := newReader(src, "")
		got, err := readAll(r)
		is.Equal(err, io.EOF)
		is.Equal(got, text)
		is.Equal(r.LastID(), "3")
	}
}

// Guards against passing on half an event when a target crashes in the middle of it:
// the stream resumed from another target would be appended to the half event.
func TestTruncatedEventIsDropped(t *testing.T) {
	is := is.New(t)
	r := newReader(io.MultiReader(strings.NewReader("id: 1\ndata: a\n\nid: 2\nda"), iotest.ErrReader(io.ErrUnexpectedEOF)), "")
	got, err := readAll(r)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(got, "id: 1\ndata: a\n\n")
	is.Equal(r.LastID(), "1")
}

// Guards against a stream that was broken off inside an event and is taken for a complete one.
func TestStreamThatEndsInsideEventIsBroken(t *testing.T) {
	for _, event := range []string{"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r"} {
		for n := 1; n < len(event); n++ {
			is := is.New(t)
			r := newReader(strings.NewReader(event+event[:n]), "")
			got, err := readAll(r)
			is.True(errors.Is(err, events.ErrPartialEvent))
			is.Equal(got, event)
			is.Equal(r.Partial(), n)
		}
	}
}

// Guards against events that are passed on late, because their end is waited for after it has arrived.
func TestEventIsCompleteWithItsLastLine(t *testing.T) {
	for _, event := range []string{"id: 1\ndata: a\n\n", "id: 1\r\ndata: a\r\n\r\n", "id: 1\rdata: a\r\r"} {
		is := is.New(t)
		in, out := io.Pipe()
		go func() { _, _ = io.WriteString(out, event) }()
		got, err := newReader(in, "").Next()
		is.NoErr(err)
		is.Equal(string(got), event)
		in.Close()
	}
}

// A target that resumes a stream may repeat events that the caller already has.
func TestDeliveredEventsAreSkipped(t *testing.T) {
	is := is.New(t)
	r := newReader(strings.NewReader("id: 4\ndata: x\n\nid: 5\ndata: y\n\nid: 6\ndata: z\n\n"), "5")
	got, err := readAll(r)
	is.Equal(err, io.EOF)
	is.Equal(got, "id: 6\ndata: z\n\n")
}

// An event longer than the initial buffer is read; one above the maximum size is an error.
func TestLongEvents(t *testing.T) {
	is := is.New(t)
	long := "id: 1\ndata: " + strings.Repeat("x", 100_000) + "\n\n"
	got, err := readAll(newReader(strings.NewReader(long), ""))
	is.Equal(err, io.EOF)
	is.Equal(got, long)
	_, err = readAll(newReader(strings.NewReader("data: "+strings.Repeat("x", 3<<20)), ""))
	is.True(errors.Is(err, events.ErrTooLarge))
}

func FuzzEvents(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\n"), 3)
	f.Add([]byte("\n\n\r\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		src := io.Reader(strings.NewReader(string(text)))
		if size%2 == 1 {
			src = iotest.OneByteReader(src)
		}
		got, err := readAll(newReader(src, ""))
		if errors.Is(err, events.ErrPartialEvent) && !strings.HasPrefix(string(text), got) ||
			errors.Is(err, io.EOF) && got != string(text) {
			t.Fatalf("read %q of %q", got, text)
		}
	})
}

// Guards against streams of long events that end the daemon by its memory, and against streams of usual
// ones that are broken off because of them.
func TestLongEventIsGivenUpWithoutMemory(t *testing.T) {
	is := is.New(t)
	event := func(n int) io.Reader { return strings.NewReader("data: " + strings.Repeat("x", n) + "\n\n") }
	held := &countedBytes{}
	_, err := readAll(events.NewReader(event(60<<10), "", held))
	is.Equal(err, io.EOF)
	held = &countedBytes{}
	_, err = readAll(events.NewReader(event(200<<10), "", held))
	is.True(errors.Is(err, events.ErrNoMemory))
	is.True(held.held <= 64<<10)
}
