package engine

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
)

func start(t *testing.T, cfg Config) (*Engine, *clockwork.FakeClock) {
	t.Helper()
	clock := clockwork.NewFakeClock()
	e, err := New(cfg, clock)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { e.Close() })
	return e, clock
}

func (e *Engine) advanceSecond() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advance(time.Second)
}

func newTestStream(id string, prompt, output int) *stream {
	return newStream(id, false, &completion{Prompt: strings.Repeat(id, prompt*tokenBytes/len(id)), MaxTokens: &output})
}

// progress reads a stream under the engine's lock, because the engine's goroutine
// steps the batch on each new request, even if the fake clock stands still.
func (e *Engine) progress(s *stream) (prefilled, emitted int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.prefilled, s.emitted
}

func TestBatchIsBoundedAndFIFO(t *testing.T) {
	is := is.New(t)
	e, _ := start(t, Config{Batch: 2, Prefill: 1000, Decode: 10})
	long, short, last := newTestStream("aaaa", 2000, 10), newTestStream("bbbb", 100, 10), newTestStream("cccc", 100, 10)
	for _, s := range []*stream{long, short, last} {
		e.submit(s)
	}
	prefilled := func(s *stream) int { n, _ := e.progress(s); return n }
	emitted := func(s *stream) int { _, n := e.progress(s); return n }
	e.advanceSecond()
	is.Equal([]int{prefilled(long), prefilled(short), prefilled(last)}, []int{1000, 0, 0}) // prompts are processed one after the other
	e.advanceSecond()
	e.advanceSecond()
	is.Equal([]int{emitted(long), prefilled(short), prefilled(last)}, []int{10, 100, 0}) // the third waits for a place in the batch
	e.advanceSecond()
	is.Equal([]int{emitted(short), prefilled(last)}, []int{10, 100})
	is.Equal(e.Counts().Prefill, 2200)
	is.Equal(e.Counts().Wasted, 2100) // two finished and were never delivered
}

func TestCacheEvictsAndReportsWithLag(t *testing.T) {
	is := is.New(t)
	e, clock := start(t, Config{Cache: 4 * blockTokens, Lag: time.Second})
	e.submit(newTestStream("aaaa", 2*blockTokens, 1))
	again := newTestStream("aaaa", 3*blockTokens, 1)
	e.submit(again)
	is.Equal(again.cached, 2*blockTokens)
	e.submit(newTestStream("bbbb", 4*blockTokens, 1))
	evicted := newTestStream("aaaa", 2*blockTokens, 1)
	e.submit(evicted)
	is.Equal(evicted.cached, 0)
	is.Equal(len(e.cache.eventsAfter(0, clock.Now().Add(-time.Second))), 0)
	clock.Advance(time.Second)
	events := e.cache.eventsAfter(0, clock.Now().Add(-time.Second))
	is.Equal(events[0].Op, "stored")
	is.Equal(events[0].Blocks, []string{hexBlock(again.blocks[0]), hexBlock(again.blocks[1])})
}

func TestCancelCountsWaste(t *testing.T) {
	is := is.New(t)
	e, _ := start(t, Config{Batch: 1, Prefill: 1000, Decode: 10})
	first, second := newTestStream("aaaa", 2000, 10), newTestStream("bbbb", 100, 10)
	e.submit(first)
	e.submit(second)
	e.advanceSecond()
	is.True(e.cancel("aaaa"))
	is.Equal(e.Counts().Wasted, 1000)
	e.advanceSecond()
	prefilled, _ := e.progress(second)
	is.Equal(prefilled, 100)
}

// postCompletion sends a completion request and reads the response.
func postCompletion(t *testing.T, e *Engine, id string) (response, error) {
	t.Helper()
	body := strings.NewReader(`{"prompt":"hello","max_tokens":3,"stream":true}`)
	r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+e.Addr()+"/v1/completions", body)
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set(headerID, id)
	return send(r)
}

// response is what a caller received; the status is 0 if there was no response.
type response struct {
	status int
	id     string
	text   string
}

func send(r *http.Request) (response, error) {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return response{}, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return response{resp.StatusCode, resp.Header.Get(headerID), string(text)}, err
}

func eventText(id string, n int, finish string) string {
	token := ExpectedText("hello", n)[(n-1)*5:]
	return fmt.Sprintf("id: %d\ndata: {\"id\":%q,\"object\":\"text_completion\",\"choices\":"+
		"[{\"index\":0,\"text\":%q%s}]}\n\n", n, id, token, finish)
}

func eventsFrom(id string, from int) string {
	events := []string{
		eventText(id, 1, ""), eventText(id, 2, ""), eventText(id, 3, `,"finish_reason":"length"`), "id: 4\ndata: [DONE]\n\n",
	}
	return strings.Join(events[from:], "")
}

