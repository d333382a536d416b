// Package engine implements a fake model engine with continuous batching.
package engine

import (
	"maps"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/valyala/fasthttp"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/fake/wire"
	"github.com/fireflypath/fireflypath/internal/loopback"
)

// Config configures an engine.
type Config struct {
	// Addr is the IP address and port to listen on; if empty, a free port of this
	// process's loopback address is used.
	Addr string
	// Batch is the maximum number of concurrent requests; 0 means 8.
	Batch int
	// Prefill is the number of prompt tokens processed per second. Prompts are
	// processed one after the other; 0 means instantly.
	Prefill float64
	// Decode is the number of output tokens per second of each request; 0 means instantly.
	Decode float64
	// Cache is the size of the prefix cache in tokens; 0 disables it.
	Cache int
	// Lag is the delay of load reports and cache events.
	Lag time.Duration
	// DropEvery drops every n-th cache event; 0 drops none.
	DropEvery int
	// IgnoreFences makes the engine execute orders with outdated fencing numbers.
	IgnoreFences bool
	// WithoutCounts disables the counts by request id and the retention of finished
	// streams, whose memory grows with the number of requests; for benchmarks.
	WithoutCounts bool
}

// defaultBatch applies if Config.Batch is 0.
const defaultBatch = 8

// stepInterval is the time between two steps of the batch. It is shorter than the
// interval between tokens at typical speeds (20 ms at 50 tokens per second), so that
// tokens are not emitted in bursts.
const stepInterval = 4 * time.Millisecond

// Counts holds the engine's counters, for tests and the demo.
type Counts struct {
	// Dispatches counts the requests received by id, including refused ones.
	Dispatches map[string]int `json:"dispatches"`
	// Runs counts the requests started by id.
	Runs map[string]int `json:"runs"`
	// Prefill is the number of prompt tokens processed, without cache hits.
	Prefill int `json:"prefill"`
	// Wasted is the part of Prefill whose answers were cancelled or not fully delivered.
	Wasted int `json:"wasted"`
	// Waste is Wasted by request id.
	Waste map[string]int `json:"waste"`
	// Cached is the number of prompt tokens found in the cache.
	Cached int `json:"cached"`
	// Resumes and Cancels count the calls that found a retained stream.
	Resumes int `json:"resumes"`
	Cancels int `json:"cancels"`
	// Orders are the executed orders in sequence. Stale counts those with a lower
	// fencing number than an earlier order.
	Orders []fireflypath.Order `json:"orders"`
	Stale  int                 `json:"stale"`
}

// addWasted counts the prefill of a stream as wasted.
func (c *Counts) addWasted(s *stream) {
	if s.prefilled > 0 {
		c.Wasted += s.prefilled
		c.Waste[s.id] += s.prefilled
	}
}

// Engine is a running fake engine.
type Engine struct {
	cfg    Config
	clock  clockwork.Clock
	faults fault.Set
	ln     *wire.Listener
	server *fasthttp.Server

	mu             sync.Mutex
	closed         bool
	streams        map[string]*stream
	finished       []*stream // oldest first
	waiting        []*stream
	running        []*stream
	lastStep       time.Time
	cache          *cache
	loadHistory    loadSamples
	highestFence   uint64
	executedOrders map[string]bool
	counts         Counts

	wake chan struct{}
	done chan struct{}
	wg   sync.WaitGroup
}

// New starts an engine.
func New(cfg Config, clock clockwork.Clock) (*Engine, error) {
	if cfg.Addr == "" {
		cfg.Addr = loopback.ListenAddr()
	}
	if cfg.Batch == 0 {
		cfg.Batch = defaultBatch
	}
	ln, err := wire.Listen(cfg.Addr)
	if err != nil {
		return nil, err
	}
	e := &Engine{
		cfg:            cfg,
		clock:          clock,
		ln:             ln,
		streams:        make(map[string]*stream),
		cache:          newCache(cfg),
		executedOrders: make(map[string]bool),
		counts:         Counts{Dispatches: make(map[string]int), Runs: make(map[string]int), Waste: make(map[string]int)},
		wake:           make(chan struct{}, 1),
		done:           make(chan struct{}),
	}
	e.server = &fasthttp.Server{
		Handler:               e.handle,
		MaxRequestBodySize:    maxBody,
		NoDefaultServerHeader: true,
		Logger:                wire.DiscardLogger{},
		NoDefaultDate:         true,
	}
	e.wg.Go(func() {
		// Serve only fails when the listener is closed.
		_ = e.server.Serve(ln)
	})
	e.wg.Go(e.run)
	return e, nil
}

// Addr returns the IP address and port.
func (e *Engine) Addr() string {
	return e.ln.Addr().String()
}

// Close stops the engine. Requests in progress get no complete answer.
func (e *Engine) Close() error {
	e.mu.Lock()
	defer e.wg.Wait()
	defer e.mu.Unlock()
	if e.closed {
		return nil
	}
	e.closed = true
	close(e.done)
	for _, s := range e.streams {
		s.notify()
	}
	return e.ln.Close()
}

// Fault applies or removes a fault.
func (e *Engine) Fault(f fault.Fault) error {
	switch f.Name {
	case fault.Die:
		// Close the listener before Fault returns: a request sent afterwards must not
		// reach a target that is half stopped. The rest happens in the background because
		// the caller may be a handler of the server that Close waits for.
		err := e.ln.Close()
		go func() { _ = e.Close() }()
		return err
	case fault.Silent:
		e.ln.Silence()
	case fault.Refuse:
		if f.Off {
			return e.ln.Resume()
		}
		e.ln.Refuse()
	case fault.Clear:
		e.faults.Apply(f)
		return e.ln.Resume()
	case fault.DieOnText, fault.ReadClose, fault.WrongID, fault.Truncate, fault.Break, fault.Forget,
		fault.Slow, fault.Draining, fault.NotRun:
		e.faults.Apply(f)
	default:
		return errors.Wrapf(fault.ErrUnknownName, "%q", f.Name)
	}
	return nil
}

// Counts returns the counters so far.
func (e *Engine) Counts() Counts {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.counts
	c.Dispatches = maps.Clone(c.Dispatches)
	c.Runs = maps.Clone(c.Runs)
	c.Waste = maps.Clone(c.Waste)
	c.Orders = append([]fireflypath.Order(nil), c.Orders...)
	for _, s := range e.streams {
		if !s.delivered && !s.cancelled && (s.finished() || e.closed) {
			c.addWasted(s)
		}
	}
	return c
}
