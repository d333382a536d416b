package directory

import (
	"maps"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/logs"
)

// incarnationRetention is how long the last incarnation of a removed target is kept. It is
// far longer than a write can take to reach the store.
const incarnationRetention = 10 * time.Minute

// targetIncarnation is the newest known incarnation of a target.
type targetIncarnation struct {
	number uint64
	// leftAt is the sequence number of the registration that said that it leaves, or 0.
	leftAt int64
	seenAt time.Time
}

// takesBackLeaving reports whether a registration was written before the one that said that the target
// leaves.
func (i targetIncarnation) takesBackLeaving(t fireflypath.Target) bool {
	return t.Incarnation == i.number && !t.Drained && t.Sequence > 0 && t.Sequence < i.leftAt
}

// register adds a target's registration to the view.
//
// A malformed registration removes the target, even if a valid one was there before: another
// program has overwritten the key, and the target writes it again with its next heartbeat.
// All other targets stay in use.
func (d *Directory) register(name string, e fireflypath.Entry) {
	t, err := d.codec.Target(e.Key, e.Value)
	if err != nil {
		d.rejectTarget(name, e, err)
		return
	}
	if last := d.incarnations[name].number; t.Incarnation < last {
		// The write was delayed on its way to the store. If it were applied, work would
		// go to an address that is no longer in use.
		d.reportRejected(name, e, errors.Newf("incarnation %d is older than %d", t.Incarnation, last))
		return
	}
	if last := d.incarnations[name]; last.takesBackLeaving(t) {
		d.reportRejected(name, e, errors.Newf("write %d is older than %d, by which the target leaves", t.Sequence, last.leftAt))
		return
	}
	delete(d.rejected, name)
	delete(d.missingSince, name)
	d.recordIncarnation(t)
	t.Sequence = 0
	if d.targets.set(t) {
		d.changedTargets = append(d.changedTargets, name)
	}
}

// rejectTarget removes a target whose registration is malformed.
func (d *Directory) rejectTarget(name string, e fireflypath.Entry, err error) {
	d.targets.remove(name)
	delete(d.missingSince, name)
	d.reportRejected(name, e, err)
}

// reportRejected counts and logs an unused registration, once for each cause.
func (d *Directory) reportRejected(name string, e fireflypath.Entry, err error) {
	if d.rejected[name] == err.Error() {
		return
	}
	d.rejected[name] = err.Error()
	d.metrics.rejected.Inc(1)
	d.log.Warn("registration is not used", zap.String("target", name), zap.Uint64("revision", e.Revision), logs.Err(err))
}

// recordIncarnation records the target's incarnation, and whether it leaves.
func (d *Directory) recordIncarnation(t fireflypath.Target) {
	i := targetIncarnation{number: t.Incarnation, seenAt: d.clock.Now()}
	if t.Drained {
		i.leftAt = t.Sequence
	}
	if i.number == 0 && i.leftAt == 0 {
		delete(d.incarnations, t.Name)
		return
	}
	d.incarnations[t.Name] = i
}

// pruneIncarnations drops the incarnations of long removed targets. It does so once in a while and
// not with each registration, as it visits all of them.
func (d *Directory) pruneIncarnations(now time.Time) {
	if now.Sub(d.prunedAt) < incarnationRetention/4 {
		return
	}
	d.prunedAt = now
	maps.DeleteFunc(d.incarnations, func(name string, i targetIncarnation) bool {
		return !d.targets.has(name) && now.Sub(i.seenAt) > incarnationRetention
	})
}

// removeTarget removes a target from the view, or marks it as missing if its registration may
// only have lapsed during an outage of the store. The time to register again counts from the
// end of the outage and not from the removal. Otherwise, a target that left soon after the
// outage would get work for seconds longer.
func (d *Directory) removeTarget(name string) {
	if !d.targets.has(name) {
		return
	}
	now := d.clock.Now()
	if d.storeDown || now.Before(d.lapsesUntil) {
		if _, ok := d.missingSince[name]; !ok {
			d.missingSince[name] = now
			d.log.Info("target missing after store outage", zap.String("target", name))
		}
		return
	}
	d.targets.remove(name)
	delete(d.missingSince, name)
	d.removedTargets = append(d.removedTargets, name)
}

// removeExpired removes the missing targets whose time to register again is over.
func (d *Directory) removeExpired(now time.Time) {
	changed := false
	for name := range d.missingSince {
		if d.storeDown || now.Before(d.lapsesUntil) {
			continue
		}
		delete(d.missingSince, name)
		d.targets.remove(name)
		d.removedTargets = append(d.removedTargets, name)
		changed = true
	}
	if changed {
		d.publish()
	}
}

const (
	// maxTargetLines is the number of changed targets up to which each has a line in the log.
	maxTargetLines = 4
	// maxLoggedNames limits the names in the line of a larger change.
	maxLoggedNames = 16
)

// logTargets logs the targets that have changed since the last view. Each daemon sees each
// target, so with a line for each change the lines of a start would grow with daemons times
// targets.
func (d *Directory) logTargets() {
	changed, removed := d.changedTargets, d.removedTargets
	d.changedTargets, d.removedTargets = nil, nil
	if len(changed)+len(removed) > maxTargetLines {
		d.log.Info("targets changed", zap.Int("changed", len(changed)), zap.Int("removed", len(removed)), zap.Int("targets", d.targets.len()),
			zap.Strings("names", changed[:min(len(changed), maxLoggedNames)]),
			zap.Strings("gone", removed[:min(len(removed), maxLoggedNames)]))
		return
	}
	for _, name := range changed {
		t, ok := d.targets.get(name)
		if !ok {
			continue // removed since
		}
		d.log.Info("target changed", zap.String("target", name), zap.String("pool", t.Pool), zap.String("addr", t.Addr),
			zap.Bool("leaving", t.Drained), zap.Uint64("incarnation", t.Incarnation))
	}
	for _, name := range removed {
		d.log.Info("target removed", zap.String("target", name))
	}
}
