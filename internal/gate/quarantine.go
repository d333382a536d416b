package gate

import (
	"net/http"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/http1"
)

// computeDigest sets the request's digest.
func (g *Gate) computeDigest(c *call) *refusal {
	r := digest.Request{Method: c.r.Method, Host: c.r.Host, URI: c.requestURI(), Body: c.body}
	if c.team != nil {
		r.Team = c.team.Name
	}
	c.digest = digest.Of(r)
	return nil
}

// refuseIfHeld refuses a request that ends targets. It comes before the team's quota is used.
func (g *Gate) refuseIfHeld(c *call) *refusal {
	left, held := g.deps.Quarantine.Held(c.digest)
	if !held {
		return nil
	}
	return notRun(reasonHeld, "targets have ended under this request, it is held as "+c.digest.String(), left)
}

// releaseUnsent returns a target's place of which no byte was sent.
func (g *Gate) releaseUnsent(t *attempt) {
	t.result = string(reasonHeld)
	t.Work.Life.Move(fireflypath.StateDispatched, fireflypath.StateWithdrawn)
	t.pool.Observe(fireflypath.Event{
		Kind: fireflypath.EventFailed, Target: t.target.Name, Work: &t.Work, Sent: t.Sent, Cached: -1, Left: true,
	})
}

// reportCrash tells of an attempt whose connection the target ended.
func (g *Gate) reportCrash(c *call, t *attempt, err error) {
	if c.ctx.Err() != nil || t.timedOut.Load() || !http1.Ended(err) {
		return // this daemon or the caller ended it
	}
	g.deps.Quarantine.TargetCrashed(c.digest, t.target, t.Sent)
}

// reportServed tells of an attempt that was answered whole. A failure that a target answers
// by itself says nothing: it may not have come to what would end it.
func (g *Gate) reportServed(c *call, t *attempt, status int) {
	if status/100 == http.StatusOK/100 {
		g.deps.Quarantine.Served(c.digest, t.target, t.Sent)
	}
}

// noQuarantine is a quarantine that holds nothing.
type noQuarantine struct{}

func (noQuarantine) Held(digest.Digest) (time.Duration, bool)                   { return 0, false }
func (noQuarantine) TargetCrashed(digest.Digest, fireflypath.Target, time.Time) {}
func (noQuarantine) Served(digest.Digest, fireflypath.Target, time.Time)        {}
