package gate

import (
	"context"
	"slices"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/decide/origin"
)

// findOrigin restricts the request of a caller that resumes a stream to the version that began it. What
// two versions write does not fit together, so that a stream whose version nobody knows is refused.
func (g *Gate) findOrigin(c *call) *refusal {
	if !c.route.Resumable || c.lastEvent == "" && c.resumes == "" {
		return nil
	}
	pools := origin.Pools(c.route)
	o, ok := g.searchOrigin(c, pools)
	switch {
	case !ok && c.ctx.Err() != nil:
		return g.deadlineRefusal(c) // the caller did not wait for the search
	case !ok:
		return notRun(reasonUnknownOrigin, "no daemon knows which version began the stream", defaultRetryAfter)
	case o == origin.Origin{}:
		return nil
	case !slices.Contains(pools, o.Pool):
		return notRun(reasonUnknownOrigin, "the pool that began the stream does not serve the route any longer", 0)
	}
	c.pool, c.version = o.Pool, o.Version
	g.deps.Log.Info("stream resumed", zap.String("request", c.id), zap.String("resumes", c.resumes),
		zap.Stringer("digest", c.digest), zap.String("after", c.lastEvent), zap.String("pool", o.Pool), zap.String("version", o.Version))
	return nil
}

// searchOrigin searches for the stream by the request that began it, or by its work if the caller does not
// name that request.
func (g *Gate) searchOrigin(c *call, pools []string) (origin.Origin, bool) {
	if c.resumes == "" {
		return g.deps.Origins.FindWork(c.ctx, g.workKey(c), pools)
	}
	return g.deps.Origins.Find(c.ctx, c.streamKey(c.resumes), pools)
}

// recordOrigin records at which version of its pool the stream begins or goes on, before the request
// is sent. From then on the request stays with targets of that version, also if it is sent again before
// the first event: other daemons may learn of a second version only after the caller has come back to
// one of them. If no other target has that version, the request fails and its caller starts a new one.
func (g *Gate) recordOrigin(c *call, att *attempt) {
	if !c.route.Resumable {
		return
	}
	o := origin.Origin{Pool: c.pool, Version: att.target.Version}
	// A route that has changed since the request arrived may be back before any daemon has seen its change.
	alone := len(c.route.Split) == 1 && g.deps.Configs.Current().Version == c.cfg.Version
	g.deps.Origins.Began(c.streamKey(c.id), o, alone)
	g.deps.Origins.Began(c.streamKey(c.resumes), o, alone)
	g.deps.Origins.BeganWork(g.workKey(c), o, alone)
	c.version = o.Version
}

// streamKey returns the key of the stream that a request of the caller's team began.
func (c *call) streamKey(id string) origin.Key {
	if c.team == nil {
		return origin.KeyOf("", id)
	}
	return origin.KeyOf(c.team.Name, id)
}

// workKey returns the key of the caller's work. The last part of a prompt belongs to one request or session,
// so that the streams of other callers have another key although their bodies are equal.
func (g *Gate) workKey(c *call) origin.Key {
	return origin.WorkKeyOf(uint64(c.digest), c.r.Header.Get(g.headers.Parts))
}

// noOrigins is an Origins that restricts nothing.
type noOrigins struct{}

func (noOrigins) Began(origin.Key, origin.Origin, bool) {}

func (noOrigins) BeganWork(origin.Key, origin.Origin, bool) {}

func (noOrigins) FindWork(context.Context, origin.Key, []string) (origin.Origin, bool) {
	return origin.Origin{}, true
}

func (noOrigins) Find(context.Context, origin.Key, []string) (origin.Origin, bool) {
	return origin.Origin{}, true
}
