package classify

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/route/request"
)

// blockBytes is the length of prompt text in one cache block (docs/PROTOCOLS.md).
const blockBytes = 256

// promptText returns the prompt as the engine counts it; for a chat, the contents of
// its messages are concatenated. It returns false if there is neither.
func (b *body) promptText() (string, bool) {
	if b.Prompt != nil {
		return *b.Prompt, true
	}
	var out strings.Builder
	for _, m := range b.Messages {
		out.WriteString(string(m.Content))
	}
	return out.String(), len(b.Messages) > 0
}

// prefixHashes returns the cumulative hash at the end of each full block.
func prefixHashes(text string) []uint64 {
	n := len(text) / blockBytes
	if n == 0 {
		return nil
	}
	out := make([]uint64, 0, n)
	var d xxhash.Digest
	d.Reset()
	for range n {
		_, _ = d.WriteString(text[:blockBytes])
		text = text[blockBytes:]
		out = append(out, d.Sum64())
	}
	return out
}

// requestStream sets a body that requests a stream, because only streams can be
// resumed.
func requestStream(r *request.Request, b *body) error {
	r.Call.Body = r.Inbound.Body
	r.Call.Stream = b.Stream != nil && *b.Stream
	if r.Call.Stream {
		return nil
	}
	if b.Stream != nil || bytes.Contains(r.Inbound.Body, []byte(`"stream"`)) {
		return replaceStream(r)
	}
	r.Call.Body = appendField(r.Inbound.Body, `"stream":true`)
	return nil
}

// appendField appends a field to a JSON object that has at least one field.
func appendField(object []byte, field string) []byte {
	end := bytes.LastIndexByte(object, '}')
	out := make([]byte, 0, len(object)+len(field)+1)
	out = append(out, object[:end]...)
	out = append(out, ',')
	out = append(out, field...)
	return append(out, '}')
}

// replaceStream sets the stream field of the decoded object. Appending a second
// field of the same name would leave the choice between the two to the engine's
// parser.
func replaceStream(r *request.Request) error {
	var m map[string]json.RawMessage
	if err := json.Unmarshal(r.Inbound.Body, &m); err != nil {
		return refuse(fireflypath.ReasonMalformed, "the body is not a JSON object")
	}
	m["stream"] = json.RawMessage("true")
	out, err := json.Marshal(m)
	r.Call.Body = out
	return err
}
