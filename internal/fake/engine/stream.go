package engine

import (
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// errBroken makes the server close a connection in the middle of a response.
var errBroken = errors.New("connection broken by a fault")

// stream is a request and its answer. Its fields are guarded by the engine's mutex.
type stream struct {
	id     string
	chat   bool
	seed   uint64 // hash of the prompt
	blocks []uint64
	// prompt and output are the numbers of tokens.
	prompt int
	output int

	cached    int
	prefilled int
	emitted   int
	// credit is the budget in tokens carried over to the next step, with its fraction.
	credit float64
	// delivered is set once the whole answer was sent to a caller.
	delivered bool
	cancelled bool
	changed   chan struct{} // nil if nobody waits
}

// remainingPrompt returns the number of prompt tokens not yet processed.
func (s *stream) remainingPrompt() int {
	return s.prompt - s.cached - s.prefilled
}

func (s *stream) remainingTokens() int {
	return s.remainingPrompt() + s.output - s.emitted
}

func (s *stream) finished() bool {
	return s.remainingPrompt() == 0 && s.emitted == s.output
}

// decode generates the tokens of a duration, or all tokens if rate is 0.
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

// notify wakes the goroutines that wait for the stream.
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

// eventReader is a response body that streams the events after an offset as they arrive.
type eventReader struct {
	engine *Engine
	stream *stream
	id     string // written in the events
	sent   int    // events sent, including those before the offset
	// cutAfter is the number of events after which the response is cut; 0 means never.
	cutAfter int
	cutErr   error
	buf      []byte
}

// bufferPool saves the allocation of one kilobyte for each response.
var bufferPool = sync.Pool{New: func() any { b := make([]byte, 0, 1024); return &b }}

// Read waits for events and returns as many as are available.
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

// Close returns the buffer to the pool.
func (r *eventReader) Close() error {
	b := r.buf[:0]
	r.buf = nil
	bufferPool.Put(&b)
	return nil
}

// fill waits for at least one event and appends all available events to the buffer.
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

// waitForEvents waits for events after those sent and returns the number of all
// events, including the final one.
func (r *eventReader) waitForEvents() (int, error) {
	for {
		n, changed, err := r.engine.countEvents(r.stream, r.sent)
		if err != nil || n > r.sent {
			return n, err
		}
		<-changed
	}
}

// countEvents returns the number of events of a stream and, if none is after the
// offset, a channel that is closed at the next change.
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

// appendToken appends token n of the answer: a space and 4 hexadecimal digits that
// depend on the prompt and n, so that a caller can detect wrong and missing tokens.
func appendToken(b []byte, seed uint64, n int) []byte {
	const digits = "0123456789abcdef"
	x := seed + uint64(n)*0x9e3779b97f4a7c15
	return append(b, ' ', digits[x>>60], digits[x>>56&15], digits[x>>52&15], digits[x>>48&15])
}
