package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// dropRatio is the ratio of all streams to those whose caller drops its
	// connection after some events.
	dropRatio = 3
	// maxReturnDelay is the longest time until a caller comes back that does not do so at once.
	maxReturnDelay = 1500 * time.Millisecond
	// maxRefused is how often a caller tries again whose connection is refused, refusedPause the time
	// between.
	maxRefused   = 20
	refusedPause = 50 * time.Millisecond
	// maxReturns is how often a caller comes back for one stream.
	maxReturns = 3
	// minReturns is the number of streams from which on the fraction of those that go on is checked,
	// and minGoOnRatio that fraction, relative to new streams that begin.
	minReturns   = 12
	minGoOnRatio = 0.5
)

// versions are the versions of the software of targets.
var versions = []string{"v1", "v2"}

// streamCounts counts streams and those that callers come back for. The callers of a run share them.
type streamCounts struct {
	offered, began, returned, wentOn atomic.Int64
}

// reset begins to count anew.
func (c *streamCounts) reset() {
	for _, n := range []*atomic.Int64{&c.offered, &c.began, &c.returned, &c.wentOn} {
		n.Store(0)
	}
}

// check checks that streams go on that callers come back for, where new ones begin.
func (c *streamCounts) check(h *history) {
	returned, offered := c.returned.Load(), c.offered.Load()
	if returned < minReturns || offered == 0 {
		return
	}
	begin, goOn := float64(c.began.Load())/float64(offered), float64(c.wentOn.Load())/float64(returned)
	h.check(invariantGoesOn, goOn >= minGoOnRatio*begin, "%.2f of %d resumed streams went on, %.2f of %d new ones began", goOn, returned, begin, offered)
}

// countNew counts a new stream.
func (c *streamCounts) countNew(began bool) {
	c.offered.Add(1)
	if began {
		c.began.Add(1)
	}
}

// heldStream is what a caller has of a stream.
type heldStream struct {
	// firstID is the id of the request that brought the first event.
	firstID, body, key, prompt string
	// origin is the pool and version that began it.
	origin string
	events int
}

// newHeldStream returns what a caller has of a stream that broke after the text.
func newHeldStream(id, body, key, prompt, text string) *heldStream {
	text = wholeEvents(text)
	return &heldStream{firstID: id, body: body, key: key, prompt: prompt, origin: originOf(text), events: strings.Count(text, "\n\n")}
}

// dropAfter returns after how many events the caller drops a stream, or more than there are.
func (c *caller) dropAfter(path string) int {
	if (path == "/resume/" || path == "/stream/") && c.rnd.IntN(dropRatio) == 0 {
		return 1 + c.rnd.IntN(streamEvents/2)
	}
	return streamEvents + 1
}

// readStream reads a body up to a number of events. dropped is true if it has so many.
func readStream(r io.Reader, maxEvents int) (text string, dropped bool, err error) {
	var out bytes.Buffer
	b := make([]byte, 512)
	for {
		n, err := r.Read(b)
		out.Write(b[:n])
		if bytes.Count(out.Bytes(), []byte("\n\n")) >= maxEvents {
			return wholeEvents(out.String()), true, nil
		}
		if errors.Is(err, io.EOF) {
			return out.String(), false, nil
		}
		if err != nil {
			return out.String(), false, err
		}
	}
}

// wholeEvents returns the text up to its last complete event.
func wholeEvents(text string) string { return text[:strings.LastIndex(text, "\n\n")+len("\n\n")] }

// originOf returns the pool and version in the first event of a text, or "".
func originOf(text string) string {
	line, _, _ := strings.Cut(text, "\n\n")
	return line[strings.LastIndex(line, " ")+1:]
}

// comeBack takes a stream up again until it is complete, half of the time at once.
func (c *caller) comeBack(ctx context.Context, s heldStream) {
	if c.rnd.IntN(2) == 0 {
		sleep(ctx, time.Duration(c.rnd.Int64N(int64(maxReturnDelay))))
	}
	for n, refused := 1, 0; n <= maxReturns && s.events < streamEvents && ctx.Err() == nil; n++ {
		err := c.comeBackOnce(ctx, &s, fmt.Sprintf("%s-again%d-%d", s.firstID, n, refused))
		if errors.Is(err, syscall.ECONNREFUSED) && refused < maxRefused {
			// The daemon starts; nobody has read the request.
			refused++
			n--
			sleep(ctx, refusedPause)
		}
	}
}

// pickReturn returns the daemon at which the caller comes back.
func (c *caller) pickReturn(id string) *process {
	if d := c.returnsTo.Load(); d != nil && c.rnd.IntN(4) > 0 {
		return d
	}
	return c.pickDaemon(id)
}

func (c *caller) comeBackOnce(ctx context.Context, s *heldStream, id string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout+time.Second)
	defer cancel()
	r, d, err := c.newRequestTo(ctx, c.pickReturn(id), id, "/resume/", s.body, s.key)
	if err != nil {
		return err
	}
	r.Header.Set(c.headers.Parts, s.prompt)
	r.Header.Set(c.headers.Event, strconv.Itoa(s.events))
	if c.rnd.IntN(2) == 0 {
		r.Header.Set(c.headers.Resumes, s.firstID)
	}
	c.history.recordRequest(id, &request{body: s.body, sentAt: time.Now(), key: s.key, lastEvent: strconv.Itoa(s.events), daemon: d})
	resp, err := c.pickClient().Do(r)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	c.streams.returned.Add(1)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		c.checkReturn(s, id, resp, string(text), err)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.history.recordRefusal(id, resp.StatusCode)
	}
	return nil
}

// checkReturn checks what a caller got of a stream when it came back.
func (c *caller) checkReturn(s *heldStream, id string, resp *http.Response, text string, err error) {
	want := eventsText(id, s.origin, s.events+1, streamEvents)
	if text != "" {
		c.history.check(invariantVersions, originOf(text) == s.origin, "%s began at %s and goes on at %s as %s", s.firstID, s.origin, originOf(text), id)
	}
	c.checkKilled(id, resp, text, want, err)
	ok := text == want || err != nil || endsWithConnection(resp) && c.history.quietlyBroken(id)
	c.history.check(invariantStream, ok && strings.HasPrefix(want, text), "%s went on after %d with %q", id, s.events, text)
	if text == want {
		c.streams.wentOn.Add(1)
	}
	s.events += strings.Count(text, "\n\n")
}

// fewestOfVersion returns the number of targets of the version of the first pool that has fewest.
func (r *run) fewestOfVersion() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for _, t := range r.targets {
		counts[t.version]++
	}
	fewest := len(r.targets)
	for _, v := range versions {
		fewest = min(fewest, counts[v])
	}
	return fewest
}

// versionOfIncarnation returns the version of the next target. One that crashed may come back as another.
func versionOfIncarnation(n int) string { return versions[n%len(versions)] }
