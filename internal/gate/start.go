package gate

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// startHoldPeriod is how long after its start a daemon lets requests wait for its first
	// configuration, and maxStartWait how long each waits. Callers and load balancers
	// avoid a daemon that has refused requests for longer than a start takes.
	startHoldPeriod = time.Second
	maxStartWait    = 250 * time.Millisecond
	// maxHeldAtStart limits the requests that wait. Their bodies have not been read.
	maxHeldAtStart = 256
	// retryAfterStart is the retry delay for callers refused before the first configuration because
	// too many wait already. By then most of those that wait have been admitted.
	retryAfterStart = 100 * time.Millisecond
)

// startHold holds the requests that arrive before the first configuration.
type startHold struct {
	since time.Time
	// held is the number of requests that wait, total how many have waited.
	held, total atomic.Int64
}

// awaitStart waits until the first configuration is in force, if this daemon has just started.
func (g *Gate) awaitStart(ctx context.Context, now time.Time) {
	if g.deps.Started == nil {
		return
	}
	select {
	case <-g.deps.Started:
		return
	default:
	}
	wait := min(maxStartWait, startHoldPeriod-now.Sub(g.start.since))
	if wait <= 0 {
		return
	}
	defer g.start.held.Add(-1)
	if g.start.held.Add(1) > maxHeldAtStart {
		return
	}
	g.start.total.Add(1)
	g.metrics.heldAtStart.Inc(1)
	t := g.deps.Clock.NewTimer(wait)
	defer t.Stop()
	select {
	case <-g.deps.Started:
	case <-t.Chan():
	case <-ctx.Done():
	}
}

// HeldAtStart returns the number of requests that have waited for the first configuration.
func (g *Gate) HeldAtStart() int64 { return g.start.total.Load() }

// staleViewRetry returns the retry delay for a caller refused for a stale view.
func (g *Gate) staleViewRetry(c *call) time.Duration {
	if c.cfg.Generation == 0 && g.start.held.Load() >= maxHeldAtStart {
		return retryAfterStart
	}
	return retryAfterStaleView
}
