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

// Deps are the dependencies of a Keeper.
type Deps struct {
	// Self is this daemon's name.
	Self    string
	Members fireflypath.Members
	Store   fireflypath.Store
	Codec   fireflypath.RolloutCodec
	Configs fireflypath.Configs
	Clock   clockwork.Clock
	Scope   tally.Scope
	Log     *zap.Logger
}

// Keeper writes the result of each ordered roll-out to the store. A new version is not tried:
// its order is completed if the pool has targets of no other version, and taken back
// otherwise. All writes are conditional on what was read, so that of several daemons that
// answer an order only one succeeds, and a result is never replaced by another one.
type Keeper struct {
	deps   Deps
	writes tally.Counter
	// pendingSince is when an order without a result was first seen, by pool and version.
	pendingSince map[string]time.Time
}

// New returns a Keeper.
func New(deps Deps) *Keeper {
	return &Keeper{deps: deps, writes: deps.Scope.SubScope("rollout").Counter("writes"), pendingSince: map[string]time.Time{}}
}

// Run answers orders until the context ends.
func (k *Keeper) Run(ctx context.Context) {
	for {
		cfg := k.deps.Configs.Current()
		var retry <-chan time.Time
		if k.Step(ctx) {
			retry = k.deps.Clock.After(stepInterval)
		}
		select {
		case <-ctx.Done():
			return
		case <-k.deps.Configs.Changed(cfg.Generation):
		case <-retry:
		}
	}
}

// Step answers the orders for which it is this daemon's turn. It reports whether orders
// without a result remain.
func (k *Keeper) Step(ctx context.Context) bool {
	pending := map[string]time.Time{}
	for _, r := range k.deps.Configs.Current().Rollouts {
		if r.Decided {
			continue
		}
		id := r.Pool + "/" + r.Version
		since, ok := k.pendingSince[id]
		if !ok {
			since = k.deps.Clock.Now()
		}
		pending[id] = since
		if !k.isTurn(since) {
			continue
		}
		if err := k.answer(ctx, r); err != nil {
			k.deps.Log.Warn("roll-out not answered yet", zap.String("pool", r.Pool), zap.String("version", r.Version), logs.Err(err))
		}
	}
	k.pendingSince = pending
	return len(pending) > 0
}

// isTurn reports whether this daemon answers an order that it has known since the given time.
func (k *Keeper) isTurn(since time.Time) bool {
	chosen := coordinator.Choose(k.deps.Members.Live(), coordinatorCount)
	i := slices.IndexFunc(chosen, func(m fireflypath.Member) bool { return m.Name == k.deps.Self })
	return i >= 0 && k.deps.Clock.Since(since) >= time.Duration(i)*backupDelay
}

// answer writes the result of an order. A version that is taken back is stored as such first:
// the status holds one version only, so that the next order would make it available again.
func (k *Keeper) answer(ctx context.Context, r fireflypath.Rollout) error {
	state := fireflypath.RolloutTakenBack
	if r.Fulfilled && !slices.Contains(r.Refused, r.Version) {
		state = fireflypath.RolloutCompleted
	}
	if state == fireflypath.RolloutTakenBack && !slices.Contains(r.Refused, r.Version) {
		if err := k.refuse(ctx, r); err != nil {
			return err
		}
	}
	_, prefix := k.deps.Codec.RolloutPrefixes()
	b, err := k.deps.Codec.EncodeRolloutStatus(fireflypath.RolloutStatus{Pool: r.Pool, Version: r.Version, State: state})
	if err != nil {
		return err
	}
	if err := k.put(ctx, prefix+r.Pool, b, r.StatusRevision); err != nil {
		return errors.Wrap(err, "write the status")
	}
	k.deps.Log.Info("roll-out answered", zap.String("pool", r.Pool), zap.String("version", r.Version), zap.String("state", string(state)))
	return nil
}

// refuse adds the version to the stored list of those that were taken back.
func (k *Keeper) refuse(ctx context.Context, r fireflypath.Rollout) error {
	b, err := json.Marshal(directory.RefusedVersions{Refused: append(slices.Clone(r.Refused), r.Version)})
	if err != nil {
		return errors.Wrap(err, "encode refused versions")
	}
	return errors.Wrap(k.put(ctx, directory.RefusedPrefix+r.Pool, b, r.RefusedRevision), "write refused versions")
}

// put writes a value if its key still has the given revision.
func (k *Keeper) put(ctx context.Context, key string, value []byte, revision uint64) error {
	k.writes.Inc(1)
	_, err := k.deps.Store.Put(ctx, key, value, revision, 0)
	return err
}
