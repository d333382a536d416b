package main

import (
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/loopback"
)

// arrival is a request that a target has begun to run.
type arrival struct {
	id, target string
	at         time.Time
}

// target is the stand-in of a target of a plain service.
type target struct {
	registration fireflypath.Target
	rec          *record
	server       *http.Server
	work         time.Duration
	slots        chan struct{}

	mu       sync.Mutex
	arrivals []arrival
}

func newTarget(rec *record, name string, slots int, work time.Duration) (*target, error) {
	ln, err := net.Listen("tcp", loopback.ListenAddr())
	if err != nil {
		return nil, err
	}
	t := &target{rec: rec, work: work, slots: make(chan struct{}, slots), registration: fireflypath.Target{
		Name: name, Pool: "records", Addr: ln.Addr().String(), Domain: "a", Slots: slots, Version: "v1",
	}}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute, IdleTimeout: time.Minute}
	go func() { _ = t.server.Serve(ln) }()
	return t, nil
}

func (t *target) close() { _ = t.server.Close() }

// ServeHTTP runs one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(headers.ID)
	w.Header().Set(headers.ID, id)
	if want := r.Header.Get(headers.Target); want != "" && want != t.registration.Name {
		w.Header().Set(headers.Instance, t.registration.Name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case t.slots <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-t.slots }()
	now := time.Now()
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival{id: id, target: t.registration.Name, at: now})
	t.mu.Unlock()
	t.rec.line("run   %s at %s", id, t.registration.Name)
	time.Sleep(t.work)
	w.Header().Set(headers.Signature, "lab."+id)
	w.Header().Set(headers.Load, strconv.Itoa(len(t.slots))+",0,"+strconv.Itoa(cap(t.slots)))
	_, _ = w.Write([]byte("answer to " + id))
}

// taken returns all that the target has run.
func (t *target) taken() []arrival {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]arrival(nil), t.arrivals...)
}
