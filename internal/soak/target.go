package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/platform"
)

const (
	// streamEvents is the number of events of a stream, eventPause the time
	// between two; workTime is how long a plain request takes.
	streamEvents = 12
	eventPause   = 15 * time.Millisecond
	workTime     = 20 * time.Millisecond
	targetSlots  = 6
)

// target is one life of a back end.
type target struct {
	name string
	pool string
	// life is the number of this life among those of all targets; it grows, so it
	// is the incarnation too.
	life   int
	names  fireflypath.Headers
	ledger *ledger
	srv    *http.Server
	ln     net.Listener
	proxy  *proxy
	// left is when its registration said that it leaves, in Unix nanoseconds; 0
	// while it does not.
	left atomic.Int64
	// cut is the part of answers that break off, lose the part that is never sent.
	cut, lose atomic.Uint64 // in thousandths
	// dies ends it, when it begins to run the deadly request.
	dies func()

	mu  sync.Mutex
	rnd *rand.Rand
}

func newTarget(name, pool string, life int, l *ledger, ps *ports, seed uint64) (*target, error) {
	ln, err := ps.listen()
	if err != nil {
		return nil, err
	}
	p, err := newProxy(ps, ln.Addr().String())
	if err != nil {
		return nil, err
	}
	t := &target{
		name: name, pool: pool, life: life, names: platform.Codec{}.Headers(), ledger: l, ln: ln, proxy: p,
		rnd: rand.New(rand.NewPCG(seed, 3)),
	}
	t.srv = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.srv.Serve(ln) }()
	return t, nil
}

// registration is what the target writes about itself.
func (t *target) registration() fireflypath.Target {
	return fireflypath.Target{
		Name: t.name, Pool: t.pool, Addr: t.proxy.addr(), Domain: "a", Slots: targetSlots, Drained: t.left.Load() != 0,
		Incarnation: uint64(t.life),
	}
}

func (t *target) crash() {
	t.proxy.close()
	_ = t.srv.Close() // a crash has no use for the error
}

func (t *target) chance(part uint64) bool {
	return uint64(t.draw(1000)) < part
}

// draw is a number below n; requests draw at the same time.
func (t *target) draw(n int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.rnd.IntN(n)
}

// ServeHTTP runs one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	h := w.Header()
	id := r.Header.Get(t.names.ID)
	h.Set(t.names.ID, id)
	if want := r.Header.Get(t.names.Target); want != t.name {
		h.Set(t.names.Instance, t.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if at := t.left.Load(); at != 0 {
		late := time.Since(time.Unix(0, at))
		t.ledger.check(promiseDrained, late < drainTime, "%s reached %s %v after that said it leaves", id, t.name, late)
	}
	t.ledger.ran(id, string(body), t.name)
	h.Set(t.names.Signature, "by "+t.name)
	if string(body) == deadlyBody {
		time.Sleep(workTime)
		go t.dies() // it waits for the handlers of the server
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if t.chance(t.lose.Load()) {
		panic(http.ErrAbortHandler)
	}
	if form := r.URL.Query().Get("form"); form == "events" {
		t.stream(w, r)
		return
	}
	time.Sleep(workTime)
	text := answerOf(id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if t.chance(t.cut.Load()) {
		_, _ = io.WriteString(w, text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, text)
}

func answerOf(id string) string { return "the whole answer to " + id }

func eventOf(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s %d\n\n", n, id, n) }

func (t *target) stream(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(t.names.ID)
	from, _ := strconv.Atoi(r.Header.Get(t.names.Event))
	breaks := streamEvents + 1
	if t.chance(t.cut.Load()) {
		breaks = from + 1 + t.draw(streamEvents)
	}
	w.WriteHeader(http.StatusOK)
	for n := from + 1; n <= streamEvents; n++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventPause):
		}
		e := eventOf(id, n)
		if n == breaks {
			_, _ = io.WriteString(w, e[:len(e)/2])
			w.(http.Flusher).Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, e)
		w.(http.Flusher).Flush()
	}
}
