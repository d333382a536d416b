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

// event holds the fields of a stream event that the client uses.
type event struct {
	ID      string `json:"id"`
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

const endMark = "[DONE]"

// maxEventSize limits the size of one event, which normally holds one token.
const maxEventSize = 1 << 16

// readerPool reuses the buffers of maxEventSize bytes.
var readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, maxEventSize) }}

// readEvents reads a stream up to its end mark or a refusal. A stream that ends without
// either is truncated, even if its connection was closed cleanly.
func (a *Answer) readEvents(r io.Reader) error {
	var text strings.Builder
	defer func() { a.Text = text.String() }()
	lines := readerPool.Get().(*bufio.Reader)
	lines.Reset(r)
	defer readerPool.Put(lines)
	isError := false
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil {
			return errors.Wrapf(ErrTruncated, "read stream: %s", err)
		}
		line = bytes.TrimSpace(line)
		if bytes.Equal(line, []byte("event: error")) {
			isError = true
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		switch {
		case !ok:
			continue
		case isError:
			return a.setRefusal(data)
		case string(data) == endMark:
			// Reads the end of the body, so that the connection can be reused.
			_, _ = io.Copy(io.Discard, lines)
			return nil
		}
		if err := a.addEvent(&text, data); err != nil {
			return err
		}
	}
}

func (a *Answer) setRefusal(data []byte) error {
	a.Refusal = parseRefusal(data)
	if a.Refusal == nil {
		return errors.Wrapf(ErrTruncated, "stream ended by %q", data)
	}
	return nil
}

func (a *Answer) addEvent(text *strings.Builder, data []byte) error {
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
