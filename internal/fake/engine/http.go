package engine

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/fake/answer"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/fake/wire"
)

const (
	maxBody       = 64 << 20
	defaultOutput = 16
	headerID      = "X-Request-Id"
	headerCached  = "X-Cached-Tokens"
	headerLast    = "Last-Event-ID"
)

// completion holds the request fields that the fake uses.
type completion struct {
	Prompt   string `json:"prompt"`
	Messages []struct {
		Content string `json:"content"`
	} `json:"messages"`
	MaxTokens *int `json:"max_tokens"`
	Stream    bool `json:"stream"`
}

// text returns the prompt; the messages of a chat are concatenated.
func (c *completion) text() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

func (e *Engine) handle(r *fasthttp.RequestCtx) {
	path := string(r.Path())
	id, isStream := strings.CutPrefix(path, "/v1/streams/")
	switch {
	case path == "/v1/completions", path == "/v1/chat/completions":
		e.serveCompletion(r, path == "/v1/chat/completions")
	case isStream && r.IsDelete():
		if !e.cancel(id) {
			r.SetStatusCode(fasthttp.StatusNotFound)
		}
	case isStream:
		e.serveResume(r, id)
	default:
		e.serveOther(r, path)
	}
}

func (e *Engine) serveCompletion(r *fasthttp.RequestCtx, chat bool) {
	id := string(r.Request.Header.Peek(headerID))
	if !e.cfg.WithoutCounts {
		e.mu.Lock()
		e.counts.Dispatches[id]++
		e.mu.Unlock()
	}
	if _, ok := e.faults.Trigger(fault.ReadClose); ok {
		wire.CloseConnection(r)
		return
	}
	for _, name := range []fault.Name{fault.Draining, fault.NotRun} {
		if _, ok := e.faults.Trigger(name); ok {
			WriteNotRun(r, name)
			return
		}
	}
	if e.faults.TriggerDieOnText(r.PostBody()) {
		// Die stops the whole engine, so nobody is left to handle the error.
		_ = e.Fault(fault.Fault{Name: fault.Die})
		wire.CloseConnection(r)
		return
	}
	var c completion
	if err := json.Unmarshal(r.PostBody(), &c); err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	s := newStream(id, chat, &c)
	e.submit(s)
	if c.Stream {
		e.streamAnswer(r, s, 0)
		return
	}
	e.answerWhole(r, s)
}

// WriteNotRun responds that the request was not run, because the target is leaving or
// because it refuses the request.
func WriteNotRun(r *fasthttp.RequestCtx, name fault.Name) {
	code := "not_run"
	if name == fault.Draining {
		code = "draining"
	}
	r.SetStatusCode(fasthttp.StatusServiceUnavailable)
	r.SetContentType("application/json")
	r.Response.Header.Set(headerID, string(r.Request.Header.Peek(headerID)))
	r.SetBodyString(`{"error":{"code":"` + code + `"}}`)
}

func newStream(id string, chat bool, c *completion) *stream {
	text := c.text()
	s := &stream{id: id, chat: chat, prompt: max(1, (len(text)+tokenBytes-1)/tokenBytes), output: defaultOutput}
	if c.MaxTokens != nil {
		s.output = max(0, *c.MaxTokens)
	}
	// Writing to the digest never fails.
	d := xxhash.New()
	for len(text) >= blockBytes {
		_, _ = d.WriteString(text[:blockBytes])
		s.blocks = append(s.blocks, d.Sum64())
		text = text[blockBytes:]
	}
	_, _ = d.WriteString(text)
	s.seed = d.Sum64()
	return s
}

func (e *Engine) serveResume(r *fasthttp.RequestCtx, id string) {
	offset, err := strconv.Atoi(string(r.Request.Header.Peek(headerLast)))
	if err != nil || offset < 0 {
		offset = 0
	}
	s := e.resumable(id)
	if s == nil {
		r.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	e.streamAnswer(r, s, offset)
}

// resumable returns a retained stream, or nil.
func (e *Engine) resumable(id string) *stream {
	_, dropped := e.faults.Trigger(fault.Forget)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.streams[id]
	if s == nil || s.cancelled || dropped {
		return nil
	}
	e.counts.Resumes++
	return s
}

func (e *Engine) serveOther(r *fasthttp.RequestCtx, path string) {
	switch path {
	case "/load":
		answer.JSON(r, e.loadReport())
	case "/cache/events":
		e.serveCache(r)
	case "/orders":
		e.serveOrder(r)
	case "/counts":
		answer.JSON(r, e.Counts())
	case "/fault":
		answer.Fault(r, e.Fault)
	default:
		r.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Engine) loadReport() Load {
	_, draining := e.faults.Trigger(fault.Draining)
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.loadHistory.at(e.clock.Now().Add(-e.cfg.Lag))
	l.Batch = e.cfg.Batch
	l.Draining = draining
	return l
}

func (e *Engine) serveCache(r *fasthttp.RequestCtx) {
	after, err := strconv.Atoi(string(r.QueryArgs().Peek("after")))
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	events := e.cache.eventsAfter(after, e.clock.Now().Add(-e.cfg.Lag))
	e.mu.Unlock()
	answer.JSON(r, struct {
		Events []cacheEvent `json:"events"`
	}{events})
}
