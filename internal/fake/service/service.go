// Package service implements a fake plain service with calls that must not all be repeated.
package service

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath/internal/fake/answer"
	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/fake/wire"
	"github.com/fireflypath/fireflypath/internal/loopback"
)

// Config configures a service.
type Config struct {
	// Addr is the IP address and port to listen on; if empty, a free port of this
	// process's loopback address is used.
	Addr string
	// Delay is the duration of each call.
	Delay time.Duration
	// Batch is the capacity that the load report shows; 0 means unknown.
	Batch int
}

// Counts holds the service's counters, for tests and the demo.
type Counts struct {
	// Dispatches counts the requests received by id, including refused ones.
	Dispatches map[string]int `json:"dispatches"`
	// Runs counts the calls that took effect, by request id.
	Runs map[string]int `json:"runs"`
	// Keys counts the calls that took effect, by the caller's Idempotency-Key.
	Keys map[string]int `json:"keys"`
}

// Echo is the response to a call.
type Echo struct {
	Method string `json:"method"`
	Path   string `json:"path"`
	Query  string `json:"query,omitempty"`
	Key    string `json:"key,omitempty"`
	Body   string `json:"body"`
	// Run is the number of calls that took effect so far, including this one.
	Run int64 `json:"run"`
}

// Service is a running fake service. A call takes effect once it is read, before the
// delay and before a fault cuts its response.
type Service struct {
	cfg     Config
	clock   clockwork.Clock
	faults  fault.Set
	ln      *wire.Listener
	served  chan struct{}
	runs    atomic.Int64
	running atomic.Int64

	mu     sync.Mutex
	counts Counts
}

// New starts a service.
func New(cfg Config, clock clockwork.Clock) (*Service, error) {
	if cfg.Addr == "" {
		cfg.Addr = loopback.ListenAddr()
	}
	ln, err := wire.Listen(cfg.Addr)
	if err != nil {
		return nil, err
	}
	s := &Service{cfg: cfg, clock: clock, ln: ln, served: make(chan struct{})}
	s.counts = Counts{Dispatches: make(map[string]int), Runs: make(map[string]int), Keys: make(map[string]int)}
	server := &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, Logger: wire.DiscardLogger{}}
	go func() {
		defer close(s.served)
		// Serve only fails when the listener is closed.
		_ = server.Serve(ln)
	}()
	return s, nil
}

// Addr returns the IP address and port.
func (s *Service) Addr() string {
	return s.ln.Addr().String()
}

// Close stops the service and closes its connections.
func (s *Service) Close() error {
	err := s.ln.Close()
	<-s.served
	return err
}

// Fault applies or removes a fault.
func (s *Service) Fault(f fault.Fault) error {
	switch f.Name {
	case fault.Die:
		return s.ln.Close()
	case fault.Silent:
		s.ln.Silence()
	case fault.Refuse:
		if f.Off {
			return s.ln.Resume()
		}
		s.ln.Refuse()
	case fault.Clear:
		s.faults.Apply(f)
		return s.ln.Resume()
	case fault.DieOnText, fault.ReadClose, fault.WrongID, fault.Break, fault.Slow, fault.Draining, fault.NotRun:
		s.faults.Apply(f)
	default:
		return errors.Wrapf(fault.ErrUnknownName, "%q", f.Name)
	}
	return nil
}

// Counts returns the counters so far.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Counts{
		Dispatches: maps.Clone(s.counts.Dispatches),
		Runs:       maps.Clone(s.counts.Runs),
		Keys:       maps.Clone(s.counts.Keys),
	}
}

func (s *Service) handle(r *fasthttp.RequestCtx) {
	switch string(r.Path()) {
	case "/load":
		s.serveLoad(r)
	case "/counts":
		answer.JSON(r, s.Counts())
	case "/fault":
		answer.Fault(r, s.Fault)
	default:
		s.serveCall(r)
	}
}

func (s *Service) serveLoad(r *fasthttp.RequestCtx) {
	_, draining := s.faults.Trigger(fault.Draining)
	n := s.running.Load()
	answer.JSON(r, engine.Load{
		At: s.clock.Now().UnixMilli(), Running: int(n), Tokens: int(n), Batch: s.cfg.Batch, Draining: draining,
	})
}

func (s *Service) serveCall(r *fasthttp.RequestCtx) {
	s.running.Add(1)
	defer s.running.Add(-1)
	id := string(r.Request.Header.Peek("X-Request-Id"))
	s.increment(s.counts.Dispatches, id)
	if _, ok := s.faults.Trigger(fault.ReadClose); ok {
		wire.CloseConnection(r)
		return
	}
	for _, name := range []fault.Name{fault.Draining, fault.NotRun} {
		if _, ok := s.faults.Trigger(name); ok {
			engine.WriteNotRun(r, name)
			return
		}
	}
	if s.faults.TriggerDieOnText(r.PostBody()) {
		// Die stops the whole service, so nobody is left to handle the error.
		_ = s.Fault(fault.Fault{Name: fault.Die})
		wire.CloseConnection(r)
		return
	}
	e := s.execute(r, id)
	s.delay()
	if _, ok := s.faults.Trigger(fault.Break); ok {
		wire.CloseConnection(r)
		return
	}
	if _, ok := s.faults.Trigger(fault.WrongID); ok {
		id = "other-" + id
	}
	r.Response.Header.Set("X-Request-Id", id)
	answer.JSON(r, e)
}

// execute counts the call as run and returns its echo.
func (s *Service) execute(r *fasthttp.RequestCtx, id string) Echo {
	key := string(r.Request.Header.Peek("Idempotency-Key"))
	s.increment(s.counts.Runs, id)
	if key != "" {
		s.increment(s.counts.Keys, key)
	}
	return Echo{
		Method: string(r.Method()),
		Path:   string(r.Path()),
		Query:  string(r.URI().QueryString()),
		Key:    key,
		Body:   string(r.PostBody()),
		Run:    s.runs.Add(1),
	}
}

func (s *Service) increment(m map[string]int, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m[name]++
}

func (s *Service) delay() {
	d := s.cfg.Delay
	if f, ok := s.faults.Trigger(fault.Slow); ok {
		d += f.Delay.Std() + time.Duration(float64(d)*max(0, f.Factor-1))
	}
	if d > 0 {
		s.clock.Sleep(d)
	}
}
