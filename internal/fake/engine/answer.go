package engine

import (
	"io"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/fake/wire"
)

// Text is the answer that every engine gives to a prompt, for callers that
// check that they got their own, and all of it.
func Text(prompt string, output int) string {
	seed := xxhash.Sum64String(prompt)
	var b []byte
	for n := range output {
		b = appendToken(b, seed, n+1)
	}
	return string(b)
}

// answer streams events from behind an offset.
func (e *Engine) answer(r *fasthttp.RequestCtx, s *stream, offset int) {
	if _, _, err := e.events(s, -1); err != nil {
		wire.Hangup(r)
		return
	}
	b := buffers.Get().(*[]byte)
	body := &reader{e: e, s: s, id: s.id, at: offset, buf: *b}
	if _, ok := e.faults.Strike(fault.Crossed); ok {
		body.id = e.other(s.id)
	}
	if f, ok := e.faults.Strike(fault.Truncate); ok {
		body.end, body.cut = max(1, offset+f.After), io.EOF
	}
	if f, ok := e.faults.Strike(fault.Break); ok {
		body.end, body.cut = max(1, offset+f.After), errBroken
	}
	// The header waits for the first event: only then the cache was looked up.
	if offset <= s.output {
		if err := body.fill(); err != nil {
			wire.Hangup(r)
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

// other is another stream's id, or one that nobody asked for.
func (e *Engine) other(id string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	for o := range e.streams {
		if o != id {
			return o
		}
	}
	return "other-" + id
}

// answerWhole waits for the end and sends one JSON object.
func (e *Engine) answerWhole(r *fasthttp.RequestCtx, s *stream) {
	w := &reader{e: e, s: s}
	for w.at <= s.output {
		n, err := w.ready()
		if err != nil {
			wire.Hangup(r)
			return
		}
		w.at = n
	}
	e.delivered(s)
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
