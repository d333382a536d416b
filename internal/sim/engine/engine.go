// Package engine simulates a model engine with continuous batching in virtual time.
package engine

import (
	"time"

	"github.com/fireflypath/fireflypath/internal/sim/fleet"
	"github.com/fireflypath/fireflypath/internal/sim/loop"
)

// Engine runs requests in a batch of limited size. Each step generates one token for
// each request whose prompt is prefilled and prefills up to one chunk of the other
// prompts in order of arrival. It does not know tiers.
type Engine struct {
	loop  *loop.Loop
	cfg   fleet.Engines
	speed float64
	// slowdown is an additional, temporary factor on all times.
	slowdown float64

	batch []*Request
	queue []*Request
	// stepping reports whether a step is in progress.
	stepping bool
	// incarnation counts stops, so that a step scheduled before a stop has no effect
	// after a restart.
	incarnation int
	stopped     bool
	// queueLimit is how many requests may wait.
	queueLimit int
	// paused is true while the engine is silent; pendingStep is true if a step ended meanwhile.
	paused, pendingStep bool
	// Prefilled counts prefilled prompt tokens.
	Prefilled int
}

// Request is one request at an engine.
type Request struct {
	Prompt int
	// Output is the number of tokens to generate; at least 1.
	Output int
	// OnEvent is called for each output event; last is true for the final one.
	OnEvent func(now time.Time, last bool)
	// OnFailure is called if the engine stops.
	OnFailure func(now time.Time)

	prefilled, generated int
	cancelled            bool
}

// New returns an idle engine whose times are multiplied by speed.
func New(l *loop.Loop, cfg fleet.Engines, speed float64) *Engine {
	return &Engine{loop: l, cfg: cfg, speed: speed, slowdown: 1, queueLimit: cfg.Queue}
}

// Submit queues a request. It returns false if the engine is full or stopped.
func (e *Engine) Submit(r *Request) bool {
	if e.stopped || len(e.batch) >= e.cfg.Slots && len(e.queue) >= e.queueLimit {
		return false
	}
	e.queue = append(e.queue, r)
	e.admit()
	e.startStep()
	return true
}

// Cancel ends a request whose caller has left.
func (e *Engine) Cancel(r *Request) { r.cancelled = true }

// Load returns the number of running and of queued requests.
func (e *Engine) Load() (running, waiting int) { return len(e.batch), len(e.queue) }

// Live returns the number of requests that run or wait and whose callers have not left.
func (e *Engine) Live() int {
	n := 0
	for _, l := range [][]*Request{e.batch, e.queue} {
		for _, r := range l {
			if !r.cancelled {
				n++
			}
		}
	}
	return n
}

// Prefilling returns the number of running requests whose prompt is not fully
// prefilled.
func (e *Engine) Prefilling() int {
	n := 0
	for _, r := range e.batch {
		if r.prefilled < r.Prompt {
			n++
		}
	}
	return n
}

// Stop stops the engine; all its requests fail.
func (e *Engine) Stop() {
	e.incarnation++
	e.stopped, e.stepping, e.pendingStep = true, false, false
	requests := append(e.batch, e.queue...)
	e.batch, e.queue = nil, nil
	for _, r := range requests {
		if !r.cancelled {
			r.OnFailure(e.loop.Now())
		}
	}
}

// Restart makes a stopped engine available again, without requests.
func (e *Engine) Restart() { e.stopped = false }

func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.batch) < e.cfg.Slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		if !r.cancelled {
			e.batch = append(e.batch, r)
		}
	}
}

// startStep begins a step if there is work and none is in progress.
func (e *Engine) startStep() {
	if e.stepping || e.paused || len(e.batch) == 0 {
		return
	}
	e.stepping = true
	decoding, context := 0, 0
	for _, r := range e.batch {
		if r.prefilled >= r.Prompt {
			decoding++
			context += r.Prompt + r.generated
		}
	}
	ms := e.cfg.Step + e.cfg.PerSlot*float64(decoding) + e.cfg.PerContext*float64(context)/1000
	completesPrompt := false
	budget := e.cfg.Chunk
	for _, r := range e.batch {
		n := min(budget, r.Prompt-r.prefilled)
		if n <= 0 {
			continue
		}
		ms += float64(n)/e.cfg.Prefill + e.cfg.Pairs*float64(n)*(float64(r.prefilled)+float64(n)/2)/1e6
		budget -= n
		completesPrompt = completesPrompt || r.prefilled+n >= r.Prompt
	}
	if completesPrompt {
		ms += e.cfg.First
	}
	incarnation := e.incarnation
	e.loop.After(time.Duration(ms*e.speed*e.slowdown*float64(time.Millisecond)), func() {
		switch {
		case e.incarnation != incarnation:
		case e.paused:
			e.pendingStep = true
		default:
			e.finishStep()
		}
	})
}

// finishStep applies the results of a step and starts the next one.
func (e *Engine) finishStep() {
	e.stepping = false
	now := e.loop.Now()
	budget := e.cfg.Chunk
	remaining := e.batch[:0]
	var events []*Request
	for _, r := range e.batch {
		if r.cancelled {
			continue
		}
		if r.prefilled < r.Prompt {
			n := min(budget, r.Prompt-r.prefilled)
			budget -= n
			r.prefilled += n
			e.Prefilled += n
			if r.prefilled < r.Prompt {
				remaining = append(remaining, r)
				continue
			}
		}
		r.generated++
		if r.generated == 1 || r.generated >= r.Output || (r.generated-1)%e.cfg.Stride == 0 {
			events = append(events, r)
		}
		if r.generated < r.Output {
			remaining = append(remaining, r)
		}
	}
	clear(e.batch[len(remaining):])
	e.batch = remaining
	e.admit()
	for _, r := range events {
		r.OnEvent(now, r.generated >= r.Output)
	}
	e.startStep()
}

// SetQueue sets how many requests may wait.
func (e *Engine) SetQueue(n int) { e.queueLimit = n }

// Pause makes the engine silent: it takes requests but gives no output.
func (e *Engine) Pause() { e.paused = true }

// Resume ends a pause.
func (e *Engine) Resume() {
	e.paused = false
	if e.pendingStep {
		e.pendingStep = false
		e.finishStep()
		return
	}
	e.startStep()
}

// SetSlowdown sets the temporary factor on the engine's times from the next step on.
func (e *Engine) SetSlowdown(factor float64) { e.slowdown = factor }

// Stopped reports whether the engine is stopped.
func (e *Engine) Stopped() bool { return e.stopped }
