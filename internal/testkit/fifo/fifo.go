// Package fifo is the simplest scheduler: first in, first out, without tiers or fairness; tests and trials take it as the baseline.
package fifo

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// requests bounds the waiting requests if the pool names no bound: a few
	// seconds of a busy entry host's arrivals.
	requests = 4096
	// window is the number of requests in flight at one target; it stands for
	// the batch of a middling engine.
	window = 64
	// retry is given to refused callers; the baseline learns no rates.
	retry = time.Second
)

// FIFO is a fireflypath.Scheduler.
type FIFO struct {
	pool     fireflypath.Pool
	waiting  []*fireflypath.Work
	targets  []target
	inflight map[*fireflypath.Work]string
}

type target struct {
	fireflypath.Target
	held    int
	leaving bool
}

// New returns an empty scheduler for the pool.
func New(pool fireflypath.Pool) *FIFO {
	if pool.Requests == 0 {
		pool.Requests = requests
	}
	return &FIFO{pool: pool, inflight: map[*fireflypath.Work]string{}}
}

// Offer appends the work, or gives it back if the queue is full.
func (f *FIFO) Offer(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	if len(f.waiting) >= f.pool.Requests {
		return append(out, fireflypath.Shed{
			Work: w, Reason: fireflypath.ReasonFull, RetryAfter: retry, Detail: "the queue is full",
		})
	}
	f.waiting = append(f.waiting, w)
	return out
}

// Next sends the oldest work to the target with the least in flight.
func (f *FIFO) Next(now time.Time, p *fireflypath.Placement) bool {
	for len(f.waiting) > 0 && f.waiting[0].Lifecycle.State() != fireflypath.StateWaiting {
		f.waiting = f.waiting[1:]
	}
	best := -1
	for i := range f.targets {
		t := &f.targets[i]
		if t.leaving || t.Drained || t.held >= window {
			continue
		}
		if best < 0 || t.held < f.targets[best].held {
			best = i
		}
	}
	if best < 0 || len(f.waiting) == 0 {
		return false
	}
	w := f.waiting[0]
	f.waiting[0] = nil
	f.waiting = f.waiting[1:]
	f.targets[best].held++
	f.inflight[w] = f.targets[best].Name
	*p = fireflypath.Placement{Work: w, Target: f.targets[best].Name, Waited: now.Sub(w.Arrived), Considered: p.Considered[:0]}
	return true
}

// Withdraw removes waiting work.
func (f *FIFO) Withdraw(now time.Time, w *fireflypath.Work) bool {
	i := slices.Index(f.waiting, w)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	return true
}

// Expire gives up the work whose deadline has passed.
func (f *FIFO) Expire(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	f.waiting = slices.DeleteFunc(f.waiting, func(w *fireflypath.Work) bool {
		late := !w.Deadline.After(now)
		if late {
			out = append(out, fireflypath.Shed{
				Work: w, Reason: fireflypath.ReasonDeadline, Detail: "the deadline passed before the dispatch",
			})
		}
		return late
	})
	return out
}

// Wake is the earliest deadline.
func (f *FIFO) Wake(now time.Time) time.Time {
	var first time.Time
	for _, w := range f.waiting {
		if first.IsZero() || w.Deadline.Before(first) {
			first = w.Deadline
		}
	}
	return first
}

// Observe frees the target's place.
func (f *FIFO) Observe(now time.Time, e fireflypath.Event) {
	switch e.Kind {
	case fireflypath.EventUnsent:
		f.release(e.Work)
		if e.Work.Lifecycle.State() == fireflypath.StateWaiting {
			f.waiting = slices.Insert(f.waiting, 0, e.Work)
		}
	case fireflypath.EventDone, fireflypath.EventFailed, fireflypath.EventRefused:
		f.release(e.Work)
	case fireflypath.EventLeaving, fireflypath.EventStaying:
		if t := f.find(e.Target); t != nil {
			t.leaving = e.Kind == fireflypath.EventLeaving
		}
	}
}

func (f *FIFO) release(w *fireflypath.Work) {
	name, ok := f.inflight[w]
	if !ok {
		return
	}
	delete(f.inflight, w)
	if t := f.find(name); t != nil {
		t.held--
	}
}

func (f *FIFO) find(name string) *target {
	for i := range f.targets {
		if f.targets[i].Name == name {
			return &f.targets[i]
		}
	}
	return nil
}

// SetTargets replaces the targets and keeps the counts of those that stay.
func (f *FIFO) SetTargets(now time.Time, targets []fireflypath.Target) {
	next := make([]target, 0, len(targets))
	for _, t := range targets {
		n := target{Target: t}
		if old := f.find(t.Name); old != nil {
			n.held, n.leaving = old.held, old.leaving
		}
		next = append(next, n)
	}
	f.targets = next
}

// SetShare does nothing: the baseline has windows of its own.
func (f *FIFO) SetShare(now time.Time, s fireflypath.Share) {}

// Demand counts what waits and runs.
func (f *FIFO) Demand(now time.Time) fireflypath.Demand {
	d := fireflypath.Demand{Pool: f.pool.Name}
	for _, w := range f.waiting {
		d.Waiting = add(d.Waiting, w.Rank, w.Cost.Tokens())
		d.WaitingRequests = add(d.WaitingRequests, w.Rank, 1)
	}
	for w := range f.inflight {
		d.Running = add(d.Running, w.Rank, w.Cost.Tokens())
	}
	return d
}

func add(s []int, i, n int) []int {
	for len(s) <= i {
		s = append(s, 0)
	}
	s[i] += n
	return s
}

// Relieve gives up waiting work of lower tiers, newest first.
func (f *FIFO) Relieve(now time.Time, rank, tokens int, out []fireflypath.Shed) []fireflypath.Shed {
	for i := len(f.waiting) - 1; i >= 0 && tokens > 0; i-- {
		w := f.waiting[i]
		if w.Rank <= rank {
			continue
		}
		tokens -= w.Cost.Tokens()
		f.waiting = slices.Delete(f.waiting, i, i+1)
		out = append(out, fireflypath.Shed{
			Work: w, Reason: fireflypath.ReasonFull, RetryAfter: retry, Detail: "higher work took the place",
		})
	}
	return out
}

// Views lists the targets.
func (f *FIFO) Views(now time.Time, out []fireflypath.TargetView) []fireflypath.TargetView {
	for _, t := range f.targets {
		v := fireflypath.TargetView{Target: t.Name, Pool: t.Pool, State: "ready", Requests: t.held, Share: 1}
		if t.leaving {
			v.State = "leaving"
		}
		if t.Drained {
			v.State = "drained"
		}
		out = append(out, v)
	}
	return out
}
