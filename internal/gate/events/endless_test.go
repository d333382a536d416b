package events_test

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/fireflypath/fireflypath/internal/gate/events"
)

// maxRead is what may be read from a stream without new events, in bytes.
const maxRead = 8 << 20

// endlessReader returns a text again and again.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(b []byte) (int, error) {
	n := 0
	for n < len(b) {
		n += copy(b[n:], r.text[(r.read+n)%len(r.text):])
	}
	r.read += n
	return n, nil
}

// Guards against a target whose stream goes on without new events: it keeps its caller, its place and
// the daemon's memory until the caller's time is over.
func TestStreamWithoutNewEventsFails(t *testing.T) {
	for name, text := range map[string]string{
		"no line end":             "x",
		"one event":               "data: x\n",
		"one comment":             ": x\n",
		"comments":                ": x\n\n",
		"empty lines":             "\n",
		"events delivered before": "id: 3\ndata: x\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			src := &endlessReader{text: text}
			r := newReader(src, "5")
			var err error
			for err == nil && src.read < maxRead {
				_, err = r.Next()
			}
			is.True(errors.Is(err, events.ErrTooLarge) || errors.Is(err, events.ErrNoEvents))
		})
	}
}

// Guards against bounds that end sound streams: one that is resumed from its start, and one with a
// comment between any two events.
func TestLongStreamIsRead(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	const delivered, all = 2000, 6000
	for n := range all {
		text.WriteString(": keep-alive " + strings.Repeat("-", 100) + "\n\nid: " + strconv.Itoa(n) + "\ndata: " + strings.Repeat("x", 200) + "\n\n")
	}
	r := newReader(strings.NewReader(text.String()), strconv.Itoa(delivered-1))
	got, _ := readAll(r)
	is.Equal(strings.Count(got, "id:"), all-delivered)
	is.Equal(r.LastID(), strconv.Itoa(all-1))
}

// piecesReader returns a text in pieces of the given sizes, and then byte by byte.
type piecesReader struct {
	text  string
	sizes []int
}

func (r *piecesReader) Read(b []byte) (int, error) {
	if r.text == "" {
		return 0, io.EOF
	}
	size := 1
	if len(r.sizes) > 0 {
		size, r.sizes = r.sizes[0], r.sizes[1:]
	}
	n := copy(b, r.text[:min(size, len(r.text))])
	r.text = r.text[n:]
	return n, nil
}

// Guards against an end of an event that is missed or seen too early, depending on how the bytes arrive.
func TestEventsDoNotDependOnPieces(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SampledFrom([]string{"\r", "\n", "\r\n", "x", ":", "id: 7", "data: y"}), 0, 30).Draw(t, "parts")
		text := strings.Join(parts, "")
		whole, wholeErr := readAll(newReader(strings.NewReader(text), ""))
		sizes := rapid.SliceOfN(rapid.IntRange(1, 5), 0, 20).Draw(t, "sizes")
		pieces, piecesErr := readAll(newReader(&piecesReader{text, sizes}, ""))
		if whole != pieces || !errors.Is(piecesErr, wholeErr) {
			t.Fatalf("%q, %v in one piece; %q, %v in pieces", whole, wholeErr, pieces, piecesErr)
		}
	})
}

// BenchmarkLongEventInPieces reads an event of 200 KB that arrives four bytes at a time.
func BenchmarkLongEventInPieces(b *testing.B) {
	text := "data: " + strings.Repeat("x", 200<<10) + "\n\n"
	sizes := make([]int, len(text)/4)
	for i := range sizes {
		sizes[i] = 4
	}
	for b.Loop() {
		if got, _ := readAll(newReader(&piecesReader{text, sizes}, "")); got != text {
			b.Fatal("event was not read")
		}
	}
}
