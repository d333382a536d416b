package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

// paths are the path prefixes of the routes that callers use.
var paths = []string{"/once/", "/safe/", "/stream/", "/resume/"}

// repeatSuffix ends the id of a request that repeats another one, whose prompt it has.
const repeatSuffix = "-repeat"

// caller sends requests sequentially over persistent connections.
type caller struct {
	index   int
	headers fireflypath.Headers
	history *history
	daemons []*process
	keys    *keyring
	client  *http.Client
	rnd     *rand.Rand
	// attempted counts requests that must be served, succeeded those of them with a complete
	// response: not those with a revoked key, nor of callers that give up early. The callers of a
	// run share the counters.
	attempted, succeeded *atomic.Int64
	// losses holds the window in which requests are counted.
	losses *atomic.Pointer[lossWindow]
	// returnsTo is the daemon at which callers come back at present, or nil.
	returnsTo *atomic.Pointer[process]
	// seen is the number of events of the last stream that the caller had, and broke is true if it broke.
	seen  int
	broke bool
	// held is what the caller has of the last stream that may be resumed and broke, or nil.
	held *heldStream
	// streams counts the streams that may be resumed.
	streams *streamCounts
	// prompt returns the parts of the prompt of a request, those of a sound one if it is nil. poison
	// is true for a caller whose requests crash targets.
	prompt func(id string) string
	poison bool
	// crowd is where most callers are at present.
	crowd *atomic.Pointer[crowd]
	// sendsSharedBody makes some requests use sharedBody, and some repeat a failed one.
	sendsSharedBody bool
	// failedBody and failedPath are those of the last request if it failed. It may be
	// sent again.
	failedBody, failedPath string
}

func (c *caller) run(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("c%d-%d", c.index, i)
		c.send(ctx, id, paths[c.rnd.IntN(len(paths))])
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rnd.IntN(30)) * time.Millisecond):
		}
	}
}

func (c *caller) send(ctx context.Context, id, path string) {
	body := strings.Repeat(id+" ", 1+c.rnd.IntN(200))
	switch {
	case c.sendsSharedBody && c.failedBody != "" && c.rnd.IntN(2) == 0:
		body, path = c.failedBody, c.failedPath
	case c.sendsSharedBody && c.rnd.IntN(sharedBodyRatio) == 0:
		body = sharedBody
	}
	served := c.sendBody(ctx, id, path, body)
	if path == "/stream/" && c.broke && (served || c.repeatsAtOnce()) {
		// An HTTP library asks at once for a stream that broke, also for one that cannot be resumed.
		served = c.sendBody(ctx, id+"-anew", path, body)
	}
	if !served && path == "/resume/" && c.repeatsAtOnce() && c.rnd.IntN(2) == 0 {
		// A caller repeats a request that failed once, with another id and all else unchanged.
		served = c.sendBody(ctx, id+repeatSuffix, path, body)
	}
	if served {
		c.failedBody = ""
		return
	}
	c.failedBody, c.failedPath = body, path
}

// repeatsAtOnce reports whether the caller sends a request again at once that its target broke off. While
// requests crash targets, callers repeat failed ones later (failedBody): with both, four targets ended under
// one sound request before any was answered, so that it was held.
func (c *caller) repeatsAtOnce() bool { return !c.sendsSharedBody }

// sendBody sends one request, and comes back for its stream if that broke and may be resumed. It reports
// whether the request received a complete successful response.
func (c *caller) sendBody(ctx context.Context, id, path, body string) bool {
	c.held = nil
	served := c.attempt(ctx, id, path, body)
	if c.held != nil {
		c.comeBack(ctx, *c.held)
	}
	return served
}

// attempt sends one request and reports whether it received a complete successful response.
func (c *caller) attempt(ctx context.Context, id, path, body string) (served bool) {
	limit := requestTimeout
	events := path == "/stream/" || path == "/resume/"
	// Some callers give up early.
	if c.rnd.IntN(40) == 0 {
		limit = time.Duration(1+c.rnd.IntN(100)) * time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, limit+time.Second)
	defer cancel()
	r, d, err := c.newRequest(ctx, id, path, body, c.keys.random(c.rnd))
	if err != nil {
		return false
	}
	if l := c.losses.Load(); l != nil {
		defer func() { l.record(d, served) }()
	}
	key := r.Header.Get(c.headers.Key)
	r.Header.Set(c.headers.Deadline, strconv.FormatInt(limit.Milliseconds(), 10))
	c.history.recordRequest(id, &request{
		atMostOnce: path == "/once/" || path == "/stream/", body: body, sentAt: time.Now(), key: key, lastEvent: c.setLastEvent(r, path), daemon: d,
	})
	if limit == requestTimeout && !c.keys.isRevoked(key) {
		c.attempted.Add(1)
		defer func() {
			if served {
				c.succeeded.Add(1)
			}
		}()
	}
	at, status := c.crowd.Load(), 0
	if limit == requestTimeout {
		defer func() { c.countCrowd(at, d, status, served) }()
	}
	resp, err := c.pickClient().Do(r)
	if err != nil {
		return false // a closed connection says nothing about whether the request ran
	}
	defer resp.Body.Close()
	status = resp.StatusCode
	text, dropped, err := readStream(resp.Body, c.dropAfter(path))
	if events {
		c.recordStream(id, path, resp, text, dropped, err)
	}
	if c.broke && path == "/resume/" {
		c.held = newHeldStream(id, body, key, r.Header.Get(c.headers.Parts), text)
	}
	if dropped {
		return true // the caller had what it wanted
	}
	if err == nil && endsWithConnection(resp) && c.history.quietlyBroken(id) {
		c.checkQuietBreak(id, events, text)
		return false
	}
	c.checkResponse(id, events, resp, text, err)
	if !c.poison {
		c.history.check(invariantNotHeld, !isHeldRefusal(text), "%s was answered %s", id, text)
	}
	return resp.StatusCode == http.StatusOK && err == nil
}

