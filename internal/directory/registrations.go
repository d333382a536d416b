package directory

import (
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/logs"
)

// lifeKept is how long the last life of a target that is gone is remembered: far
// longer than a write can be on its way to the store.
const lifeKept = 10 * time.Minute

// life is the newest incarnation known of a target.
type life struct {
	incarnation uint64
	heard       time.Time
}

// register puts a target's registration into the view.
//
// What cannot be read names no target, not the one that was there before either:
// somebody else has taken the key, and the target writes it again with its next
// heartbeat. All others stay in force.
func (d *Directory) register(name string, e fireflypath.Entry) {
	t, err := d.codec.Target(e.Key, e.Value)
	if err != nil {
		d.refuse(name, e, err)
		return
	}
	if last := d.lives[name].incarnation; t.Incarnation < last {
		// It was held up on its way to the store. Taken over, it would send work to
		// an address that belongs to nobody any more.
		d.complain(name, e, errors.Newf("incarnation %d is older than %d", t.Incarnation, last))
		return
	}
	delete(d.refused, name)
	delete(d.missing, name)
	d.remember(t)
	old, known := d.targets[name]
	d.targets[name] = t
	if !known || old != t {
		d.log.Info("target changed", zap.String("target", name), zap.String("pool", t.Pool), zap.String("addr", t.Addr),
			zap.Bool("leaving", t.Drained), zap.Uint64("incarnation", t.Incarnation), zap.Uint64("revision", e.Revision))
	}
}

// refuse takes the target out whose registration cannot be used.
func (d *Directory) refuse(name string, e fireflypath.Entry, err error) {
	delete(d.targets, name)
	delete(d.missing, name)
	d.complain(name, e, err)
}

// complain counts and logs a registration that is not used, once for each cause.
func (d *Directory) complain(name string, e fireflypath.Entry, err error) {
	if d.refused[name] == err.Error() {
		return
	}
	d.refused[name] = err.Error()
	d.count.unused.Inc(1)
	d.log.Warn("registration is not used", zap.String("target", name), zap.Uint64("revision", e.Revision), logs.Cause(err))
}

// remember keeps the target's life, and forgets those of targets long gone.
func (d *Directory) remember(t fireflypath.Target) {
	if t.Incarnation == 0 {
		return
	}
	now := d.clock.Now()
	for name, l := range d.lives {
		if _, here := d.targets[name]; !here && now.Sub(l.heard) > lifeKept {
			delete(d.lives, name)
		}
	}
	d.lives[t.Name] = life{incarnation: t.Incarnation, heard: now}
}

// remove takes a target out of the view, or out of it later if its registration
// may only have lapsed while the store was away. The time to come back counts
// from the store's return, not from the removal: a target that left soon after
// the return would else get work for seconds more.
func (d *Directory) remove(name string) {
	if _, ok := d.targets[name]; !ok {
		return
	}
	now := d.clock.Now()
	if d.lost || now.Before(d.hold) {
		if _, ok := d.missing[name]; !ok {
			d.missing[name] = now
			d.log.Info("target missing after an outage of the store", zap.String("target", name))
		}
		return
	}
	delete(d.targets, name)
	delete(d.missing, name)
	d.log.Info("target gone", zap.String("target", name))
}

// forget removes the missing targets whose time to come back is over.
func (d *Directory) forget(now time.Time) {
	gone := false
	for name, since := range d.missing {
		if d.lost || now.Before(d.hold) {
			continue
		}
		delete(d.missing, name)
		delete(d.targets, name)
		d.log.Info("target gone", zap.String("target", name), zap.Duration("missing", now.Sub(since)))
		gone = true
	}
	if gone {
		d.publish()
	}
}
