package engine

import (
	"testing"

	"github.com/matryer/is"
)

// endlessReader returns a text again and again.
type endlessReader struct {
	text string
	read int
}

func (r *endlessReader) Read(b []byte) (int, error) {
	n := copy(b, r.text[r.read%len(r.text):])
	r.read += n
	return n, nil
}

// Guards against an engine whose stream goes on without new events: the request waits for it until its
// time is over.
func TestStreamWithoutNewEventsFails(t *testing.T) {
	for name, text := range map[string]string{
		"no line end":          "x",
		"comments":             ": ping\n\n",
		"one comment":          ": ping\n",
		"empty lines":          "\n",
		"events of before":     event1,
		"an event without end": "id: 9\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := readAll(&endlessReader{text: text}, 2)
			is.True(err != nil)
		})
	}
}
