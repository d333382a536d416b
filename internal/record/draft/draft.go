// Package draft builds a request's record while the request is processed.
package draft

import (
	"sync"
	"time"

	"github.com/fireflypath/fireflypath"
)

// Draft is the unfinished record of one request. Only the goroutine that owns the request uses
// it. The methods of a nil Draft do nothing, so that recording can be disabled.
type Draft struct {
	rec      fireflypath.Record
	recorder fireflypath.Recorder
	// candidates backs the record's candidates until End. It is nil before the first placement.
	candidates *[]fireflypath.Candidate
}

// New starts the record of w, which is decided under the given configuration generation. It
// returns nil if the recorder is nil.
func New(recorder fireflypath.Recorder, w *fireflypath.Work, generation uint64) *Draft {
	if recorder == nil {
		return nil
	}
	d := &Draft{recorder: recorder}
	d.rec = fireflypath.Record{
		ID: w.ID, Team: w.Team, Tier: w.Tier, Pool: w.Pool,
		Arrived: w.Arrived, Deadline: w.Deadline, Cost: w.Cost,
		Generation: generation,
	}
	return d
}

// Rule sets the name of the operator's rule that matched.
func (d *Draft) Rule(name string) {
	if d != nil {
		d.rec.Rule = name
	}
}

// Relief sets the outcome of a relief round.
func (d *Draft) Relief(outcome string) {
	if d != nil {
		d.rec.Relief = outcome
	}
}

// Ahead sets the number of requests that were queued before this one on arrival.
func (d *Draft) Ahead(n int) {
	if d != nil {
		d.rec.Ahead = n
	}
}

// Placed records a dispatch. It copies the candidates, because the scheduler reuses their slice.
func (d *Draft) Placed(now time.Time, p *fireflypath.Placement) {
	if d == nil {
		return
	}
	d.rec.Target = p.Target
	d.rec.Ahead = p.Ahead
	d.rec.Dispatched = now
	d.resetCandidates()
	*d.candidates = append(*d.candidates, p.Considered...)
	d.rec.Considered = *d.candidates
}

// Refused records the state of the targets when the request was refused.
func (d *Draft) Refused(views []fireflypath.TargetView) {
	if d == nil {
		return
	}
	d.resetCandidates()
	for i := range views {
		*d.candidates = append(*d.candidates, candidate(&views[i], d.rec.Cost.Tokens()))
	}
	d.rec.Considered = *d.candidates
}

// candidate describes a target as seen by a refused request with the given estimated tokens.
func candidate(v *fireflypath.TargetView, tokens int) fireflypath.Candidate {
	c := fireflypath.Candidate{Target: v.Target, InFlight: v.InFlight, Age: v.Age, Window: int(float64(v.Window) * v.Share)}
	switch {
	case v.State != stateReady:
		c.SkipReason = v.State
	case v.InFlight > 0 && v.InFlight+tokens > c.Window:
		c.SkipReason = "window full"
	}
	return c
}

// stateReady is the state of a target that accepts requests.
const stateReady = "ready"

// resetCandidates empties the slice of candidates, or takes one from the pool.
func (d *Draft) resetCandidates() {
	if d.candidates == nil {
		d.candidates = candidateSlices.Get().(*[]fireflypath.Candidate)
	}
	*d.candidates = (*d.candidates)[:0]
}

// Unsent reverts the last placement, of which no byte was sent.
func (d *Draft) Unsent() {
	if d == nil {
		return
	}
	d.rec.Unsent = append(d.rec.Unsent, d.rec.Target)
	d.rec.Target = ""
	d.rec.Dispatched = time.Time{}
}

// First sets the time of the first token or byte of the answer. Later calls have no effect.
func (d *Draft) First(now time.Time) {
	if d != nil && d.rec.FirstOutput.IsZero() {
		d.rec.FirstOutput = now
	}
}

// Resumed counts a reconnection that continues the same answer.
func (d *Draft) Resumed() {
	if d != nil {
		d.rec.Resumes++
	}
}

// End passes the record to the recorder. The refusal is nil for a complete answer. The draft must
// not be used afterwards.
func (d *Draft) End(now time.Time, state fireflypath.State, tokens int, refusal *fireflypath.Refusal) {
	if d == nil {
		return
	}
	d.rec.Ended = now
	d.rec.State = state.String()
	d.rec.Tokens = tokens
	d.rec.Refusal = refusal
	d.recorder.Keep(&d.rec)
	d.rec.Considered = nil
	if d.candidates != nil {
		candidateSlices.Put(d.candidates)
		d.candidates = nil
	}
}

// candidateSlices reuses *[]fireflypath.Candidate between requests. A copy of a dozen candidates is
// a kilobyte, which would be most of a record's cost to the garbage collector.
var candidateSlices = sync.Pool{New: func() any { return new([]fireflypath.Candidate) }}
