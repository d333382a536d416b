package rollout

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/coordinator"
	decide "github.com/fireflypath/fireflypath/internal/decide/rollout"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/logs"
)

const (
	// holderInterval is the time between decisions of the daemon that holds a trial, observerInterval that
	// between looks at the trial by the others.
	holderInterval, observerInterval = 100 * time.Millisecond, 250 * time.Millisecond
	// renewInterval is the time between writes of the holder. holderLease is how long it gives permissions
	// after a write: less than takeoverDelay, after which another daemon takes over. Each further
	// candidate waits takeoverStep longer.
	renewInterval, holderLease  = time.Second, 1800 * time.Millisecond
	takeoverDelay, takeoverStep = 2200 * time.Millisecond, 500 * time.Millisecond
	// goneDelay replaces takeoverDelay if the holder has left or is taken for dead.
	goneDelay = 300 * time.Millisecond
	// holderCandidates is the number of daemons that may hold a trial.
	holderCandidates = 6
	// startTime is how long after its start a daemon may learn of an order that was given before.
	startTime = 5 * time.Second
	// retryDelay is the time from a write that failed to the next one.
	retryDelay = 200 * time.Millisecond
	// writeTimeout bounds a write to the store, so that a decision is not late by more.
	writeTimeout = time.Second
)

// trials holds the trials that this daemon decides and what it has seen of the others.
type trials struct {
	mu sync.Mutex
	// held holds the trials of this daemon by pool, attempted those that it has tried to get last.
	held, attempted map[string]*heldTrial
	// failedAt is when the last write for a pool failed.
	failedAt map[string]time.Time
	// seen holds when the stored trial of a pool last changed.
	seen map[string]seenRecord
}

type seenRecord struct {
	revision uint64
	at       time.Time
}

// heldTrial is a trial that this daemon decides.
type heldTrial struct {
	id, term uint64
	trial    *decide.Trial
	// confirmedAt is when the last write that succeeded was begun. Permissions are given for
	// holderLease from then on.
	confirmedAt time.Time
	// written is the revision of that write.
	written uint64
	// attempted is the number of the last write, which was begun at attemptedAt. The store may have
	// applied it although its answer was lost.
	attempted   uint64
	attemptedAt time.Time
	// phase and why are the decision, which is written again until that succeeds.
	phase fireflypath.RolloutPhase
	why   string
}

func newTrials() trials {
	return trials{
		held: map[string]*heldTrial{}, attempted: map[string]*heldTrial{}, failedAt: map[string]time.Time{}, seen: map[string]seenRecord{},
	}
}

// interval is the time until the next step.
func (c *Coordinator) interval() time.Duration {
	if c.deps.Tracker == nil {
		return stepInterval
	}
	c.trials.mu.Lock()
	defer c.trials.mu.Unlock()
	if len(c.trials.held) > 0 {
		return holderInterval
	}
	return observerInterval
}

// candidateIndex returns how many daemons come before this one as holders. It reports false if it is not a
// candidate.
func (c *Coordinator) candidateIndex() (int, bool) {
	chosen := coordinator.Choose(c.deps.Members.Live(), holderCandidates)
	i := slices.IndexFunc(chosen, func(m fireflypath.Member) bool { return m.Name == c.deps.Self })
	return i, i >= 0
}

