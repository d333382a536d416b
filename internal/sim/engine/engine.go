// Package engine simulates a model engine with continuous batching in virtual time.
package engine

import (
	"time"

	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

// Engine runs requests in a batch of slots. Each step generates one token for
// each request whose prompt was read, and reads one chunk of the prompts that are
// not, in order of arrival. It knows no tiers.
type Engine struct {
	loop  *loop.Loop
	cfg   fleet.Engines
	speed float64
	// slow multiplies it for a while.
	slow float64

	batch []*Run
	queue []*Run
	// stepping is true while a step is in progress.
	stepping bool
	// life tells a step of an earlier life from the present one.
	life int
	down bool
	// Prefilled counts prompt tokens read.
	Prefilled int
}

// Run is one request at an engine.
type Run struct {
	Prompt int
	// Output is the number of tokens to generate; at least 1.
	Output int
	// Event is called with each event; last is true for the final one.
	Event func(now time.Time, last bool)
	// Fail is called if the engine goes down.
	Fail func(now time.Time)

	read, made int
	gone       bool
}

// New returns an idle engine whose times are multiplied by speed.
func New(l *loop.Loop, cfg fleet.Engines, speed float64) *Engine {
	return &Engine{loop: l, cfg: cfg, speed: speed, slow: 1}
}

// Submit takes a request in, or reports that the engine is full or down.
func (e *Engine) Submit(r *Run) bool {
	if e.down || len(e.batch) >= e.cfg.Slots && len(e.queue) >= e.cfg.Queue {
		return false
	}
	e.queue = append(e.queue, r)
	e.admit()
	e.step()
	return true
}

// Cancel ends a request whose caller left.
func (e *Engine) Cancel(r *Run) { r.gone = true }

// Load is the number of running and of waiting requests.
func (e *Engine) Load() (running, waiting int) { return len(e.batch), len(e.queue) }

// Prefilling is the number of running requests whose prompt is not read.
func (e *Engine) Prefilling() int {
	n := 0
	for _, r := range e.batch {
		if r.read < r.Prompt {
			n++
		}
	}
	return n
}

// Down ends the engine's life: all that it holds fails.
func (e *Engine) Down() {
	e.life++
	e.down, e.stepping = true, false
	all := append(e.batch, e.queue...)
	e.batch, e.queue = nil, nil
	for _, r := range all {
		if !r.gone {
			r.Fail(e.loop.Now())
		}
	}
}

// Up begins a new life without work.
func (e *Engine) Up() { e.down = false }

func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.batch) < e.cfg.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if !r.gone {
			e.batch = append(e.batch, r)
		}
	}
}

// step begins a step if there is work and none is in progress.
func (e *Engine) step() {
	if e.stepping || len(e.batch) == 0 {
		return
	}
	e.stepping = true
	decoding, context := 0, 0
	for _, r := range e.batch {
		if r.read >= r.Prompt {
			decoding++
			context += r.Prompt + r.made
		}
	}
	ms := e.cfg.Step + e.cfg.PerSlot*float64(decoding) + e.cfg.PerContext*float64(context)/1000
	first := false
	budget := e.cfg.Chunk
	for _, r := range e.batch {
		n := min(budget, r.Prompt-r.read)
		if n <= 0 {
			continue
		}
		ms += float64(n)/e.cfg.Prefill + e.cfg.Pairs*float64(n)*(float64(r.read)+float64(n)/2)/1e6
		budget -= n
		first = first || r.read+n >= r.Prompt
	}
	if first {
		ms += e.cfg.First
	}
	life := e.life
	e.loop.After(time.Duration(ms*e.speed*e.slow*float64(time.Millisecond)), func() {
		if e.life == life {
			e.end()
		}
	})
}

// end does the work of a step.
func (e *Engine) end() {
	e.stepping = false
	now := e.loop.Now()
	budget := e.cfg.Chunk
	rest := e.batch[:0]
	var events []*Run
	for _, r := range e.batch {
		if r.gone {
			continue
		}
		if r.read < r.Prompt {
			n := min(budget, r.Prompt-r.read)
			budget -= n
			r.read += n
			e.Prefilled += n
			if r.read < r.Prompt {
				rest = append(rest, r)
				continue
			}
		}
		r.made++
		if r.made == 1 || r.made >= r.Output || (r.made-1)%e.cfg.Stride == 0 {
			events = append(events, r)
		}
		if r.made < r.Output {
			rest = append(rest, r)
		}
	}
	clear(e.batch[len(rest):])
	e.batch = rest
	e.admit()
	for _, r := range events {
		r.Event(now, r.made >= r.Output)
	}
	e.step()
}

// Slow multiplies the engine's times from the next step on.
func (e *Engine) Slow(factor float64) { e.slow = factor }

// Gone is true while the engine is down.
func (e *Engine) Gone() bool { return e.down }
