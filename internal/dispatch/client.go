package dispatch

import (
	"context"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/remote"
	"github.com/fireflypath/fireflypath/internal/logs"
	"github.com/fireflypath/fireflypath/internal/peer"
	"github.com/fireflypath/fireflypath/internal/route/pool"
)

// client has a dispatcher place the work of one pool of this daemon.
type client struct {
	d     *Dispatch
	pool  *pool.Pool
	name  string
	sched *remote.Scheduler

	// createdAt is when the pool became known. wakeup makes run take the next step at once.
	createdAt time.Time
	wakeup    chan struct{}

	// The fields below belong to run.
	// dispatcher is the chosen one; its name is empty while there is none.
	dispatcher fireflypath.Member
	// avoidUntil is until when an unresponsive daemon is not tried again.
	avoidUntil map[string]time.Time
	// avoided holds these daemons as they were known then. One that has started again is tried.
	avoided map[string]fireflypath.Member
	// notReady counts the times that a daemon answered that it does not have the pool, since it last was
	// the dispatcher.
	notReady map[string]int
	// losses holds the losses of dispatchers that this daemon was attached to.
	losses map[string]loss
	// lostAt is when the last dispatcher was lost.
	lostAt time.Time
	// lastSent is when the last update was sent to the dispatcher. sentHeld is true if it said that an
	// earlier dispatcher may still use this daemon's part of what targets bear.
	lastSent time.Time
	sentHeld bool
	// resumed is true if the session replaces one that failed and no update of it was answered yet.
	resumed bool

	leases leases

	mu sync.Mutex
	// session is 0 while there is none.
	session uint64
	// attachedTo is the dispatcher of the session.
	attachedTo string
	// received is when the dispatcher sent the last message of the session that was received here, by its
	// own clock.
	received fireflypath.Micros
	// loansMu is held while what the cell has lent is compared and applied. It is locked before mu.
	loansMu sync.Mutex
	// lentVersion is the version of what the cell has lent, as the dispatcher of the session said.
	lentVersion uint64
}

// loss describes how a dispatcher was lost the last time.
type loss struct {
	at time.Time
	// avoided is how long it was not selected again.
	avoided time.Duration
}

func newClient(d *Dispatch, p *pool.Pool, name string, sched *remote.Scheduler) *client {
	return &client{
		d: d, pool: p, name: name, sched: sched, avoidUntil: map[string]time.Time{}, avoided: map[string]fireflypath.Member{}, notReady: map[string]int{}, losses: map[string]loss{},
		leases: leases{ends: map[uint64]time.Time{}}, createdAt: d.clock.Now(), wakeup: make(chan struct{}, 1),
	}
}

// wake makes run take the next step at once.
func (c *client) wake() {
	select {
	case c.wakeup <- struct{}{}:
	default:
	}
}

// fleetChanged returns a channel that is closed at the next change of the fleet while this daemon has
// just started, and nil after that: the generation of any daemon is such a change.
func (c *client) fleetChanged() <-chan struct{} {
	n, ok := c.d.fleet.(changeNotifier)
	if !ok || c.d.clock.Since(c.createdAt) > startPeriod {
		return nil
	}
	return n.Changed()
}

// changeNotifier is a fleet that tells of its changes.
type changeNotifier interface{ Changed() <-chan struct{} }

// run exchanges messages with the dispatcher until the context ends. Only one message is in transit at
// a time: changes in the meantime are sent with the next one.
func (c *client) run(ctx context.Context) {
	t := c.d.clock.NewTimer(pollInterval)
	defer t.Stop()
	for {
		changed := c.fleetChanged()
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
		case <-changed:
		case <-c.wakeup:
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
	waiting, limits := false, false
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		changes, waiting, limits = c.sched.TakeUpdate(now), c.sched.HasPending(), c.sched.DeclaresLimits()
		return out
	})
	terms := c.leaseTerms()
	released := c.sentHeld && terms.Held == 0
	if changes.Empty() && !released && c.d.clock.Since(c.lastSent) < c.heartbeatInterval(waiting, limits) {
		return !waiting
	}
	c.lastSent, c.sentHeld = c.d.clock.Now(), terms.Held > 0
	if c.dispatcher.Name != c.d.self {
		c.leases.grant(c.currentSession(), c.lastSent, terms.Lease.Std())
	}
	decisions, err := c.send(ctx, c.dispatcher, updateMessage{
		Pool: c.name, Session: c.currentSession(), leaseTerms: terms, DispatchUpdate: changes,
	})
	if err != nil {
		c.handleFailure(ctx, err)
		return false
	}
	c.resumed = false
	c.applyDecisions(&decisions)
	return !waiting
}

// heartbeatInterval is the longest time between two updates.
func (c *client) heartbeatInterval(waiting, limits bool) time.Duration {
	switch {
	case waiting:
		return waitingHeartbeat
	case limits:
		return leaseInterval(len(c.d.Candidates(c.name)))
	default:
		return c.idleInterval()
	}
}