// staleIDRatio is the ratio of all streams that may not be resumed to those whose caller sends the id of
// the last event that it has seen, which was another stream's.
const staleIDRatio = 4

// setLastEvent sets and returns the Last-Event-Id of a new request, or "". HTTP libraries add one to any
// stream once they have seen an id. A request after a stream that broke always has one.
func (c *caller) setLastEvent(r *http.Request, path string) string {
	again := c.broke
	c.broke = false
	if path != "/stream/" || c.seen == 0 || !again && c.rnd.IntN(staleIDRatio) > 0 {
		return ""
	}
	n := strconv.Itoa(c.seen)
	r.Header.Set(c.headers.Event, n)
	return n
}

// recordStream records and checks what the caller has of a stream.
func (c *caller) recordStream(id, path string, resp *http.Response, text string, dropped bool, err error) {
	began := resp.StatusCode == http.StatusOK && text != ""
	if began {
		c.seen = strings.Count(text, "\n\n")
		c.broke = c.seen > 0 && (dropped || err != nil)
	}
	if path == "/resume/" {
		c.streams.countNew(began)
	}
	if c.broke {
		c.checkStream(id, text, io.ErrUnexpectedEOF)
	}
	if !dropped {
		c.checkKilled(id, resp, text, eventsText(id, originOf(text), 1, streamEvents), err)
	}
}

// requestTimeout is the time limit of a request.
const requestTimeout = 3 * time.Second

// newRequest returns a request to a random daemon.
func (c *caller) newRequest(ctx context.Context, id, path, body, key string) (*http.Request, *process, error) {
	return c.newRequestTo(ctx, c.pickDaemon(id), id, path, body, key)
}

// pickDaemon returns the daemon for a new request.
func (c *caller) pickDaemon(id string) *process {
	d := c.daemons[c.rnd.IntN(len(c.daemons))]
	if at := c.crowd.Load(); at != nil && at.at != nil && xxhash.Sum64String(id)%crowdSpared != 0 {
		d = at.at
	}
	return d
}

func (c *caller) newRequestTo(ctx context.Context, d *process, id, path, body, key string) (*http.Request, *process, error) {
	form := ""
	if path == "/stream/" || path == "/resume/" {
		form = "?form=events"
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callerAddr+path+"x"+form, bytes.NewReader([]byte(body)))
	if err != nil {
		return nil, nil, err
	}
	// Prevents http.Transport from resending the request on its own.
	r.GetBody = nil
	r.Host = host
	r.Header.Set(c.headers.ID, id)
	r.Header.Set(c.headers.Key, key)
	if c.prompt == nil {
		r.Header.Set(c.headers.Parts, soundPrompt(strings.TrimSuffix(id, repeatSuffix)))
	} else {
		r.Header.Set(c.headers.Parts, c.prompt(id))
	}
	r.Header.Set(c.headers.Deadline, strconv.FormatInt(requestTimeout.Milliseconds(), 10))
	return r, d, nil
}

// oldClientRatio is the ratio of all requests to those of HTTP/1.0.
const oldClientRatio = 8

// pickClient returns what sends the next request.
func (c *caller) pickClient() *http.Client {
	if at := c.crowd.Load(); at != nil && at.at != nil {
		return at.client
	}
	if c.rnd.IntN(oldClientRatio) == 0 {
		return &http.Client{Transport: oldTransport{}}
	}
	return c.client
}

// checkQuietBreak checks a response that ends with its connection, as that of its target did, which had
// broken it off.
func (c *caller) checkQuietBreak(id string, events bool, text string) {
	whole := responseBody(id)
	if events {
		whole = eventsText(id, originOf(text), 1, streamEvents)
	}
	c.history.check(invariantComplete, strings.HasPrefix(whole, text), "%s was answered %q", id, text)
	if events {
		c.history.check(invariantStream, text == "" || strings.HasSuffix(text, "\n\n"), "%s ended inside an event: %q", id, text)
	}
}

// checkResponse checks a response against the invariants.
func (c *caller) checkResponse(id string, events bool, resp *http.Response, text string, err error) {
	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.history.recordRefusal(id, resp.StatusCode)
		return
	default:
		return
	}
	signed := strings.HasPrefix(resp.Header.Get(c.headers.Signature), "by ")
	c.history.check(invariantComplete, signed, "%s was answered without a signature", id)
	if events {
		c.checkStream(id, text, err)
		return
	}
	if err == nil {
		c.history.check(invariantComplete, text == responseBody(id), "%s was answered %q", id, text)
	}
}

// checkStream checks that a stream ended with the last event, or that a broken stream is
// a prefix of the complete one.
func (c *caller) checkStream(id, text string, err error) {
	want := eventsText(id, originOf(text), 1, streamEvents)
	if err == nil {
		c.history.check(invariantStream, text == want, "%s completed with %q", id, text)
		return
	}
	c.history.check(invariantStream, strings.HasPrefix(want, text), "%s was truncated after %q", id, text)
}
