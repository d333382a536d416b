package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/platform"
	"github.com/fireflypath/fireflypath/platform/standin"
)

// workTime is how long a replica works on a request.
const workTime = 20 * time.Millisecond

// headers are the names of the platform's headers.
var headers = platform.Codec{}.Headers()

// execution is one run of a request at a replica.
type execution struct {
	at     time.Time
	tenant string
}

// target is a sound replica.
type target struct {
	name, service string
	record        *record
	ln            net.Listener
	srv           *http.Server

	mu   sync.Mutex
	runs map[string]execution
}

func newTarget(name, service string, r *record) (*target, error) {
	ln, err := net.Listen("tcp", loopback.ListenAddr())
	if err != nil {
		return nil, err
	}
	t := &target{name: name, service: service, record: r, ln: ln, runs: map[string]execution{}}
	t.srv = &http.Server{Handler: t, ReadHeaderTimeout: time.Minute}
	go func() { _ = t.srv.Serve(ln) }()
	return t, nil
}

// register writes the registration of a replica to the store, in the format of the project's stand-in.
func (w *world) register(t *target, service, zone string, slots int) error {
	encoder := standin.New()
	err := encoder.PutTarget(fireflypath.Target{Name: t.name, Pool: service, Addr: t.ln.Addr().String(), Domain: zone, Slots: slots})
	if err != nil {
		return err
	}
	key := platform.Codec{}.TargetPrefix() + t.name
	w.store.Put(key, encoder.Get(key))
	return nil
}

// ServeHTTP runs one request.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id, tenant := r.Header.Get(headers.ID), r.Header.Get(headers.Team)
	w.Header().Set(headers.ID, id)
	if named := r.Header.Get(headers.Target); named != "" && named != t.name {
		w.Header().Set(headers.Instance, t.name)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the request is not whole
	}
	t.mu.Lock()
	t.runs[id] = execution{at: time.Now(), tenant: tenant}
	t.mu.Unlock()
	t.record.line("%s runs %s, tenant %q", t.name, id, tenant)
	time.Sleep(workTime)
	w.Header().Set(headers.Signature, "sig-"+id)
	_, _ = io.WriteString(w, "answer to "+id) // an error means that the daemon has left
}

// ran returns the run of a request.
func (t *target) ran(id string) (execution, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.runs[id]
	return e, ok
}

// runAt returns the service that ran a request.
func (w *world) runAt(id string) (service string, ran bool) {
	for _, t := range w.targets {
		if _, ran := t.ran(id); ran {
			return t.service, true
		}
	}
	return "", false
}

func (t *target) close() { _ = t.srv.Close() } // an error does not matter at the end
