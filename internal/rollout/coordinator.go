// Package rollout answers the operator's roll-out orders.
package rollout

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/coordinator"
	decide "github.com/fireflypath/fireflypath/internal/decide/rollout"
	"github.com/fireflypath/fireflypath/internal/directory"
	"github.com/fireflypath/fireflypath/internal/logs"
)

const (
	// stepInterval is the time between attempts to answer an order.
	stepInterval = time.Second
	// coordinatorCount is the number of daemons that answer orders, so that one may be cut
	// off. Each waits backupDelay longer than the one before it.
	coordinatorCount = 3
	backupDelay      = 3 * time.Second
)

// Deps are the dependencies of a Coordinator.
type Deps struct {
	// Self is this daemon's name.
	Self    string
	Members fireflypath.Members
	Store   fireflypath.Store
	Codec   fireflypath.RolloutCodec
	Configs fireflypath.Configs
	// Tracker reports to this coordinator. Nil if versions are not tried; Policy then has no meaning.
	Tracker *Tracker
	Policy  decide.Policy
	Clock   clockwork.Clock
	Scope   tally.Scope
	Log     *zap.Logger
}

// Coordinator writes the result of each ordered roll-out to the store. If versions are not tried, an
// order is completed if the pool has targets of no other version, and rolled back
// otherwise. All writes are conditional on what was read, so that of several daemons that
// answer an order only one succeeds, and a result is never replaced by another one.
type Coordinator struct {
	deps   Deps
	writes tally.Counter
	// pendingSince is when an order without a result was first seen, by pool and version.
	pendingSince map[string]time.Time
	trials       trials
	startedAt    time.Time
}

// New returns a Coordinator.
func New(deps Deps) *Coordinator {
	c := &Coordinator{
		deps: deps, writes: deps.Scope.SubScope("rollout").Counter("writes"), pendingSince: map[string]time.Time{},
		trials: newTrials(), startedAt: deps.Clock.Now(),
	}
	if deps.Tracker != nil {
		deps.Tracker.receive = c.receive
	}
	return c
}

// Run answers orders until the context ends.
func (c *Coordinator) Run(ctx context.Context) {
	for {
		cfg := c.deps.Configs.Current()
		var retry <-chan time.Time
		if c.Step(ctx) {
			retry = c.deps.Clock.After(c.interval())
		}
		select {
		case <-ctx.Done():
			return
		case <-c.deps.Configs.Changed(cfg.Generation):
		case <-retry:
		}
	}
}

// Step answers the orders for which it is this daemon's turn. It reports whether orders
// without a result remain.
func (c *Coordinator) Step(ctx context.Context) bool {
	pending, pools := map[string]time.Time{}, map[string]bool{}
	for _, r := range c.deps.Configs.Current().Rollouts {
		if r.Decided {
			continue
		}
		id := r.Pool + "/" + r.Version
		since, ok := c.pendingSince[id]
		if !ok {
			since = c.deps.Clock.Now()
		}
		pending[id], pools[r.Pool] = since, true
		if c.deps.Tracker != nil && !r.Fulfilled && !slices.Contains(r.Refused, r.Version) || r.Tried {
			c.try(ctx, r, since)
			continue
		}
		if !c.isTurn(since) {
			continue
		}
		if err := c.answer(ctx, r); err != nil {
			c.deps.Log.Warn("roll-out not answered yet", zap.String("pool", r.Pool), zap.String("version", r.Version), logs.Err(err))
		}
	}
	c.pendingSince = pending
	c.forget(pools)
	return len(pending) > 0
}

// isTurn reports whether this daemon answers an order that it has known since the given time.
func (c *Coordinator) isTurn(since time.Time) bool {
	chosen := coordinator.Choose(c.deps.Members.Live(), coordinatorCount)
	i := slices.IndexFunc(chosen, func(m fireflypath.Member) bool { return m.Name == c.deps.Self })
	return i >= 0 && c.deps.Clock.Since(since) >= time.Duration(i)*backupDelay
}

// answer writes the result of an order. A version that is rolled back is stored as such first:
// the status holds one version only, so that the next order would make it available again.
func (c *Coordinator) answer(ctx context.Context, r fireflypath.Rollout) error {
	state := fireflypath.RolloutRolledBack
	if r.Fulfilled && !slices.Contains(r.Refused, r.Version) {
		state = fireflypath.RolloutCompleted
	}
	if state == fireflypath.RolloutRolledBack && !slices.Contains(r.Refused, r.Version) {
		if err := c.refuse(ctx, r); err != nil {
			return err
		}
	}
	_, prefix := c.deps.Codec.RolloutPrefixes()
	b, err := c.deps.Codec.EncodeRolloutStatus(fireflypath.RolloutStatus{Pool: r.Pool, Version: r.Version, State: state})
	if err != nil {
		return err
	}
	if err := c.put(ctx, prefix+r.Pool, b, r.StatusRevision); err != nil {
		return errors.Wrap(err, "write the status")
	}
	c.deps.Log.Info("roll-out answered", zap.String("pool", r.Pool), zap.String("version", r.Version), zap.String("state", string(state)))
	return nil
}

// refuse adds the version to the stored list of those that were rolled back.
func (c *Coordinator) refuse(ctx context.Context, r fireflypath.Rollout) error {
	b, err := json.Marshal(directory.RefusedVersions{Refused: append(slices.Clone(r.Refused), r.Version)})
	if err != nil {
		return errors.Wrap(err, "encode refused versions")
	}
	return errors.Wrap(c.put(ctx, directory.RefusedPrefix+r.Pool, b, r.RefusedRevision), "write refused versions")
}

// put writes a value if its key still has the given revision.
func (c *Coordinator) put(ctx context.Context, key string, value []byte, revision uint64) error {
	c.writes.Inc(1)
	_, err := c.deps.Store.Put(ctx, key, value, revision, 0)
	return err
}