// try advances the trial of an order that this daemon has known since the given time.
func (c *Coordinator) try(ctx context.Context, r fireflypath.Rollout, since time.Time) {
	c.trials.mu.Lock()
	pause := c.deps.Clock.Since(c.trials.failedAt[r.Pool]) < retryDelay
	c.trials.mu.Unlock()
	if pause {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	if err := c.advance(ctx, r, since); err != nil {
		c.trials.mu.Lock()
		c.trials.failedAt[r.Pool] = c.deps.Clock.Now()
		c.trials.mu.Unlock()
		c.deps.Log.Warn("trial of a version not advanced", zap.String("pool", r.Pool), zap.String("version", r.Version), logs.Err(err))
	}
}

func (c *Coordinator) advance(ctx context.Context, r fireflypath.Rollout, since time.Time) error {
	now := c.deps.Clock.Now()
	changedAt := c.observeRecord(r, now)
	if c.isBehind(r) {
		return nil
	}
	index, candidate := c.candidateIndex()
	if r.Tried && r.Record.Phase.Final() {
		c.release(r.Pool)
		if r.Record.Holder == c.deps.Self || candidate && now.Sub(changedAt) >= time.Duration(index)*takeoverStep {
			return c.publish(ctx, r)
		}
		return nil
	}
	if c.deps.Tracker == nil {
		return nil // the trial belongs to the daemons whose settings allow it
	}
	if !r.Tried {
		if candidate && now.Sub(since) >= time.Duration(index)*takeoverStep {
			return c.begin(ctx, r, since)
		}
		return nil
	}
	if h := c.holds(r); h != nil {
		return c.decide(ctx, r, h)
	}
	delay := takeoverDelay
	if !slices.ContainsFunc(c.deps.Members.Live(), func(m fireflypath.Member) bool { return m.Name == r.Record.Holder && !m.Leaving }) {
		delay = goneDelay
	}
	mine := r.Record.Holder == c.deps.Self
	if mine || candidate && now.Sub(changedAt) >= delay+time.Duration(index)*takeoverStep {
		return c.takeOver(ctx, r, since)
	}
	return nil
}

// isBehind reports whether the view does not show this daemon's last write yet.
func (c *Coordinator) isBehind(r fireflypath.Rollout) bool {
	c.trials.mu.Lock()
	defer c.trials.mu.Unlock()
	h := c.trials.held[r.Pool]
	return h != nil && h.written > r.RecordRevision
}

// observeRecord returns when this daemon saw the last change of the stored trial.
func (c *Coordinator) observeRecord(r fireflypath.Rollout, now time.Time) time.Time {
	c.trials.mu.Lock()
	defer c.trials.mu.Unlock()
	s, ok := c.trials.seen[r.Pool]
	if !ok || s.revision != r.RecordRevision {
		s = seenRecord{r.RecordRevision, now}
		c.trials.seen[r.Pool] = s
	}
	return s.at
}

// holds returns the trial if this daemon holds it according to the store.
func (c *Coordinator) holds(r fireflypath.Rollout) *heldTrial {
	c.trials.mu.Lock()
	defer c.trials.mu.Unlock()
	h := c.trials.held[r.Pool]
	if !c.isHeld(h, r) {
		h = c.trials.attempted[r.Pool]
	}
	if !c.isHeld(h, r) {
		delete(c.trials.held, r.Pool)
		return nil
	}
	c.trials.held[r.Pool] = h
	if h.attempted == r.Record.Renewals && h.attemptedAt.After(h.confirmedAt) {
		h.confirmedAt, h.written = h.attemptedAt, r.RecordRevision
	}
	return h
}

// isHeld reports whether a trial is the one that this daemon holds according to the store.
func (c *Coordinator) isHeld(h *heldTrial, r fireflypath.Rollout) bool {
	return h != nil && h.id == r.Record.ID && h.term == r.Record.Term && r.Record.Holder == c.deps.Self
}

// forget drops what is kept of pools whose orders have a result or are gone.
func (c *Coordinator) forget(pending map[string]bool) {
	c.trials.mu.Lock()
	defer c.trials.mu.Unlock()
	maps.DeleteFunc(c.trials.held, func(pool string, _ *heldTrial) bool { return !pending[pool] })
	maps.DeleteFunc(c.trials.attempted, func(pool string, _ *heldTrial) bool { return !pending[pool] })
	maps.DeleteFunc(c.trials.failedAt, func(pool string, _ time.Time) bool { return !pending[pool] })
	maps.DeleteFunc(c.trials.seen, func(pool string, _ seenRecord) bool { return !pending[pool] })
}

// release ends what this daemon knows of a trial that it decided.
func (c *Coordinator) release(pool string) {
	c.trials.mu.Lock()
	defer c.trials.mu.Unlock()
	delete(c.trials.held, pool)
}

// begin writes the first record of an order's trial.
func (c *Coordinator) begin(ctx context.Context, r fireflypath.Rollout, since time.Time) error {
	next := fireflypath.RolloutRecord{
		ID: rand.Uint64() | 1, Version: r.Version, Phase: fireflypath.RolloutTrial, Holder: c.deps.Self, Term: 1,
		Began: since.UnixMilli(), Withheld: r.Withheld,
	}
	if r.Record.Version == r.Version && r.Record.Phase == fireflypath.RolloutAccepted {
		next.Phase, next.Why = fireflypath.RolloutAccepted, "an earlier order of it was completed"
	}
	h := c.newHeld(r, next, since)
	if err := c.write(ctx, r, next, h); err != nil {
		return err
	}
	if next.Phase.Final() {
		return nil // the status follows once the view shows the record
	}
	c.deps.Log.Info("trial of a version began", zap.String("pool", r.Pool), zap.String("version", r.Version), zap.Duration("within", r.Duration))
	return c.putStatus(ctx, r, fireflypath.RolloutRunning)
}

// takeOver makes this daemon the holder of a trial whose holder is silent.
func (c *Coordinator) takeOver(ctx context.Context, r fireflypath.Rollout, since time.Time) error {
	next := r.Record
	next.Holder, next.Term = c.deps.Self, r.Record.Term+1
	if err := c.write(ctx, r, next, c.newHeld(r, next, c.beganAt(r, since))); err != nil {
		return err
	}
	c.deps.Log.Warn("trial of a version taken over", zap.String("pool", r.Pool), zap.String("version", r.Version),
		zap.String("from", r.Record.Holder), zap.Uint64("term", next.Term), zap.String("phase", string(next.Phase)))
	return nil
}

// beganAt returns when the order of a trial was given. A daemon that was running then trusts its own clock,
// another one that of the daemon that began the trial.
func (c *Coordinator) beganAt(r fireflypath.Rollout, since time.Time) time.Time {
	if since.Sub(c.startedAt) > startTime {
		return since
	}
	return time.UnixMilli(r.Record.Began)
}

func (c *Coordinator) newHeld(r fireflypath.Rollout, next fireflypath.RolloutRecord, began time.Time) *heldTrial {
	now := c.deps.Clock.Now()
	if began.After(now) {
		began = now // the clock of the daemon that saw the order is ahead
	}
	h := &heldTrial{id: next.ID, term: next.Term, phase: next.Phase, trial: decide.NewTrial(c.deps.Policy, now, began, r.Duration, next.Reserved)}
	if next.Phase == fireflypath.RolloutSwitch {
		h.trial.Switched(now)
	}
	return h
}

// write writes the record if it is still the one that was read, and adopts the trial if that succeeds.
func (c *Coordinator) write(ctx context.Context, r fireflypath.Rollout, next fireflypath.RolloutRecord, h *heldTrial) error {
	next.Renewals++
	b, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode trial of a version")
	}
	begun := c.deps.Clock.Now()
	c.trials.mu.Lock()
	h.attempted, h.attemptedAt = next.Renewals, begun
	c.trials.attempted[r.Pool] = h
	c.trials.mu.Unlock()
	c.writes.Inc(1)
	revision, err := c.deps.Store.Put(ctx, directory.RolloutPrefix+r.Pool, b, r.RecordRevision, 0)
	if err != nil {
		return errors.Wrap(err, "write trial of a version")
	}
	c.trials.mu.Lock()
	defer c.trials.mu.Unlock()
	h.confirmedAt, h.written = begun, revision
	h.trial.Reserved(next.Reserved)
	if next.Phase == fireflypath.RolloutSwitch {
		h.trial.Switched(c.deps.Clock.Now())
	}
	c.trials.held[r.Pool] = h
	return nil
}

