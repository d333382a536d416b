// Package fifo implements a first-in, first-out scheduler without tiers or
// fairness, which tests and trials use as the baseline.
package fifo

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// defaultQueueLimit is the limit of waiting requests for a pool that sets none: a
	// few seconds of arrivals at a busy entry host.
	defaultQueueLimit = 4096
	// targetWindow is the limit of requests in flight at one target, like the batch
	// size of a medium engine.
	targetWindow = 64
	// retryAfter is a constant because the baseline does not measure service rates.
	retryAfter = time.Second
)

// FIFO is a fireflypath.Scheduler that serves requests in the order of arrival.
type FIFO struct {
	pool     fireflypath.Pool
	waiting  []*fireflypath.Work
	targets  []target
	inFlight map[*fireflypath.Work]string
}

type target struct {
	fireflypath.Target
	inFlight int
	leaving  bool
}

// New returns an empty scheduler for the pool.
func New(pool fireflypath.Pool) *FIFO {
	if pool.Requests == 0 {
		pool.Requests = defaultQueueLimit
	}
	return &FIFO{pool: pool, inFlight: map[*fireflypath.Work]string{}}
}

// Offer queues the work, or sheds it if the queue is full.
func (f *FIFO) Offer(now time.Time, w *fireflypath.Work, out []fireflypath.Shed) []fireflypath.Shed {
	if len(f.waiting) >= f.pool.Requests {
		return append(out, fireflypath.Shed{
			Work: w, Reason: fireflypath.ReasonFull, RetryAfter: retryAfter, Detail: "the queue is full",
		})
	}
	f.waiting = append(f.waiting, w)
	return out
}

// Next places the oldest work on the target with the fewest requests in flight.
func (f *FIFO) Next(now time.Time, p *fireflypath.Placement) bool {
	for len(f.waiting) > 0 && f.waiting[0].Lifecycle.State() != fireflypath.StateWaiting {
		f.waiting = f.waiting[1:]
	}
	best := -1
	for i := range f.targets {
		t := &f.targets[i]
		if t.leaving || t.Drained || t.inFlight >= targetWindow {
			continue
		}
		if best < 0 || t.inFlight < f.targets[best].inFlight {
			best = i
		}
	}
	if best < 0 || len(f.waiting) == 0 {
		return false
	}
	w := f.waiting[0]
	f.waiting[0] = nil
	f.waiting = f.waiting[1:]
	f.targets[best].inFlight++
	f.inFlight[w] = f.targets[best].Name
	*p = fireflypath.Placement{Work: w, Target: f.targets[best].Name, Waited: now.Sub(w.Arrived), Considered: p.Considered[:0]}
	return true
}

// Withdraw removes work from the queue and reports whether it was there.
func (f *FIFO) Withdraw(now time.Time, w *fireflypath.Work) bool {
	i := slices.Index(f.waiting, w)
	if i < 0 {
		return false
	}
	f.waiting = slices.Delete(f.waiting, i, i+1)
	return true
}

// Expire sheds queued work whose deadline has passed.
func (f *FIFO) Expire(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	f.waiting = slices.DeleteFunc(f.waiting, func(w *fireflypath.Work) bool {
		expired := !w.Deadline.After(now)
		if expired {
			out = append(out, fireflypath.Shed{
				Work: w, Reason: fireflypath.ReasonDeadline, Detail: "the deadline passed before the dispatch",
			})
		}
		return expired
	})
	return out
}

// Wake returns the earliest deadline of the queue.
func (f *FIFO) Wake(now time.Time) time.Time {
	var earliest time.Time
	for _, w := range f.waiting {
		if earliest.IsZero() || w.Deadline.Before(earliest) {
			earliest = w.Deadline
		}
	}
	return earliest
}

// Observe updates the requests in flight and the leaving targets. Work that was not
// sent returns to the head of the queue.
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
		if t := f.findTarget(e.Target); t != nil {
			t.leaving = e.Kind == fireflypath.EventLeaving
		}
	}
}

func (f *FIFO) release(w *fireflypath.Work) {
	name, ok := f.inFlight[w]
	if !ok {
		return
	}
	delete(f.inFlight, w)
	if t := f.findTarget(name); t != nil {
		t.inFlight--
	}
}

func (f *FIFO) findTarget(name string) *target {
	for i := range f.targets {
		if f.targets[i].Name == name {
			return &f.targets[i]
		}
	}
	return nil
}

// SetTargets replaces the targets and keeps the state of those that stay.
func (f *FIFO) SetTargets(now time.Time, targets []fireflypath.Target) {
	next := make([]target, 0, len(targets))
	for _, t := range targets {
		n := target{Target: t}
		if old := f.findTarget(t.Name); old != nil {
			n.inFlight, n.leaving = old.inFlight, old.leaving
		}
		next = append(next, n)
	}
	f.targets = next
}

// SetShare does nothing because the baseline has a fixed window for each target.
func (f *FIFO) SetShare(now time.Time, s fireflypath.Share) {}

// Demand returns the waiting and running work by rank.
func (f *FIFO) Demand(now time.Time) fireflypath.Demand {
	d := fireflypath.Demand{Pool: f.pool.Name}
	for _, w := range f.waiting {
		d.Waiting = addAt(d.Waiting, w.Rank, w.Cost.Tokens())
		d.WaitingRequests = addAt(d.WaitingRequests, w.Rank, 1)
	}
	for w := range f.inFlight {
		d.Running = addAt(d.Running, w.Rank, w.Cost.Tokens())
	}
	return d
}

func addAt(s []int, i, n int) []int {
	for len(s) <= i {
		s = append(s, 0)
	}
	s[i] += n
	return s
}

// Relieve sheds queued work of lower tiers, newest first, until enough tokens are freed.
func (f *FIFO) Relieve(now time.Time, rank, tokens int, out []fireflypath.Shed) []fireflypath.Shed {
	for i := len(f.waiting) - 1; i >= 0 && tokens > 0; i-- {
		w := f.waiting[i]
		if w.Rank <= rank {
			continue
		}
		tokens -= w.Cost.Tokens()
		f.waiting = slices.Delete(f.waiting, i, i+1)
		out = append(out, fireflypath.Shed{
			Work: w, Reason: fireflypath.ReasonFull, RetryAfter: retryAfter, Detail: "higher work took the place",
		})
	}
	return out
}

// Views appends the state of each target.
func (f *FIFO) Views(now time.Time, out []fireflypath.TargetView) []fireflypath.TargetView {
	for _, t := range f.targets {
		v := fireflypath.TargetView{Target: t.Name, Pool: t.Pool, State: "ready", Requests: t.inFlight, Share: 1}
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
