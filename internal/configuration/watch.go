package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
)

const (
	// watchWait is how long the service holds one watch: three calls a minute
	// for each watcher.
	watchWait = 20 * time.Second
	// retryFirst and retryMax are the pauses after a failed call; the larger
	// one bounds how late a daemon notices that the service is back.
	retryFirst = 100 * time.Millisecond
	retryMax   = 2 * time.Second
	// dutyWait is how often a daemon that does not watch asks whether it must.
	dutyWait = time.Second
	// collectEvery is the time between two parts of the collection.
	collectEvery = time.Minute
)

// Duty is what one daemon does with the store on behalf of others.
type Duty struct {
	// Watch is true for the few watchers of a failure domain.
	Watch bool
	// Collect is true for the one daemon that removes orphans.
	Collect bool
}

// SetDuty sets how the daemon learns its duty; it must be called before Run.
func (r *Registry) SetDuty(duty func() Duty) {
	r.duty.Store(&duty)
}

func (r *Registry) duties() Duty {
	if d := r.duty.Load(); d != nil {
		return (*d)()
	}
	return Duty{Watch: true, Collect: true}
}

// Run follows the store until the context ends.
func (r *Registry) Run(ctx context.Context) error {
	if r.store == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	pause := retryFirst
	collected := r.clock.Now()
	for ctx.Err() == nil {
		d := r.duties()
		wait := dutyWait
		switch {
		case !d.Watch:
			r.forget()
		case r.Poll(ctx) == nil:
			wait, pause = 0, retryFirst
		default:
			wait = pause
			pause = min(2*pause, retryMax)
		}
		if d.Collect && r.clock.Since(collected) >= collectEvery {
			collected = r.clock.Now()
			if err := r.CollectGarbage(ctx); err != nil {
				r.log.Debug("could not collect orphans", zap.Error(err))
			}
		}
		if wait > 0 && r.sleep(ctx, wait) != nil {
			break
		}
	}
	return ctx.Err()
}

// forget drops the revision, so that a daemon that becomes a watcher again
// begins with a read.
func (r *Registry) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.revision = 0
}

// Poll makes one step: a first read, or one watch for the next manifest.
func (r *Registry) Poll(ctx context.Context) error {
	r.mu.Lock()
	revision, seen := r.revision, r.seen
	r.mu.Unlock()
	if revision == 0 || seen == nil {
		_, _, err := r.fresh(ctx)
		return err
	}
	es, err := r.store.Watch(ctx, manifestKey, revision, watchWait)
	if err != nil {
		// The next step reads: a store that came back with older data may have
		// a revision below ours and would never answer this watch.
		r.forget()
		return errors.Wrap(err, "watch the manifest")
	}
	if len(es) == 0 {
		r.forget()
		return nil
	}
	for _, e := range es {
		if err := r.notice(ctx, e); err != nil {
			r.forget()
			return err
		}
	}
	return nil
}

// notice takes in one entry of a watch.
func (r *Registry) notice(ctx context.Context, e fireflypath.Entry) error {
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
		return r.restore(ctx, m, e.Revision)
	}
	r.mu.Lock()
	r.seen, r.revision = m, e.Revision
	r.mu.Unlock()
	return r.adopt(ctx, m)
}
