package client

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
)

// event is the part of a stream's event that the client reads.
type event struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

const done = "[DONE]"

// maxEvent bounds the bytes of one event; an event normally holds one token.
const maxEvent = 1 << 16

// readers spare each stream a buffer of maxEvent.
var readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxEvent) }}

// readEvents reads a stream to its end mark or to a refusal. A stream that ends
// without either was cut, even if its connection was closed in good order.
func (a *Answer) readEvents(r io.Reader) error {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	lines := readers.Get().(*bufio.Reader)
	lines.Reset(r)
	defer readers.Put(lines)
	failed := false
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return errors.Wrapf(ErrTruncated, "read stream: %s", err)
		}
		line = bytes.TrimSpace(line)
		if bytes.Equal(line, []byte("event: error")) {
			failed = true
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
			continue
		case failed:
			return a.refused(data)
		case string(data) == done:
			// What follows is the end of the body, which frees the connection.
			_, _ = io.Copy(io.Discard, lines)
			return nil
		}
		if err := a.add(&text, data); err != nil {
			return err
		}
	}
}

func (a *Answer) refused(data []byte) error {
	a.Refusal = parseRefusal(data)
	if a.Refusal == nil {
		return errors.Wrapf(ErrTruncated, "stream ended by %q", data)
	}
	return nil
}

func (a *Answer) add(text *strings.Builder, data []byte) error {
	var e event
	if err := json.Unmarshal(data, &e); err != nil {
		return errors.Wrapf(ErrTruncated, "parse event: %s", err)
	}
	if e.ID != a.ID {
		a.WrongID = true
	}
	a.Tokens++
	for _, c := range e.Choices {
		text.WriteString(c.Text)
		text.WriteString(c.Delta.Content)
	}
	return nil
}
