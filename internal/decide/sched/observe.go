package sched

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/slow"
)

const (
	// blend weighs one answer in the pool's averages: about fifty answers.
	blend = 0.02
	// decay lets the fastest known speed fade by an eighth in a hundred answers,
	// so that the loss of the fastest target is noticed.
	decay = 0.9987
	// failed is the slowness that an answer that was cut stands for.
	failed = 10
	// brief is the shortest expectation that an answer is compared with; below
	// it the network's and the step's jitter make ratios meaningless.
	brief = 100 * time.Millisecond
	// spared is the part of the targets that may be ejected for slowness. With
	// more, those that are left would drown and look slow in their turn.
	spared = 3
)

// Observe learns from an event at a target.
func (s *Scheduler) Observe(now time.Time, e fireflypath.Event) {
	i, ok := s.names[e.Target]
	if !ok {
		return
	}
	switch e.Kind {
	case fireflypath.EventFirst:
		s.first(now, i, e)
	case fireflypath.EventDone:
		s.done(now, i, e)
	case fireflypath.EventUnsent:
		s.unsent(now, i, e)
	case fireflypath.EventFailed, fireflypath.EventRefused:
		s.lost(now, i, e)
	case fireflypath.EventReport:
		s.targets[i].report = e.Report
		s.targets[i].window.Report(e.Report)
	case fireflypath.EventCache:
		if e.Dropped {
			s.index.Drop(i, e.Blocks)
		} else {
			s.index.Store(i, e.Blocks)
		}
	case fireflypath.EventLeaving:
		s.targets[i].leaving = true
	case fireflypath.EventBack:
		s.back(i)
	}
	s.refresh(i)
}

// flight is the slot of work in flight at a target.
func (s *Scheduler) flight(i int32, w *fireflypath.Work) (int32, bool) {
	slot, ok := s.slots[w]
	if !ok || s.items[slot].phase != phaseFlight || s.items[slot].target != i {
		return none, false
	}
	return slot, true
}

func (s *Scheduler) first(now time.Time, i int32, e fireflypath.Event) {
	slot, ok := s.flight(i, e.Work)
	if !ok || !s.items[slot].first.IsZero() {
		return
	}
	it, t := &s.items[slot], &s.targets[i]
	it.first = now
	s.filled(now, it, t)
	fresh := it.fresh
	if e.Cached >= 0 {
		fresh = max(it.work.Cost.Prompt-e.Cached, 0)
	}
	took := now.Sub(it.sent)
	if t.speed.Prefill() > 0 {
		want := t.speed.Delay(now).Seconds() + float64(it.before+fresh)/t.speed.Prefill()
		s.sample(now, t, took.Seconds(), want)
	}
	t.speed.First(now, it.before+fresh, took)
	s.fastPrefill = max(s.fastPrefill*decay, t.speed.Prefill())
}

func (s *Scheduler) done(now time.Time, i int32, e fireflypath.Event) {
	slot, ok := s.flight(i, e.Work)
	if !ok {
		return
	}
	if s.items[slot].first.IsZero() {
		s.first(now, i, e)
	}
	it, t := &s.items[slot], &s.targets[i]
	took := now.Sub(it.first)
	if t.speed.Decode() > 0 && e.Tokens > 1 {
		s.sample(now, t, took.Seconds(), float64(e.Tokens-1)/t.speed.Decode())
	}
	t.speed.Done(e.Tokens, took)
	s.fastDecode = max(s.fastDecode*decay, t.speed.Decode())
	if out := it.work.Cost.Output; out > 0 {
		s.output += blend * (min(float64(e.Tokens)/float64(out), 1) - s.output)
	}
	s.margin.Sample(now.Sub(it.sent), it.expected)
	t.window.Done()
	s.land(now, slot)
	s.release(slot)
}

// sample compares an answer's time with what was expected of this target.
func (s *Scheduler) sample(now time.Time, t *target, took, want float64) {
	want = max(want, brief.Seconds())
	ratio := max(took, brief.Seconds()) / want
	s.pace += blend * (min(ratio, failed) - s.pace)
	t.slow.Sample(now, ratio, s.pace)
	s.forgive(t)
}

// forgive takes an ejection for slowness back if too many targets are ejected.
func (s *Scheduler) forgive(t *target) {
	if t.slow.State() == slow.Ejected && spared*(len(s.sick)+1) > len(s.targets) {
		t.slow.Spare()
	}
}

func (s *Scheduler) unsent(now time.Time, i int32, e fireflypath.Event) {
	slot, ok := s.flight(i, e.Work)
	if !ok {
		return
	}
	s.targets[i].slow.Fail(now)
	s.land(now, slot)
	w := e.Work
	if w.Life.State() != fireflypath.StateWaiting {
		s.release(slot)
		return
	}
	s.items[slot].phase = phaseWaiting
	s.queue.Return(slot, w)
	s.schedule(slot, s.latestOf(w))
}

func (s *Scheduler) lost(now time.Time, i int32, e fireflypath.Event) {
	t := &s.targets[i]
	if e.Kind == fireflypath.EventRefused {
		t.slow.Fail(now)
	} else {
		t.slow.Sample(now, failed, s.pace)
		s.forgive(t)
	}
	if slot, ok := s.flight(i, e.Work); ok {
		s.land(now, slot)
		s.release(slot)
	}
}

func (s *Scheduler) back(i int32) {
	t := &s.targets[i]
	t.leaving = false
	t.window.Reset()
	t.slow.Reset()
}
