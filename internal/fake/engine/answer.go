package engine

import (
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/fake/wire"
)

// ExpectedText returns the answer of every engine to a prompt. Callers compare it
// with what they receive, to detect wrong and incomplete answers.
func ExpectedText(prompt string, output int) string {
	seed := xxhash.Sum64String(prompt)
	var b []byte
	for n := range output {
		b = appendToken(b, seed, n+1)
	}
	return string(b)
}

// streamAnswer streams the events after an offset.
func (e *Engine) streamAnswer(r *fasthttp.RequestCtx, s *stream, offset int) {
	if _, _, err := e.countEvents(s, -1); err != nil {
		wire.CloseConnection(r)
		return
	}
	b := bufferPool.Get().(*[]byte)
	body := &eventReader{engine: e, stream: s, id: s.id, sent: offset, buf: *b}
	if _, ok := e.faults.Trigger(fault.WrongID); ok {
		body.id = e.otherID(s.id)
	}
	if f, ok := e.faults.Trigger(fault.Truncate); ok {
		body.cutAfter, body.cutErr = max(1, offset+f.After), io.EOF
	}
	if f, ok := e.faults.Trigger(fault.Break); ok {
		body.cutAfter, body.cutErr = max(1, offset+f.After), errBroken
	}
	// The response header is written with the first event because the cached tokens
	// are only known after the cache lookup.
	if offset <= s.output {
		if err := body.fill(); err != nil {
			wire.CloseConnection(r)
			return
		}
	}
	r.SetContentType("text/event-stream")
	r.Response.Header.Set(headerID, body.id)
	r.Response.Header.Set(headerCached, strconv.Itoa(e.cachedTokens(s)))
	r.SetBodyStream(body, -1)
}

func (e *Engine) cachedTokens(s *stream) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.cached
}

// otherID returns the id of another stream, or a made-up id if there is none.
func (e *Engine) otherID(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for o := range e.streams {
		if o != id {
			return o
		}
	}
	return "other-" + id
}

// answerWhole waits until the answer is complete and sends it as one JSON object.
func (e *Engine) answerWhole(r *fasthttp.RequestCtx, s *stream) {
	events := &eventReader{engine: e, stream: s}
	for events.sent <= s.output {
		n, err := events.waitForEvents()
		if err != nil {
			wire.CloseConnection(r)
			return
		}
		events.sent = n
	}
	e.markDelivered(s)
	var text []byte
	for n := range s.output {
		text = appendToken(text, s.seed, n+1)
	}
	r.SetContentType("application/json")
	r.Response.Header.Set(headerID, s.id)
	r.Response.Header.Set(headerCached, strconv.Itoa(e.cachedTokens(s)))
	if s.chat {
		r.SetBodyString(`{"id":"` + s.id + `","choices":[{"index":0,"message":{"role":"assistant","content":"` +
			string(text) + `"},"finish_reason":"length"}]}`)
		return
	}
	r.SetBodyString(`{"id":"` + s.id + `","choices":[{"index":0,"text":"` + string(text) + `","finish_reason":"length"}]}`)
}