// decide makes the decision that is due in a trial that this daemon holds, and writes it, or that it still
// holds the trial.
func (c *Coordinator) decide(ctx context.Context, r fireflypath.Rollout, h *heldTrial) error {
	now := c.deps.Clock.Now()
	names := make([]string, 0, len(r.Targets))
	for _, t := range r.Targets {
		names = append(names, t.Name)
	}
	var live []string
	for _, m := range c.deps.Members.Live() {
		live = append(live, m.Name)
	}
	c.trials.mu.Lock()
	if r.Record.Phase == fireflypath.RolloutSwitch {
		h.trial.Switched(now) // the answer to the write may have been lost
	}
	if h.phase == r.Record.Phase {
		h.trial.SetTargets(names, r.OldTargets)
		phase, why := h.trial.Decide(now, live)
		if phase := fireflypath.RolloutPhase(phase); phase != h.phase {
			h.phase, h.why = phase, why
		}
	}
	next := r.Record
	next.Reserved = h.trial.WantReserved()
	sample, old, seen, tried, finding := h.trial.Summary()
	due := h.phase != r.Record.Phase || next.Reserved > r.Record.Reserved || now.Sub(h.confirmedAt) >= renewInterval
	if h.phase != r.Record.Phase {
		next.Phase, next.Why = h.phase, h.why
	}
	next.Tried, next.Failed, next.Old = sample.N, sample.Failed, old
	c.trials.mu.Unlock()
	if !due {
		return nil
	}
	if err := c.write(ctx, r, next, h); err != nil {
		return err
	}
	if next.Phase == r.Record.Phase {
		if !r.Running {
			return c.putStatus(ctx, r, fireflypath.RolloutRunning)
		}
		return nil
	}
	c.deps.Log.Info("trial of a version changed its phase", zap.String("pool", r.Pool), zap.String("version", r.Version),
		zap.String("phase", string(next.Phase)), zap.String("why", next.Why), zap.Int("responses", sample.N), zap.Int("failed", sample.Failed),
		zap.Int("old_responses", old), zap.Int("requests", seen), zap.Int("tried", tried), zap.Stringer("finding", finding),
		zap.Duration("after", now.Sub(time.UnixMilli(r.Record.Began))))
	c.deps.Scope.SubScope("rollout").Tagged(map[string]string{"phase": string(next.Phase)}).Counter("decisions").Inc(1)
	return nil
}

