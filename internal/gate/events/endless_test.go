package events_test

import (
	"errors"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

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
			r := events.NewReader(src, "5")
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
	r := events.NewReader(strings.NewReader(text.String()), strconv.Itoa(delivered-1))
	got, _ := readAll(r)
	is.Equal(strings.Count(got, "id:"), all-delivered)
	is.Equal(r.LastID(), strconv.Itoa(all-1))
}
