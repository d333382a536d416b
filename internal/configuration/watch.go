package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
)

const (
	// watchTimeout is how long the store holds a watch without a change. With 20 s each
	// watcher makes three calls a minute.
	watchTimeout = 20 * time.Second
	// minRetryDelay and maxRetryDelay bound the backoff after failed calls. The maximum is
	// also the time until a daemon notices that the store is available again.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
	// dutyPollInterval is the interval at which a daemon that does not watch checks its duty.
	dutyPollInterval = time.Second
	// collectInterval is the time between two calls of CollectGarbage.
	collectInterval = time.Minute
)

// Duty holds the tasks that a daemon performs on the store on behalf of others.
type Duty struct {
	// Watch is true for the few daemons of each failure domain that watch the manifest.
	Watch bool
	// Collect is true for the one daemon that removes orphaned chunks.
	Collect bool
}

// SetDuty sets the function that returns the daemon's current duty. It must be called before
// Run.
func (r *Registry) SetDuty(duty func() Duty) {
	r.dutyFunc.Store(&duty)
}

func (r *Registry) currentDuty() Duty {
	if d := r.dutyFunc.Load(); d != nil {
		return (*d)()
	}
	return Duty{Watch: true, Collect: true}
}

// Run keeps the configuration up to date with the store and performs the daemon's duty until
// the context ends.
func (r *Registry) Run(ctx context.Context) error {
	if r.store == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	pause := minRetryDelay
	collected := r.clock.Now()
	for ctx.Err() == nil {
		d := r.currentDuty()
		wait := dutyPollInterval
		switch {
		case !d.Watch:
			r.resetWatch()
		case r.Poll(ctx) == nil:
			wait, pause = 0, minRetryDelay
		default:
			wait = pause
			pause = min(2*pause, maxRetryDelay)
		}
		if d.Collect && r.clock.Since(collected) >= collectInterval {
			collected = r.clock.Now()
			if err := r.CollectGarbage(ctx); err != nil {
				r.log.Debug("failed to collect orphaned chunks", zap.Error(err))
			}
		}
		if wait > 0 && r.sleep(ctx, wait) != nil {
			break
		}
	}
	return ctx.Err()
}

// resetWatch makes the next Poll read the manifest, so that a daemon that becomes a watcher
// again or whose watch failed starts from the current one.
func (r *Registry) resetWatch() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watchRevision = 0
}

// Poll reads the manifest or, if it was read before, watches once for its next change.
func (r *Registry) Poll(ctx context.Context) error {
	r.mu.Lock()
	revision, seen := r.watchRevision, r.lastManifest
	r.mu.Unlock()
	if revision == 0 || seen == nil {
		_, _, err := r.syncWithStore(ctx)
		return err
	}
	es, err := r.store.Watch(ctx, manifestKey, revision, watchTimeout)
	if err != nil {
		// The next call reads the manifest: the revision of a store that was restored from
		// older data may be lower than watchRevision, so that this watch would never
		// return a change.
		r.resetWatch()
		return errors.Wrap(err, "watch the manifest")
	}
	if len(es) == 0 {
		r.resetWatch()
		return nil
	}
	for _, e := range es {
		if err := r.handleWatchEntry(ctx, e); err != nil {
			r.resetWatch()
			return err
		}
	}
	return nil
}

// handleWatchEntry activates a changed manifest, or restores a store that went back to an
// older one.
func (r *Registry) handleWatchEntry(ctx context.Context, e fireflypath.Entry) error {
	if e.Key != manifestKey {
		return nil
	}
	if e.Deleted {
		return errors.Wrap(fireflypath.ErrNotFound, "manifest was removed")
	}
	m, err := decodeManifest(e.Value)
	if err != nil {
		return err
	}
	if m.Generation < r.Generation() {
		return r.restoreStore(ctx, m, e.Revision)
	}
	r.mu.Lock()
	r.lastManifest, r.watchRevision = m, e.Revision
	r.mu.Unlock()
	return r.activateManifest(ctx, m)
}