// leaseTerms returns the terms on which the dispatcher may use this daemon's part of what targets bear.
func (c *client) leaseTerms() leaseTerms {
	c.mu.Lock()
	session, received := c.session, c.received
	c.mu.Unlock()
	return leaseTerms{
		Received: received, Lease: fireflypath.MicrosOf(heartbeatsPerLease * leaseInterval(len(c.d.Candidates(c.name)))),
		Held: fireflypath.MicrosOf(c.leases.remaining(c.d.clock.Now(), session)),
	}
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
		if c.dispatcher.Name != "" {
			return true // the work goes on there before the next candidate is tried
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

// bestCandidate returns the first candidate that runs and was not unresponsive recently. For startGrace
// it waits for those that may be starting as well; meanwhile there is none. A candidate that is known only
// from its record, or that would replace a dispatcher that works, has to answer a probe first.
func (c *client) bestCandidate() (fireflypath.Member, bool) {
	now, attached := c.d.clock.Now(), c.dispatcher.Name != ""
	awaited, pending := 0, 0
	for _, m := range c.d.Candidates(c.name) {
		if !now.After(c.avoidUntil[m.Name]) && isSameStart(c.avoided[m.Name], m) {
			if c.notReady[m.Name] > 0 {
				awaited++
			}
			continue
		}
		known := m.Name == c.d.self || m.Name == c.dispatcher.Name || !m.Unconfirmed && !attached
		if !known {
			if pending >= maxProbes {
				continue
			}
			if p := c.d.probe(m); !p.answered {
				awaited++
				if p.pending {
					pending++
				}
				continue
			}
		}
		if awaited > 0 && !attached && now.Sub(c.createdAt) < startGrace {
			break
		}
		return m, true
	}
	return fireflypath.Member{}, false
}

// attach starts a session with a dispatcher. Work is handed over only once it has
// responded. A dispatcher that is gone would hold the work until its silence is noticed.
func (c *client) attach(ctx context.Context, to fireflypath.Member) bool {
	session := rand.Uint64()
	first := updateMessage{Pool: c.name, Session: session, First: true}
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		first.Notices, first.Lent = c.sched.Notices(now), c.loans()
		return out
	})
	answer, err := c.send(ctx, to, first)
	if err != nil {
		c.avoid(to, err)
		return false
	}
	delete(c.notReady, to.Name)
	previous, previousSession := c.dispatcher, c.currentSession()
	c.dispatcher, c.lastSent, c.resumed = to, time.Time{}, false
	c.setSession(session, answer.At)
	c.setAttachedTo(to.Name)
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		c.sched.Attach(now)
		return out
	})
	// The dispatcher does not repeat the notices that this answer contains.
	c.applyDecisions(&answer)
	c.d.metrics.attached.Inc(1)
	c.d.attachedOnce.Do(func() { close(c.d.firstAttached) })
	c.d.log.Info("attached to dispatcher", zap.String("pool", c.name), zap.String("dispatcher", to.Name))
	if previous.Name == to.Name {
		c.leases.forget(previousSession)
		return true
	}
	c.endSession(previous, previousSession)
	return true
}

// handleFailure handles an update that was not answered. If the dispatcher may only be late, or has
// ended the session, it is asked for a new one once: a daemon that changed its dispatcher for each
// delay would let two decide over the same targets.
func (c *client) handleFailure(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.lostAt = c.d.clock.Now()
	if mayBeLate(err) && !c.resumed && c.attach(ctx, c.dispatcher) {
		c.resumed = true
		return
	}
	c.handleLoss(ctx, err)
}

// mayBeLate reports whether a call failed although the daemon may be alive and reachable.
func mayBeLate(err error) bool {
	return errors.Is(err, context.DeadlineExceeded) || !errors.Is(err, peer.ErrUnreachable)
}

// wasAnswered reports whether a call failed because the other daemon answered with an error.
func wasAnswered(err error) bool {
	return !errors.Is(err, context.DeadlineExceeded) && !errors.Is(err, peer.ErrUnreachable) && !errors.Is(err, errClosed)
}

// handleLoss handles a dispatcher that stopped responding. Its work is held back while
// another dispatcher is selected. All daemons of a cell lose the dispatcher together.
// If each placed its own work, the targets would be overloaded.
func (c *client) handleLoss(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	previous, session := c.dispatcher, c.currentSession()
	c.avoid(previous, err)
	c.prolongAvoidance(previous)
	c.d.metrics.lost.Inc(1)
	c.dispatcher = fireflypath.Member{}
	c.setSession(0, 0)
	c.endSession(previous, session)
	c.selectDispatcher(ctx)
}

