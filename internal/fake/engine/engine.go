// Package engine is a small stand-in for a model engine with continuous batching.
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

// Config sets an engine's speeds and habits.
type Config struct {
	// Addr is an IP number and a port; empty takes a free one of this process's own.
	Addr string
	// Batch is the largest number of requests that run at once; 0 takes 8.
	Batch int
	// Prefill is the engine's speed over all prompts, which it reads one after
	// the other, in tokens a second; 0 takes no time.
	Prefill float64
	// Decode is the speed of each running request in tokens a second; 0 takes no time.
	Decode float64
	// Cache is the memory for prompt prefixes in tokens; 0 keeps none.
	Cache int
	// Lag is how late load reports and cache events are.
	Lag time.Duration
	// DropEvery loses each Gap-th cache event; 0 loses none.
	DropEvery int
	// IgnoreFences makes the engine ignore the fencing numbers of orders.
	IgnoreFences bool
	// WithoutCounts keeps no counts by request id, whose memory grows, and no
	// streams that have ended; for benchmarks.
	WithoutCounts bool
}

// defaultBatch is used where none is set.
const defaultBatch = 8

// stepInterval is the time between steps of the batch. It is below the time between
// tokens that the stand-ins are asked for (20 ms at 50 tokens a second), so
// that tokens do not come in lumps.
const stepInterval = 4 * time.Millisecond

// Counts are what the engine saw, for tests and the demo.
type Counts struct {
	// Dispatches counts the requests read, by id, refused ones among them.
	Dispatches map[string]int `json:"dispatches"`
	// Runs counts the requests taken in to run, by id.
	Runs map[string]int `json:"runs"`
	// Prefill is the number of prompt tokens computed, cache hits left out.
	Prefill int `json:"prefill"`
	// Wasted is the part of Prefill whose answers were cancelled or never read to the end.
	Wasted int `json:"wasted"`
	// Waste is Wasted by request id.
	Waste map[string]int `json:"waste"`
	// Cached is the number of prompt tokens found in the cache.
	Cached int `json:"cached"`
	// Resumes and Cancels count the calls that met a kept stream.
	Resumes int `json:"resumes"`
	Cancels int `json:"cancels"`
	// Orders were obeyed, in this sequence; Stale counts those of them that
	// carried an older fencing number than one before.
	Orders []fireflypath.Order `json:"orders"`
	Stale  int                 `json:"stale"`
}

// addWasted counts a stream's prefill as done for nothing.
func (c *Counts) addWasted(s *stream) {
	if s.prefilled > 0 {
		c.Wasted += s.prefilled
		c.Waste[s.id] += s.prefilled
	}
}

// Engine is a running stand-in.
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
		// The only error is the listener's end.
		_ = e.server.Serve(ln)
	})
	e.wg.Go(e.run)
	return e, nil
}

// Addr is the IP number and port.
func (e *Engine) Addr() string {
	return e.ln.Addr().String()
}

// Close ends the engine; work under way is never answered.
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

// Fault shows a fault, or takes it back.
func (e *Engine) Fault(f fault.Fault) error {
	switch f.Name {
	case fault.Die:
		// Nothing is accepted any more once Fault returns: a request sent then must
		// not meet a target that is half dead. The rest is not waited for, as the
		// caller may be a handler of the server that Close waits for.
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

// Counts reads the counts so far.
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
