package gate

import (
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/http1"
)

// maxParts bounds the parts of a prompt that are considered.
const maxParts = 16

// computeDigest sets the digests of the request and of the parts of its prompt.
func (g *Gate) computeDigest(c *call) *refusal {
	r := digest.Request{Method: c.r.Method, Host: c.r.Host, URI: c.requestURI(), Body: c.body}
	if c.team != nil {
		r.Team = c.team.Name
	}
	c.digest = digest.Of(r)
	parts := g.deps.Codec.SharedParts(c.r.Header.Get(g.headers.Parts))
	c.causes = append(make([]digest.Digest, 0, 1+2*len(parts)), c.digest)
	for _, part := range parts[:min(len(parts), maxParts)] {
		d := digest.OfPart("", part)
		if slices.Contains(c.parts, d) {
			continue
		}
		c.parts = append(c.parts, d)
		if r.Team != "" {
			// A team whose own requests crash targets must not get the part of others refused.
			c.causes = append(c.causes, digest.OfPart(r.Team, part))
		}
		c.causes = append(c.causes, d)
	}
	return nil
}

// partsField returns the log field that lists the parts of a request's prompt.
func (c *call) partsField() zap.Field {
	if len(c.parts) == 0 {
		return zap.Skip()
	}
	return zap.Stringers("parts", c.parts)
}

// refuseIfHeld refuses a quarantined request. It runs before quota is taken.
func (g *Gate) refuseIfHeld(c *call) *refusal {
	held, remaining, ok := g.deps.Quarantine.Held(c.causes)
	if !ok {
		return nil
	}
	what := "this request, it is"
	if held != c.digest {
		what = "requests with a part of this one, they are"
	}
	return notRun(reasonHeld, "targets have ended under "+what+" held as "+held.String(), remaining)
}

// releaseUnsent ends an attempt that has a target but was not sent.
func (g *Gate) releaseUnsent(att *attempt) {
	att.result = string(reasonHeld)
	att.rollout.Unsent()
	if att.direct {
		att.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateWithdrawn)
		return
	}
	att.Work.Lifecycle.Transition(fireflypath.StateDispatched, fireflypath.StateWithdrawn)
	att.pool.Observe(fireflypath.Event{
		Kind: fireflypath.EventFailed, Target: att.target.Name, Work: &att.Work, Sent: att.Sent, Cached: -1, NotByTarget: true,
	})
}

// reportCrash reports an attempt whose connection was ended by the target, or whose target's
// host fell silent.
func (g *Gate) reportCrash(c *call, att *attempt, err error) {
	att.pathLost = errors.Is(err, http1.ErrPathLost)
	if c.ctx.Err() != nil || att.timedOut.Load() || !http1.ConnectionLost(err) {
		return // the connection was ended by this daemon or the caller
	}
	g.deps.Quarantine.TargetCrashed(c.causes, att.target, att.Sent)
}

// reportServed reports a complete, successful response. A failure response proves nothing:
// the target may not have reached the code that would crash it. Nor does the end of a connection:
// it only shows that the target was alive when it sent the header.
func (g *Gate) reportServed(c *call, att *attempt, status int) {
	switch {
	case status/100 != http.StatusOK/100:
	case att.framing == http1.FramingClose:
		g.deps.Quarantine.Alive(att.target, att.Sent)
	default:
		g.deps.Quarantine.Served(c.causes, att.target, att.Sent)
	}
}

// noQuarantine is a Quarantine that holds no requests.
type noQuarantine struct{}

func (noQuarantine) Held([]digest.Digest) (digest.Digest, time.Duration, bool)    { return 0, 0, false }
func (noQuarantine) TargetCrashed([]digest.Digest, fireflypath.Target, time.Time) {}
func (noQuarantine) Alive(fireflypath.Target, time.Time)                          {}
func (noQuarantine) Served([]digest.Digest, fireflypath.Target, time.Time)        {}
