package engine

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/fake/fault"
)

// keep is the number of ended streams that can at least be resumed.
const keep = 4096

// loop steps the batch while there is work, and waits while there is none.
func (e *Engine) loop() {
	t := e.clock.NewTimer(tick)
	defer t.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-e.wake:
		case <-t.Chan():
		}
		if e.step() {
			t.Reset(tick)
		}
	}
}

// submit takes a request in: it runs now, or waits behind those before it.
func (e *Engine) submit(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.streams[s.id]; ok {
		// Run again: what the first run read was for nothing if nobody had it.
		e.forget(old)
	}
	e.streams[s.id] = s
	if len(e.waiting)+len(e.running) == 0 {
		e.last = e.clock.Now()
	}
	e.waiting = append(e.waiting, s)
	e.advance(0)
	if len(e.running) > 0 {
		e.poke()
	}
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step brings the batch up to the clock and reports whether work is left.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	dt := now.Sub(e.last)
	e.last = now
	if f, ok := e.faults.Strike(fault.Slow); ok && f.Factor > 0 {
		dt = time.Duration(float64(dt) / f.Factor)
	}
	e.advance(dt)
	return len(e.running) > 0
}

// advance does dt's work; e.mu is held.
func (e *Engine) advance(dt time.Duration) {
	e.admit()
	budget := e.cfg.Prefill * dt.Seconds()
	for _, s := range e.running {
		if s.todo() == 0 {
			s.decode(e.cfg.Decode, dt)
			continue
		}
		budget = e.prefill(s, budget)
	}
	e.running = slices.DeleteFunc(e.running, func(s *stream) bool {
		if s.finished() {
			e.retire(s)
		}
		return s.finished()
	})
	e.admit()
	e.load.add(e.clock.Now(), e.report(), e.cfg.Lag)
}

// admit fills the batch in the order of arrival.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Batch {
		s := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		s.cached = e.cache.hit(s.blocks, s.prompt)
		e.counts.Cached += s.cached
		if !e.cfg.Uncounted {
			e.counts.Runs[s.id]++
		}
		e.running = append(e.running, s)
		if e.cfg.Prefill == 0 {
			e.prefill(s, 0)
		}
		if e.cfg.Decode == 0 && s.todo() == 0 {
			s.decode(0, 0)
		}
		if s.finished() {
			e.running = e.running[:len(e.running)-1]
			e.retire(s)
		}
	}
}

// prefill reads on in a prompt and returns what is left of the budget.
func (e *Engine) prefill(s *stream, budget float64) float64 {
	s.credit += budget
	n := min(s.todo(), int(s.credit))
	if e.cfg.Prefill == 0 {
		n = s.todo()
	}
	s.prefilled += n
	e.counts.Prefill += n
	if s.todo() > 0 {
		s.credit -= float64(n)
		return 0
	}
	left := max(0, s.credit-float64(n))
	s.credit = 0
	e.cache.store(e.clock.Now(), s.blocks)
	if e.cfg.Decode == 0 {
		s.decode(0, 0)
	}
	return left
}

// retire keeps a finished stream for a while, so that it can be resumed.
func (e *Engine) retire(s *stream) {
	if e.cfg.Uncounted && s.read {
		delete(e.streams, s.id)
		return
	}
	e.ended = append(e.ended, s)
	if len(e.ended) < 2*keep {
		return
	}
	for _, old := range e.ended[:keep] {
		if e.streams[old.id] == old {
			e.forget(old)
		}
	}
	e.ended = slices.Delete(e.ended, 0, keep)
}

// forget drops a stream; e.mu is held.
func (e *Engine) forget(s *stream) {
	if !s.read && !s.cancelled && !e.cfg.Uncounted {
		e.counts.waste(s)
	}
	delete(e.streams, s.id)
}

// cancel stops a stream's work.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.cancelled {
		return false
	}
	e.counts.Cancels++
	if !s.read {
		e.counts.waste(s)
	}
	s.cancelled = true
	s.tell()
	same := func(o *stream) bool { return o == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
	e.admit()
	return true
}

// report is the load of the moment; e.mu is held.
func (e *Engine) report() Load {
	l := Load{Running: len(e.running), Waiting: len(e.waiting), Batch: e.cfg.Batch}
	for _, s := range e.running {
		l.Tokens += s.left()
	}
	for _, s := range e.waiting {
		l.Tokens += s.left()
	}
	return l
}
