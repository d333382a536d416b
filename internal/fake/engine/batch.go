package engine

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/fake/fault"
)

// minRetainedStreams is the minimum number of finished streams that can be resumed.
const minRetainedStreams = 4096

// run steps the batch periodically while it has work, and otherwise waits for a request.
func (e *Engine) run() {
	t := e.clock.NewTimer(stepInterval)
	defer t.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-e.wake:
		case <-t.Chan():
		}
		if e.step() {
			t.Reset(stepInterval)
		}
	}
}

// submit adds a request, which starts at once or waits for a place in the batch.
func (e *Engine) submit(s *stream) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if old, ok := e.streams[s.id]; ok {
		// The request is run again. The prefill of its first run was wasted if nobody
		// received the answer.
		e.dropStream(old)
	}
	e.streams[s.id] = s
	if len(e.waiting)+len(e.running) == 0 {
		e.lastStep = e.clock.Now()
	}
	e.waiting = append(e.waiting, s)
	e.advance(0)
	if len(e.running) > 0 {
		e.wakeLoop()
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step advances the batch to the current time and reports whether it still has work.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.clock.Now()
	dt := now.Sub(e.lastStep)
	e.lastStep = now
	if f, ok := e.faults.Trigger(fault.Slow); ok && f.Factor > 0 {
		dt = time.Duration(float64(dt) / f.Factor)
	}
	e.advance(dt)
	return len(e.running) > 0
}

// advance performs the work of a duration; e.mu must be held.
func (e *Engine) advance(dt time.Duration) {
	e.admit()
	budget := e.cfg.Prefill * dt.Seconds()
	for _, s := range e.running {
		if s.remainingPrompt() == 0 {
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
	e.loadHistory.add(e.clock.Now(), e.report(), e.cfg.Lag)
}

// admit moves waiting requests to the batch in the order of arrival.
func (e *Engine) admit() {
	for len(e.waiting) > 0 && len(e.running) < e.cfg.Batch {
		s := e.waiting[0]
		e.waiting = slices.Delete(e.waiting, 0, 1)
		s.cached = e.cache.lookup(s.blocks, s.prompt)
		e.counts.Cached += s.cached
		if !e.cfg.WithoutCounts {
			e.counts.Runs[s.id]++
		}
		e.running = append(e.running, s)
		if e.cfg.Prefill == 0 {
			e.prefill(s, 0)
		}
		if e.cfg.Decode == 0 && s.remainingPrompt() == 0 {
			s.decode(0, 0)
		}
		if s.finished() {
			e.running = e.running[:len(e.running)-1]
			e.retire(s)
		}
	}
}

// prefill processes more of a prompt and returns the budget that is left over.
func (e *Engine) prefill(s *stream, budget float64) float64 {
	s.credit += budget
	n := min(s.remainingPrompt(), int(s.credit))
	if e.cfg.Prefill == 0 {
		n = s.remainingPrompt()
	}
	s.prefilled += n
	e.counts.Prefill += n
	if s.remainingPrompt() > 0 {
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

// retire retains a finished stream so that it can be resumed, and drops the oldest ones.
func (e *Engine) retire(s *stream) {
	if e.cfg.WithoutCounts && s.delivered {
		delete(e.streams, s.id)
		return
	}
	e.finished = append(e.finished, s)
	if len(e.finished) < 2*minRetainedStreams {
		return
	}
	for _, old := range e.finished[:minRetainedStreams] {
		if e.streams[old.id] == old {
			e.dropStream(old)
		}
	}
	e.finished = slices.Delete(e.finished, 0, minRetainedStreams)
}

// dropStream removes a stream; e.mu must be held.
func (e *Engine) dropStream(s *stream) {
	if !s.delivered && !s.cancelled && !e.cfg.WithoutCounts {
		e.counts.addWasted(s)
	}
	delete(e.streams, s.id)
}

// cancel stops a stream and reports whether it was active.
func (e *Engine) cancel(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[id]
	if !ok || s.cancelled {
		return false
	}
	e.counts.Cancels++
	if !s.delivered {
		e.counts.addWasted(s)
	}
	s.cancelled = true
	s.notify()
	same := func(o *stream) bool { return o == s }
	e.waiting = slices.DeleteFunc(e.waiting, same)
	e.running = slices.DeleteFunc(e.running, same)
	e.admit()
	return true
}

// report returns the current load; e.mu must be held.
func (e *Engine) report() Load {
	l := Load{Running: len(e.running), Waiting: len(e.waiting), Batch: e.cfg.Batch}
	for _, s := range e.running {
		l.Tokens += s.remainingTokens()
	}
	for _, s := range e.waiting {
		l.Tokens += s.remainingTokens()
	}
	return l
}
