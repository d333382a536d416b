// Package draft writes a request's record while the request is on its way.
package draft

import (
	"sync"
	"time"

	"github.com/fireflypath/fireflypath"
)

// Draft collects the record of one request. It is used by the goroutine that
// owns the request; a nil Draft does nothing, so that records can be left out.
type Draft struct {
	rec fireflypath.Record
	to  fireflypath.Recorder
	// copy backs the record's candidates until End; nil before a placement.
	copy *[]fireflypath.Candidate
}

// New begins the record of w, decided on under the generation. It returns nil
// if to is nil.
func New(to fireflypath.Recorder, w *fireflypath.Work, generation uint64) *Draft {
	if to == nil {
		return nil
	}
	d := &Draft{to: to}
	d.rec = fireflypath.Record{
		ID: w.ID, Team: w.Team, Tier: w.Tier, Pool: w.Pool,
		Arrived: w.Arrived, Deadline: w.Deadline, Cost: w.Cost,
		Generation: generation,
	}
	return d
}

// Rule names the operator's rule that decided.
func (d *Draft) Rule(name string) {
	if d != nil {
		d.rec.Rule = name
	}
}

// Relief tells how a relief round went.
func (d *Draft) Relief(outcome string) {
	if d != nil {
		d.rec.Relief = outcome
	}
}

// Ahead is the number of requests that stood before it on arrival.
func (d *Draft) Ahead(n int) {
	if d != nil {
		d.rec.Ahead = n
	}
}

// Placed copies the decision, whose slice the scheduler uses again.
func (d *Draft) Placed(now time.Time, p *fireflypath.Placement) {
	if d == nil {
		return
	}
	d.rec.Target = p.Target
	d.rec.Ahead = p.Ahead
	d.rec.Dispatched = now
	d.borrow()
	*d.copy = append(*d.copy, p.Considered...)
	d.rec.Considered = *d.copy
}

// Refused copies what was known of the targets when the request was given up.
func (d *Draft) Refused(views []fireflypath.TargetView) {
	if d == nil {
		return
	}
	d.borrow()
	for i := range views {
		*d.copy = append(*d.copy, candidate(&views[i], d.rec.Cost.Tokens()))
	}
	d.rec.Considered = *d.copy
}

// candidate is a target as a refused request of so many tokens met it.
func candidate(v *fireflypath.TargetView, tokens int) fireflypath.Candidate {
	c := fireflypath.Candidate{Target: v.Target, InFlight: v.InFlight, Age: v.Age, Window: int(float64(v.Window) * v.Share)}
	switch {
	case v.State != ready:
		c.SkipReason = v.State
	case v.InFlight > 0 && v.InFlight+tokens > c.Window:
		c.SkipReason = "window full"
	}
	return c
}

// ready is the state of a target that takes work.
const ready = "ready"

// borrow empties the copy, or takes one from the pool.
func (d *Draft) borrow() {
	if d.copy == nil {
		d.copy = copies.Get().(*[]fireflypath.Candidate)
	}
	*d.copy = (*d.copy)[:0]
}

// Unsent takes the last placement back: no byte of it left.
func (d *Draft) Unsent() {
	if d == nil {
		return
	}
	d.rec.Unsent = append(d.rec.Unsent, d.rec.Target)
	d.rec.Target = ""
	d.rec.Dispatched = time.Time{}
}

// First marks the first token or byte of the answer.
func (d *Draft) First(now time.Time) {
	if d != nil && d.rec.FirstOutput.IsZero() {
		d.rec.FirstOutput = now
	}
}

// Resumed counts a new connection for the same answer.
func (d *Draft) Resumed() {
	if d != nil {
		d.rec.Resumes++
	}
}

// End hands the record over; ref is nil for a whole answer. The draft is not
// to be used afterwards.
func (d *Draft) End(now time.Time, state fireflypath.State, tokens int, ref *fireflypath.Refusal) {
	if d == nil {
		return
	}
	d.rec.Ended = now
	d.rec.State = state.String()
	d.rec.Tokens = tokens
	d.rec.Refusal = ref
	d.to.Keep(&d.rec)
	d.rec.Considered = nil
	if d.copy != nil {
		copies.Put(d.copy)
		d.copy = nil
	}
}

// copies holds *[]fireflypath.Candidate between requests: a copy of a dozen
// candidates is a kilobyte, most of what a record would cost the collector.
var copies = sync.Pool{New: func() any { return new([]fireflypath.Candidate) }}