// avoid does not try a daemon again for avoidPeriod, or for a shorter time if it may just not be ready.
func (c *client) avoid(m fireflypath.Member, err error) {
	if m.Name != c.d.self {
		period := avoidPeriod
		switch {
		case wasAnswered(err):
			period = min(notReadyAvoidPeriod<<min(c.notReady[m.Name], maxNotReadyDoublings), avoidPeriod)
			c.notReady[m.Name]++
			c.forgetGone()
		case m.Unconfirmed:
			period = unconfirmedAvoidPeriod
		}
		c.avoidUntil[m.Name], c.avoided[m.Name] = c.d.clock.Now().Add(period), m
		if wasAnswered(err) && c.notReady[m.Name] <= quietNotReady {
			return
		}
	}
	c.d.log.Warn("dispatcher does not respond", zap.String("pool", c.name), zap.String("dispatcher", m.Name), logs.Err(err))
}

// forgetGone forgets what is known of daemons that have left the fleet.
func (c *client) forgetGone() {
	live := c.d.fleet.Live()
	isGone := func(name string) bool { _, ok := fireflypath.FindMember(live, name); return !ok }
	maps.DeleteFunc(c.notReady, func(name string, _ int) bool { return isGone(name) })
	maps.DeleteFunc(c.avoided, func(name string, _ fireflypath.Member) bool { return isGone(name) })
}

// prolongAvoidance avoids a dispatcher for longer if it was lost before. It answers now and then, and
// each change delays the work that waits.
func (c *client) prolongAvoidance(m fireflypath.Member) {
	if m.Name == c.d.self {
		return
	}
	now, period := c.d.clock.Now(), avoidPeriod
	if last, ok := c.losses[m.Name]; ok && now.Sub(last.at) < lossMemory {
		period = min(2*last.avoided, maxAvoidPeriod)
	}
	c.losses[m.Name] = loss{at: now, avoided: period}
	c.avoidUntil[m.Name] = now.Add(period)
}

// scheduleLocally makes this daemon place its own work.
func (c *client) scheduleLocally() {
	c.dispatcher = fireflypath.Member{}
	c.setSession(0, 0)
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		c.sched.SetLeasedUntil(now.Add(c.leases.remaining(now, 0)))
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
	if previous.Name == c.d.self {
		_, _ = c.send(c.d.ctx, previous, m)
		return
	}
	c.d.spawn(func() {
		// If the message is lost, the session ends after sessionTimeout.
		if _, err := c.send(c.d.ctx, previous, m); err == nil || wasAnswered(err) {
			c.leases.release(session, c.d.clock.Now())
		}
	})
}

func (c *client) currentSession() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.session
}

func (c *client) setSession(session uint64, received fireflypath.Micros) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.session, c.received, c.lentVersion, c.attachedTo = session, received, 0, ""
}

func (c *client) setAttachedTo(dispatcher string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attachedTo = dispatcher
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
	result := make(chan updateResult, 1)
	started := c.d.spawn(func() {
		r := c.call(to, m)
		result <- r
		if r.err == nil && ctx.Err() != nil {
			c.applyNotices(r.decisions.Notices)
		}
	})
	if !started {
		return decisionsMessage{}, errClosed
	}
	select {
	case r := <-result:
		return r.decisions, r.err
	case <-ctx.Done():
		return decisionsMessage{}, errors.Wrapf(ctx.Err(), "call %s at %s", methodUpdate, to.Name)
	}
}

// updateResult is the outcome of an update.
type updateResult struct {
	decisions decisionsMessage
	err       error
}

// call sends an update and waits for the answer for longer than its sender may.
func (c *client) call(to fireflypath.Member, m updateMessage) (r updateResult) {
	ctx, cancel := context.WithTimeout(c.d.ctx, lateAnswerTimeout)
	defer cancel()
	r.err = c.d.peers.Call(ctx, to, methodUpdate, m, &r.decisions)
	return r
}

// applyNotices applies what a message says of targets that came too late for its decisions to count. It
// may be of an earlier dispatcher, so the present one is sent them.
func (c *client) applyNotices(notices []fireflypath.TargetNotice) {
	if len(notices) == 0 {
		return
	}
	c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
		c.sched.Local.ApplyNotices(now, notices)
		return out
	})
}

// applyDecisions applies decisions. It reports false if they belong to another session.
func (c *client) applyDecisions(m *decisionsMessage) bool {
	c.mu.Lock()
	known := c.session != 0 && c.session == m.Session
	if known {
		c.received = max(c.received, m.At)
	}
	c.mu.Unlock()
	if !known {
		c.applyNotices(m.Notices)
		return false
	}
	c.applyLoans(m.Lent)
	if len(m.Notices)+len(m.Decisions) > 0 {
		c.pool.Update(func(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
			c.sched.ApplyNotices(now, m.Notices)
			return c.sched.ApplyDecisions(now, m.Decisions, out)
		})
	}
	return true
}
