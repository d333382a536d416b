package gate

import (
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/digest"
)

// returnMetrics counts callers that return after a refusal.
type returnMetrics struct {
	// promised counts refusals with a time at which there will be room, and unpromised those for lack of
	// room that name none within the time that the caller waits. kept counts requests of callers that
	// returned at their time, refusedAgain those of them that were refused, and early requests of callers
	// that returned before their time.
	promised, unpromised, kept, refusedAgain, early tally.Counter
}

func newReturnMetrics(scope tally.Scope) returnMetrics {
	scope = scope.SubScope("returns")
	return returnMetrics{
		promised: scope.Counter("promised"), unpromised: scope.Counter("unpromised"), kept: scope.Counter("kept"),
		refusedAgain: scope.Counter("refused_again"), early: scope.Counter("early"),
	}
}

// identifyReturn adds to the work what identifies a caller that returns after a refusal.
func (g *Gate) identifyReturn(c *call, w *fireflypath.Work) {
	if !g.deps.Returns {
		return
	}
	if previous := c.lastAttempt(); previous != nil {
		w.Return = previous.Work.Return // the promise was redeemed with the first attempt
	}
	w.Digest, w.Elapsed = shortDigest(c.digest), c.callerElapsed
}

// shortDigest folds a digest to the length that is sent to a dispatcher. Two of the few thousand requests
// that a dispatcher remembers are equal by chance once in a million.
func shortDigest(d digest.Digest) uint32 { return uint32(d) ^ uint32(d>>32) }

// returned returns what became of the promises to the caller: whether it returned to this request at its
// time, and whether the refusal of this request promises one.
func (c *call) returned() (state fireflypath.ReturnState, promised bool) {
	for _, att := range c.attempts {
		if att.Work.Return != fireflypath.ReturnNone {
			state = att.Work.Return
		}
		promised = att.Work.Promised
	}
	return state, promised && c.refusal != nil
}

// countReturn counts the end of a request whose caller returned or was refused.
func (g *Gate) countReturn(c *call) {
	if !g.deps.Returns || len(c.attempts) == 0 {
		return
	}
	m := &g.metrics.returns
	state, promised := c.returned()
	switch state {
	case fireflypath.ReturnKept:
		m.kept.Inc(1)
		if c.refusal != nil {
			m.refusedAgain.Inc(1)
		}
	case fireflypath.ReturnEarly:
		m.early.Inc(1)
	case fireflypath.ReturnNone:
	}
	switch {
	case promised:
		m.promised.Inc(1)
	case c.refusal != nil && c.refusal.reason == fireflypath.ReasonDeadline:
		m.unpromised.Inc(1)
	}
}

// returnFields returns the log fields of a request whose caller returned or was refused.
func (g *Gate) returnFields(c *call) []zap.Field {
	if !g.deps.Returns || len(c.attempts) == 0 {
		return nil
	}
	var fields []zap.Field
	state, promised := c.returned()
	if state != fireflypath.ReturnNone {
		fields = append(fields, zap.Stringer("return", state))
	}
	if c.callerElapsed > 0 {
		fields = append(fields, zap.Duration("elapsed", c.callerElapsed))
	}
	if c.refusal != nil && c.refusal.reason == fireflypath.ReasonDeadline {
		fields = append(fields, zap.Bool("promised", promised))
	}
	return fields
}