// publish writes what the operator reads of a final phase.
func (c *Coordinator) publish(ctx context.Context, r fireflypath.Rollout) error {
	state := fireflypath.RolloutCompleted
	if r.Record.Phase == fireflypath.RolloutRejected {
		state = fireflypath.RolloutRolledBack
		if !slices.Contains(r.Refused, r.Version) {
			if err := c.refuse(ctx, r); err != nil {
				return err
			}
		}
	}
	return c.putStatus(ctx, r, state)
}

// putStatus writes the state that the operator reads.
func (c *Coordinator) putStatus(ctx context.Context, r fireflypath.Rollout, state fireflypath.RolloutState) error {
	_, prefix := c.deps.Codec.RolloutPrefixes()
	b, err := c.deps.Codec.EncodeRolloutStatus(fireflypath.RolloutStatus{Pool: r.Pool, Version: r.Version, State: state})
	if err != nil {
		return err
	}
	if err := c.put(ctx, prefix+r.Pool, b, r.StatusRevision); err != nil {
		return errors.Wrap(err, "write the status")
	}
	c.deps.Log.Info("roll-out has a state", zap.String("pool", r.Pool), zap.String("version", r.Version),
		zap.String("state", string(state)), zap.String("why", r.Record.Why))
	return nil
}

// receive adds a daemon's report and returns its permission. It reports false if this daemon does not hold
// the trial.
func (c *Coordinator) receive(from string, m *reportMessage) (permissionMessage, bool) {
	now := c.deps.Clock.Now()
	c.trials.mu.Lock()
	defer c.trials.mu.Unlock()
	h := c.trials.held[m.Pool]
	if h == nil || h.id != m.ID {
		return permissionMessage{}, false
	}
	p := h.trial.Report(now, from, m.Boot, m.Report)
	if h.phase != fireflypath.RolloutTrial || now.Sub(h.confirmedAt) > holderLease {
		p.Targets = nil
	}
	return permissionMessage{Term: h.term, Permission: p}, true
}
