package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/route/pool"
)

// client has a dispatcher place the work of one pool of this daemon.
type client struct {
	d     *Dispatch
	pool  *pool.Pool
	name  string
	sched *remote.Scheduler

	// The fields below belong to run.
	// dispatcher is the chosen one; its name is empty while there is none.
	dispatcher fireflypath.Member
	// avoidUntil is until when an unresponsive daemon is not tried again.
	avoidUntil map[string]time.Time
	// lostAt is when the last dispatcher was lost.
	lostAt time.Time
	// lastSent is when the last update was sent to the dispatcher.
	lastSent time.Time

	mu sync.Mutex
	// session is 0 while there is none.
	session uint64
}

// run exchanges messages with the dispatcher until the context ends. Only one message is in transit at
// a time: changes in the meantime are sent with the next one.
func (c *client) run(ctx context.Context) {
	t := c.d.clock.NewTimer(pollInterval)
	defer t.Stop()
	for {
		idle := c.step(ctx)
		t.Reset(pollInterval)
		if idle {
			t.Reset(idlePollInterval)
		}
		select {
		case <-ctx.Done():
			c.endSession(c.dispatcher, c.currentSession())
			return
		case <-c.sched.UpdateReady():
		case <-t.Chan():
		}
	}
}

// step selects the dispatcher and sends it the changes since the last update. It reports whether
// no work waits there.
func (c *client) step(ctx context.Context) (idle bool) {
	if !c.selectDispatcher(ctx) {
		return false
	}
	var changes fireflypath.DispatchUpdate
	waiting := false
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		changes, waiting = c.sched.TakeUpdate(now), c.sched.HasPending()
		return out
	})
	interval := waitingHeartbeat
	if !waiting {
		interval = c.idleInterval()
	}
	if changes.Empty() && c.d.clock.Since(c.lastSent) < interval {
		return !waiting
	}
	c.lastSent = c.d.clock.Now()
	decisions, err := c.send(ctx, c.dispatcher, updateMessage{Pool: c.name, Session: c.currentSession(), DispatchUpdate: changes})
	if err != nil {
		c.handleLoss(ctx, err)
		return false
	}
	c.applyDecisions(&decisions)
	return !waiting
}

// selectDispatcher attaches to the best dispatcher that responds. It reports whether
// there is one.
func (c *client) selectDispatcher(ctx context.Context) bool {
	for ctx.Err() == nil {
		best, ok := c.bestCandidate()
		if ok && best.Name == c.dispatcher.Name {
			c.dispatcher = best // its address and confirmation may have changed
			return true
		}
		if !ok || c.dispatcher.Name == "" && c.d.clock.Since(c.lostAt) > localFallbackDelay {
			c.scheduleLocally()
		}
		if !ok {
			return false
		}
		if c.attach(ctx, best) {
			return true
		}
	}
	return false
}

// idleInterval is the longest time between two updates while no work waits.
func (c *client) idleInterval() time.Duration {
	s := c.d.server(c.name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heartbeatInterval()
}

// bestCandidate returns the first candidate that was not unresponsive recently.
func (c *client) bestCandidate() (fireflypath.Member, bool) {
	now := c.d.clock.Now()
	for _, m := range c.d.Candidates(c.name) {
		if now.After(c.avoidUntil[m.Name]) {
			return m, true
		}
	}
	return fireflypath.Member{}, false
}

// attach starts a session with a dispatcher. Work is handed over only once it has
// responded. A dispatcher that is gone would hold the work until its silence is noticed.
func (c *client) attach(ctx context.Context, to fireflypath.Member) bool {
	session := rand.Uint64()
	answer, err := c.send(ctx, to, updateMessage{Pool: c.name, Session: session, First: true})
	if err != nil {
		c.avoid(to, err)
		return false
	}
	previous, previousSession := c.dispatcher, c.currentSession()
	c.dispatcher, c.lastSent = to, time.Time{}
	c.setSession(session)
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		c.sched.Attach(now)
		return out
	})
	// The dispatcher does not repeat the notices that this answer contains.
	c.applyDecisions(&answer)
	c.d.metrics.attached.Inc(1)
	c.d.log.Info("attached to dispatcher", zap.String("pool", c.name), zap.String("dispatcher", to.Name))
	c.endSession(previous, previousSession)
	return true
}

// handleLoss handles a dispatcher that stopped responding. Its work is held back while
// another dispatcher is selected. All daemons of a cell lose the dispatcher together.
// If each placed its own work, the targets would be overloaded.
func (c *client) handleLoss(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.avoid(c.dispatcher, err)
	c.d.metrics.lost.Inc(1)
	c.dispatcher = fireflypath.Member{}
	c.setSession(0)
	c.lostAt = c.d.clock.Now()
	c.selectDispatcher(ctx)
}

// avoid does not try a daemon again for avoidPeriod.
func (c *client) avoid(m fireflypath.Member, err error) {
	if m.Name != c.d.self {
		period := avoidPeriod
		if m.Unconfirmed {
			period = unconfirmedAvoidPeriod
		}
		c.avoidUntil[m.Name] = c.d.clock.Now().Add(period)
	}
	c.d.log.Warn("dispatcher does not respond", zap.String("pool", c.name), zap.String("dispatcher", m.Name), logs.Err(err))
}

// scheduleLocally makes this daemon place its own work.
func (c *client) scheduleLocally() {
	c.dispatcher = fireflypath.Member{}
	c.setSession(0)
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		if !c.sched.Attached() {
			return out
		}
		c.d.log.Warn("no dispatcher available, scheduling locally", zap.String("pool", c.name))
		return c.sched.Detach(now, out)
	})
}

// endSession ends a session with a previous dispatcher.
func (c *client) endSession(previous fireflypath.Member, session uint64) {
	if previous.Name == "" || session == 0 {
		return
	}
	m := updateMessage{Pool: c.name, Session: session, End: true}
	c.d.spawn(func() {
		// If the message is lost, the session ends after sessionTimeout.
		_, _ = c.send(c.d.ctx, previous, m)
	})
}

func (c *client) currentSession() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session
}

func (c *client) setSession(session uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session = session
}

func (c *client) send(ctx context.Context, to fireflypath.Member, m updateMessage) (decisionsMessage, error) {
	if to.Name == c.d.self {
		return c.d.processUpdate(c.d.self, &m)
	}
	timeout := callTimeout
	if to.Unconfirmed {
		timeout = unconfirmedTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var out decisionsMessage
	err := c.d.peers.Call(ctx, to, methodUpdate, m, &out)
	return out, err
}

// applyDecisions applies decisions. It reports false if they belong to another session.
func (c *client) applyDecisions(m *decisionsMessage) bool {
	c.mu.Lock()
	known := c.session != 0 && c.session == m.Session
	c.mu.Unlock()
	if !known {
		return false
	}
	if len(m.Notices)+len(m.Decisions) > 0 {
		c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
			c.sched.ApplyNotices(now, m.Notices)
			return c.sched.ApplyDecisions(now, m.Decisions, out)
		})
	}
	return true
}