func TestAnswerAndResume(t *testing.T) {
	is := is.New(t)
	e, _ := start(t, Config{})
	a, err := postCompletion(t, e, "d.1")
	is.NoErr(err)
	is.Equal(a, response{200, "d.1", eventsFrom("d.1", 0)})
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+e.Addr()+"/v1/streams/d.1", nil)
	is.NoErr(err)
	r.Header.Set(headerLast, "2")
	a, err = send(r)
	is.NoErr(err)
	is.Equal(a.text, eventsFrom("d.1", 2))
	c := e.Counts()
	is.Equal([]int{c.Dispatches["d.1"], c.Runs["d.1"], c.Resumes, c.Wasted}, []int{1, 1, 1, 0})
}

func TestCompletionFaults(t *testing.T) {
	tests := []struct {
		fault  fault.Fault
		want   string // response body
		status int    // 0: no response
		broken bool
		runs   int
	}{
		{fault: fault.Fault{Name: fault.ReadClose}},
		{fault: fault.Fault{Name: fault.Draining}, want: `{"error":{"code":"draining"}}`, status: 503},
		{fault: fault.Fault{Name: fault.NotRun}, want: `{"error":{"code":"not_run"}}`, status: 503},
		{fault: fault.Fault{Name: fault.WrongID}, want: eventsFrom("other-d.1", 0), status: 200, runs: 1},
		{fault: fault.Fault{Name: fault.Truncate, After: 2}, want: eventText("d.1", 1, "") + eventText("d.1", 2, ""), status: 200, runs: 1},
		{fault: fault.Fault{Name: fault.Break, After: 1}, want: eventText("d.1", 1, ""), status: 200, broken: true, runs: 1},
	}
	for _, tt := range tests {
		t.Run(string(tt.fault.Name), func(t *testing.T) {
			is := is.New(t)
			e, _ := start(t, Config{})
			is.NoErr(e.Fault(tt.fault))
			a, err := postCompletion(t, e, "d.1")
			is.Equal(err != nil, tt.status == 0 || tt.broken)
			is.Equal(a.text, tt.want)
			is.Equal(a.status, tt.status)
			c := e.Counts()
			is.Equal([]int{c.Dispatches["d.1"], c.Runs["d.1"]}, []int{1, tt.runs})
			is.NoErr(e.Fault(fault.Fault{Name: fault.Clear}))
			a, err = postCompletion(t, e, "d.2")
			is.NoErr(err)
			is.Equal(a.text, eventsFrom("d.2", 0))
		})
	}
}

func TestOrderFencing(t *testing.T) {
	for _, unfenced := range []bool{false, true} {
		t.Run(fmt.Sprintf("unfenced=%v", unfenced), func(t *testing.T) {
			is := is.New(t)
			e, _ := start(t, Config{IgnoreFences: unfenced})
			var statuses []int
			for i, fence := range []uint64{2, 1, 3, 3} {
				body, err := json.Marshal(fireflypath.Order{ID: fmt.Sprint(min(i, 2)), Fence: fence})
				is.NoErr(err)
				resp, err := http.Post("http://"+e.Addr()+"/orders", "application/json", bytes.NewReader(body))
				is.NoErr(err)
				resp.Body.Close()
				statuses = append(statuses, resp.StatusCode)
			}
			c := e.Counts()
			if unfenced {
				is.Equal(statuses, []int{200, 200, 200, 200})
				is.Equal([]int{len(c.Orders), c.Stale}, []int{3, 1})
				return
			}
			is.Equal(statuses, []int{200, 409, 200, 200})
			is.Equal([]int{len(c.Orders), c.Stale}, []int{2, 0})
		})
	}
}

// A request sent directly after the fake was stopped must not be accepted. Its outcome
// would be unknown, and a test would blame the daemon that sent it.
func TestStoppedEngineRefusesConnections(t *testing.T) {
	is := is.New(t)
	for range 50 {
		e, _ := start(t, Config{})
		is.NoErr(e.Fault(fault.Fault{Name: fault.Die}))
		_, err := net.Dial("tcp", e.Addr())
		is.True(err != nil)
	}
}

// A matching request stops the fake before it runs, like a request that crashes a model
// engine. Requests that do not match are served.
func TestMatchingRequestStopsEngine(t *testing.T) {
	is := is.New(t)
	e, _ := start(t, Config{})
	is.NoErr(e.Fault(fault.Fault{Name: fault.DieOnText, Text: "not in any prompt"}))
	_, err := postCompletion(t, e, "d.1")
	is.NoErr(err)
	is.NoErr(e.Fault(fault.Fault{Name: fault.DieOnText, Text: "prompt"}))
	_, err = postCompletion(t, e, "d.2")
	is.True(err != nil)
	is.Equal(e.Counts().Runs["d.2"], 0)
	_, err = net.Dial("tcp", e.Addr())
	is.True(err != nil)
}
