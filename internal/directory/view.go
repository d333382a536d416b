package directory

import (
	"bytes"
	"maps"
	"reflect"
	"slices"
	"strings"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/logs"
)

// isRelevant reports whether a key is part of the view or has a subscriber.
func (d *Directory) isRelevant(key string) bool {
	return key == d.codec.ConfigKey() || strings.HasPrefix(key, d.codec.TargetPrefix()) || d.isSubscribed(key) || d.isRolloutKey(key)
}

func (d *Directory) isSubscribed(key string) bool {
	return d.subscriber != nil && strings.HasPrefix(key, d.subscribedPrefix)
}

// notifySubscriber passes a change to the subscriber.
func (d *Directory) notifySubscriber(e fireflypath.Entry) {
	d.subscribedKeys[e.Key] = true
	if e.Deleted {
		delete(d.subscribedKeys, e.Key)
	}
	d.subscriber(e)
}

// notifyRemoved notifies the subscriber of keys that a read of all keys did not return.
func (d *Directory) notifyRemoved(seen map[string]bool) {
	for _, key := range slices.Sorted(maps.Keys(d.subscribedKeys)) {
		if !seen[key] {
			d.notifySubscriber(fireflypath.Entry{Key: key, Deleted: true})
		}
	}
}

// applyEntry applies one entry to the view.
func (d *Directory) applyEntry(e fireflypath.Entry) {
	if e.Key == d.codec.ConfigKey() {
		d.applyConfig(e)
		return
	}
	if d.isSubscribed(e.Key) {
		d.notifySubscriber(e)
		return
	}
	if d.isRolloutKey(e.Key) {
		d.applyRollout(e)
		return
	}
	name, ok := strings.CutPrefix(e.Key, d.codec.TargetPrefix())
	if !ok {
		return
	}
	if e.Deleted {
		delete(d.rejected, name)
		d.removeTarget(name)
		return
	}
	d.register(name, e)
}

// applyConfig puts a newer configuration in force. An older one that was read late is
// ignored, because going back would make revoked keys valid again.
func (d *Directory) applyConfig(e fireflypath.Entry) {
	if e.Deleted || e.Revision <= d.configRevision {
		return
	}
	cfg, err := d.codec.Config(e.Value)
	if err != nil {
		d.refusedRevision = e.Revision
		d.refusedAt.CompareAndSwap(0, max(int64(d.bootClock.Elapsed()), 1))
		d.log.Error("configuration refused, the last valid one stays in force", logs.Err(err),
			zap.Uint64("revision", e.Revision), zap.Uint64("version", d.config.Version))
		return
	}
	if cfg.Version < d.config.Version && fireflypath.RevisionEra(e.Revision) > fireflypath.RevisionEra(d.configRevision) {
		return // the copy from which the store was restored, or a daemon that knows less
	}
	if cfg.Version < d.config.Version {
		d.log.Error("configuration refused, its version went back", zap.Uint64("revision", e.Revision),
			zap.Uint64("version", cfg.Version), zap.Uint64("force", d.config.Version))
		return
	}
	d.configRevision = e.Revision
	if cfg.Version == d.config.Version && bytes.Equal(e.Value, d.configValue) {
		return // written again as it was
	}
	d.config, d.configValue = cfg, e.Value
	d.log.Info("configuration in force", zap.Uint64("version", cfg.Version), zap.Uint64("revision", e.Revision),
		zap.Int("routes", len(cfg.Routes)), zap.Int("teams", len(cfg.Teams)), zap.Int("bytes", len(e.Value)),
		zap.Duration("age", d.Age()))
}

// endRefusal ends the effect of a configuration that was refused once a later one is in force.
func (d *Directory) endRefusal() {
	if d.configRevision > d.refusedRevision {
		d.refusedAt.Store(0)
	}
}

// publish puts the view in force if it has changed.
func (d *Directory) publish() {
	defer d.endRefusal()
	d.logTargets()
	old := d.current.Load()
	// A number that was given out again, after the store was restored, does not show that the
	// configuration is the same.
	configChanged := d.config != d.publishedConfig
	if !d.targets.changed && !d.rolloutsChanged && !configChanged {
		return
	}
	d.rolloutsChanged = false
	targets := d.targets.list()
	rollouts := d.rollouts.Rollouts(targets)
	targets = d.rollouts.Filter(targets)
	if !configChanged && slices.Equal(old.Targets, targets) && reflect.DeepEqual(old.Rollouts, rollouts) {
		return
	}
	d.publishedConfig = d.config
	next := *d.config
	next.Generation = old.Generation + 1
	next.Targets = targets
	next.Rollouts = rollouts
	d.mu.Lock()
	defer d.mu.Unlock()
	d.current.Store(&next)
	close(d.changed)
	d.changed = make(chan struct{})
	d.metrics.changes.Inc(1)
	d.metrics.targets.Update(float64(len(targets)))
}
