package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/platform"
	"github.com/fireflypath/fireflypath/platform/standin"
)

const (
	// streamEvents is the number of events of a stream and eventPause the time between
	// two of them. workTime is the duration of a request without a stream.
	streamEvents = 12
	eventPause   = 15 * time.Millisecond
	workTime     = 20 * time.Millisecond
	targetSlots  = 6
)

// target is one incarnation of a target.
type target struct {
	standin.Notices
	name string
	pool string
	// version is the version of its software.
	version string
	// incarnation is unique among all targets of the run and increases with each start.
	incarnation int
	headers     fireflypath.Headers
	history     *history
	srv         *http.Server
	ln          net.Listener
	proxy       *proxy
	// leavingSince is when the registration said that the target is leaving, in Unix
	// nanoseconds, or 0 if the target is not leaving or not checked.
	leavingSince atomic.Int64
	// truncateRate is the fraction of responses that are truncated, dropRate the
	// fraction that is never sent. Both are in thousandths.
	truncateRate, dropRate atomic.Uint64
	crashed                atomic.Bool
	// notices records what became of the target's notices; claimed is true while it has
	// one.
	notices noticeLog
	claimed atomic.Bool
	room    room
	// findPoison returns what crashes the target when it runs a request, or nil. onPoison is
	// called when it starts to, and crashes it.
	findPoison func(body, prompt string) *poisonCrashes
	onPoison   func(*poisonCrashes)
	poisoned   sync.Once

	mu  sync.Mutex
	rnd *rand.Rand
}

func newTarget(name, pool, version string, incarnation int, h *history, ps *ports, seed uint64) (*target, error) {
	ln, err := ps.listen()
	if err != nil {
		return nil, err
	}
	p, err := newProxy(ps, ln.Addr().String())
	if err != nil {
		return nil, err
	}
	t := &target{
		name: name, pool: pool, version: version, incarnation: incarnation, headers: platform.Codec{}.Headers(), history: h, ln: ln, proxy: p,
		rnd: rand.New(rand.NewPCG(seed, 3)),
	}
	t.notices.lostBetween = p.lostBetween
	t.room.setBears(-1)
	t.SetBrittle(-1)
	t.srv = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.srv.Serve(ln) }()
	return t, nil
}

// registration returns the target's registration in the store.
func (t *target) registration() fireflypath.Target {
	return fireflypath.Target{
		Name: t.name, Pool: t.pool, Addr: t.proxy.addr(), Domain: "a", Slots: targetSlots, Drained: t.leavingSince.Load() != 0,
		Incarnation: uint64(t.incarnation), Version: t.version,
	}
}

func (t *target) crash() {
	t.crashed.Store(true)
	t.proxy.close()
	_ = t.srv.Close() // an error does not matter for a crash
}

func (t *target) happens(part uint64) bool {
	return uint64(t.randN(1000)) < part
}

// randN returns a random number in [0, n). It is safe for concurrent use.
func (t *target) randN(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rnd.IntN(n)
}

// ServeHTTP handles one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := r.Header.Get(t.headers.ID)
	h.Set(t.headers.ID, id)
	if want := r.Header.Get(t.headers.Target); want != t.name {
		h.Set(t.headers.Instance, t.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if at := t.leavingSince.Load(); at != 0 {
		late := time.Since(time.Unix(0, at))
		t.history.check(invariantDrained, late < drainTime, "%s reached %s %v after the target announced that it is leaving", id, t.name, late)
	}
	from, sentAt := t.history.originOf(id)
	t.checkNotices(id, from, sentAt)
	t.WriteHeader(h)
	if backoff := t.TurnAway(w); backoff > 0 {
		t.notices.recordAnswer(time.Now(), from, t.Leaving(), backoff)
		return
	}
	if !t.takeRoom(w, from) {
		return
	}
	defer t.room.leave()
	t.history.recordRun(id, string(body), t.name)
	t.history.checkLastEvent(id, r.Header.Get(t.headers.Event), mayResume(r.URL.Path))
	h.Set(t.headers.Signature, "by "+t.name)
	leaving := t.Leaving()
	defer func() { t.notices.recordAnswer(time.Now(), from, leaving, 0) }()
	if c := t.findPoison(string(body), r.Header.Get(t.headers.Parts)); c != nil {
		time.Sleep(workTime)
		go t.poisoned.Do(func() { t.onPoison(c) }) // closing the server must not wait for this handler
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if t.happens(t.dropRate.Load()) {
		panic(http.ErrAbortHandler)
	}
	if form := r.URL.Query().Get("form"); form == "events" {
		t.stream(w, r)
		return
	}
	time.Sleep(workTime)
	t.answerWhole(w, id)
}

// answerWhole sends the answer to a request that wants no stream.
func (t *target) answerWhole(w http.ResponseWriter, id string) {
	text, e := responseBody(id), t.drawEnding(0)
	e.setFrame(w.Header(), len(text))
	if !e.breaks {
		_, _ = io.WriteString(w, text)
		return
	}
	if e.unframed {
		t.history.recordQuietBreak(id)
	}
	_, _ = io.WriteString(w, text[:len(text)/2])
	e.end(w)
}

func responseBody(id string) string {
	if strings.HasPrefix(id, slowReaderPrefix) {
		return strings.Repeat("x", largeAnswerSize)
	}
	return "the whole answer to " + id
}

// eventText returns an event. Its last word is the origin: the pool and version of the target.
func eventText(id, origin string, n int) string {
	return fmt.Sprintf("id: %d\ndata: %s %d %s\n\n", n, id, n, origin)
}

// eventsText returns the events of a stream from one to another.
func eventsText(id, origin string, from, to int) string {
	text := ""
	for n := from; n <= to; n++ {
		text += eventText(id, origin, n)
	}
	return text
}

// mayResume reports whether streams of a path may be resumed. Targets answer others whole, whatever
// Last-Event-Id says.
func mayResume(path string) bool { return strings.HasPrefix(path, "/resume/") }

func (t *target) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(t.headers.ID)
	from := 0
	if mayResume(r.URL.Path) {
		from, _ = strconv.Atoi(r.Header.Get(t.headers.Event))
	}
	end := t.drawEnding(from)
	end.setFrame(w.Header(), -1)
	w.WriteHeader(http.StatusOK)
	defer t.history.closeAnswer(id)
	for n := from + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			if end.unframed && t.crashed.Load() {
				t.history.recordQuietBreak(id)
			}
			return
		case <-time.After(eventPause):
		}
		e := eventText(id, t.pool+"/"+t.version, n)
		if end.breaks && n == end.lastEvent {
			t.breakStream(w, id, e, end)
			return
		}
		_, _ = io.WriteString(w, e)
		w.(http.Flusher).Flush()
		t.history.openAnswer(id, openAnswer{through: t.proxy.clientOf(r.RemoteAddr), unframed: end.unframed})
	}
}

// breakStream breaks a stream off at an event.
func (t *target) breakStream(w http.ResponseWriter, id, event string, end ending) {
	switch {
	case end.insideEvent:
		_, _ = io.WriteString(w, event[:len(event)/2])
	case end.unframed:
		t.history.recordQuietBreak(id)
	default:
		end.inOrder = false // the target would vouch for the end
	}
	end.end(w)
}
