package engine

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errBroken makes the server cut a connection in the middle of an answer.
var errBroken = errors.New("connection broken by a fault")

// stream is one request and its answer. Its fields are guarded by the engine's mutex.
type stream struct {
	id     string
	chat   bool
	seed   uint64 // of the prompt's text
	blocks []uint64
	// prompt and output are in tokens.
	prompt int
	output int

	cached    int
	prefilled int
	emitted   int
	credit    float64
	// delivered is true once somebody was sent the whole answer.
	delivered bool
	cancelled bool
	changed   chan struct{} // nil while nobody waits
}

// remainingPrompt is the part of the prompt still to be read.
func (s *stream) remainingPrompt() int {
	return s.prompt - s.cached - s.prefilled
}

func (s *stream) remainingTokens() int {
	return s.remainingPrompt() + s.output - s.emitted
}

func (s *stream) finished() bool {
	return s.remainingPrompt() == 0 && s.emitted == s.output
}

// decode generates dt's tokens; a rate of 0 generates all.
func (s *stream) decode(rate float64, dt time.Duration) {
	previous := s.emitted
	if rate == 0 {
		s.emitted = s.output
	} else {
		s.credit += rate * dt.Seconds()
		n := min(int(s.credit), s.output-s.emitted)
		s.credit -= float64(n)
		s.emitted += n
	}
	if s.emitted > previous || s.finished() {
		s.notify()
	}
}

// notify wakes those who wait for the stream.
func (s *stream) notify() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// nextChange returns a channel that is closed at the next change.
func (s *stream) nextChange() <-chan struct{} {
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}

// eventReader is the body of an answer: events from an offset on, as they come.
type eventReader struct {
	engine *Engine
	stream *stream
	id     string // the id that the events carry
	sent   int    // events sent so far, those before the offset among them
	// cutAfter is the event after which a fault strikes; 0 if none does.
	cutAfter int
	cutErr   error
	buf      []byte
}

// bufferPool spare a kilobyte of garbage for each answer.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// Read waits for events and returns as many as have come.
func (r *eventReader) Read(p []byte) (int, error) {
	for len(r.buf) == 0 {
		if r.cutAfter > 0 && r.sent >= r.cutAfter {
			return 0, r.cutErr
		}
		if r.sent > r.stream.output {
			return 0, io.EOF
		}
		if err := r.fill(); err != nil {
			return 0, err
		}
	}
	n := copy(p, r.buf)
	r.buf = r.buf[:copy(r.buf, r.buf[n:])]
	return n, nil
}

// Close gives the buffer back.
func (r *eventReader) Close() error {
	b := r.buf[:0]
	r.buf = nil
	bufferPool.Put(&b)
	return nil
}

// fill waits until there is an event to send and writes what there is.
func (r *eventReader) fill() error {
	emitted, err := r.waitForEvents()
	if err != nil {
		return err
	}
	if r.cutAfter > 0 {
		emitted = min(emitted, r.cutAfter)
	}
	for r.sent < min(emitted, r.stream.output) {
		r.sent++
		r.appendEvent(r.sent)
	}
	if r.sent == r.stream.output && emitted > r.stream.output {
		r.sent++
		r.buf = appendDone(r.buf, r.sent)
		r.engine.markDelivered(r.stream)
	}
	return nil
}

// waitForEvents returns how many events there are, the end mark among them.
func (r *eventReader) waitForEvents() (int, error) {
	for {
		n, changed, err := r.engine.countEvents(r.stream, r.sent)
		if err != nil || n > r.sent {
			return n, err
		}
		<-changed
	}
}

// countEvents counts the events of a stream, or returns a channel to wait on if
// there are none after the offset.
func (e *Engine) countEvents(s *stream, after int) (int, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.cancelled || e.closed {
		return 0, nil, errBroken
	}
	n := s.emitted
	if s.finished() {
		n++
	}
	if n > after {
		return n, nil, nil
	}
	return n, s.nextChange(), nil
}

func (e *Engine) markDelivered(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.delivered = true
	if e.cfg.WithoutCounts {
		delete(e.streams, s.id)
	}
}

// appendEvent appends token n as a server-sent event.
func (r *eventReader) appendEvent(n int) {
	b := append(r.buf, "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	b = append(b, "\ndata: {\"id\":\""...)
	b = append(b, r.id...)
	if r.stream.chat {
		b = append(b, `","object":"chat.completion.chunk","choices":[{"index":0,"delta":{"content":"`...)
		b = appendToken(b, r.stream.seed, n)
		b = append(b, `"}`...)
	} else {
		b = append(b, `","object":"text_completion","choices":[{"index":0,"text":"`...)
		b = appendToken(b, r.stream.seed, n)
		b = append(b, '"')
	}
	if n == r.stream.output {
		b = append(b, `,"finish_reason":"length"`...)
	}
	r.buf = append(b, "}]}\n\n"...)
}

func appendDone(b []byte, n int) []byte {
	b = append(b, "id: "...)
	b = strconv.AppendInt(b, int64(n), 10)
	return append(b, "\ndata: [DONE]\n\n"...)
}

// appendToken appends token n of the answer to a prompt: a blank and 4
// hexadecimal digits, so that a caller can tell its own answer and each place in it.
func appendToken(b []byte, seed uint64, n int) []byte {
	const digits = "0123456789abcdef"
	x := seed + uint64(n)*0x9e3779b97f4a7c15
	return append(b, ' ', digits[x>>60], digits[x>>56&15], digits[x>>52&15], digits[x>>48&15])
}
