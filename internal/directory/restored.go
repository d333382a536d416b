package directory

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
)

// restoreSettleTime is how long after a read of a restored store the view is not confirmed. What the
// operator has written since the copy, a revoked key for example, is written again in that time, and
// the copy does not show that it is missing.
const restoreSettleTime = time.Second

// LostEntry is a key that daemons have written and whose last change a restored store lacks.
type LostEntry struct {
	// Entry holds what the store lacks, a value or a removal.
	fireflypath.Entry
	// Found is the revision of what the store has instead, or 0.
	Found uint64
}

// OnRestore registers a function that is called after the store was restored from an older copy, with
// what daemons have written since. It is called only where the store was read directly, and must not
// block. It must be called before Run.
func (d *Directory) OnRestore(fn func([]LostEntry)) {
	d.restoreSubscriber = fn
}

// mergeRestored replaces what is outdated in the listing of a store that was restored from an older
// copy. The operator and the targets write again what they have written since, but until then the
// copy would take back what is known to be newer: configurations, targets that leave, requests that
// are held, results of roll-outs.
//
// Followers receive the result as changes. They must merge as well, because their view may be newer
// than that of the daemon that they follow.
func (d *Directory) mergeRestored(l *fireflypath.Listing) {
	if l.Revision == 0 || d.revision == 0 || fireflypath.RevisionEra(l.Revision) <= fireflypath.RevisionEra(d.revision) {
		return
	}
	found := make(map[string]fireflypath.Entry, len(l.Entries))
	for _, e := range l.Entries {
		found[e.Key] = e
	}
	var lost []LostEntry
	kept := map[string]fireflypath.Entry{}
	clear(d.outdated)
	d.mu.Lock()
	for key, known := range d.latest {
		e, ok := found[key]
		if !d.isOutdated(key, known, e, ok) {
			continue
		}
		switch {
		case d.isOwn(key):
			lost = append(lost, LostEntry{Entry: known, Found: e.Revision})
		case d.isRolloutKey(key):
			d.ordersToRewrite[key] = l.Revision
		}
		if ok {
			d.outdated[key] = e.Revision
		}
		known.Revision = l.Revision
		kept[key] = known
	}
	d.lapsesUntil = d.clock.Now().Add(ReregistrationTime)
	d.mu.Unlock()
	l.Entries = slices.DeleteFunc(l.Entries, func(e fireflypath.Entry) bool { _, ok := kept[e.Key]; return ok })
	for _, e := range kept {
		if !e.Deleted {
			l.Entries = append(l.Entries, e)
		}
	}
	d.confirmableAt = d.bootClock.Elapsed() + restoreSettleTime
	d.log.Warn("store was restored from an older copy", zap.Uint64("era", fireflypath.RevisionEra(l.Revision)),
		zap.Uint64("revision", fireflypath.RevisionNumber(l.Revision)), zap.Uint64("last_era", fireflypath.RevisionEra(d.revision)),
		zap.Uint64("last_revision", fireflypath.RevisionNumber(d.revision)), zap.Int("outdated", len(kept)),
		zap.Int("lost", len(lost)), zap.Bool("relayed", l.Relayed))
	if d.restoreSubscriber != nil && !l.Relayed && len(lost) > 0 {
		slices.SortFunc(lost, func(a, b LostEntry) int { return strings.Compare(a.Key, b.Key) })
		d.restoreSubscriber(lost)
	}
}

// isOutdated reports whether a restored store has an older state of a key than the view. A registration
// that is missing is left to the time in which targets register again.
func (d *Directory) isOutdated(key string, known, found fireflypath.Entry, ok bool) bool {
	switch {
	case key == d.codec.ConfigKey():
		if !ok {
			return true
		}
		cfg, err := d.codec.Config(found.Value)
		return err == nil && cfg.Version < d.config.Version
	case strings.HasPrefix(key, d.codec.TargetPrefix()):
		return ok && (known.Deleted || d.isEarlierRegistration(known, found))
	case d.isOwn(key):
		return known.Deleted == ok || ok && !bytes.Equal(known.Value, found.Value)
	case d.isRolloutKey(key):
		return !known.Deleted && !ok
	default:
		return false
	}
}

// isOwn reports whether daemons write the key, so that they have to write it again.
func (d *Directory) isOwn(key string) bool {
	if d.isSubscribed(key) {
		return true
	}
	if !d.isRolloutKey(key) {
		return false
	}
	orders, _ := d.rolloutCodec.RolloutPrefixes()
	return !strings.HasPrefix(key, orders)
}

// isEarlierRegistration reports whether a target wrote one registration before another one.
func (d *Directory) isEarlierRegistration(known, found fireflypath.Entry) bool {
	k, knownErr := d.codec.Target(known.Key, known.Value)
	f, foundErr := d.codec.Target(found.Key, found.Value)
	if knownErr != nil || foundErr != nil {
		return false
	}
	return f.Incarnation < k.Incarnation || f.Incarnation == k.Incarnation && f.Sequence < k.Sequence
}

// dropOutdated removes entries of the copy from a listing that were found outdated when the store was
// restored and have not been written since.
func (d *Directory) dropOutdated(l *fireflypath.Listing) {
	if len(d.outdated) == 0 || l.Relayed {
		return
	}
	for i, e := range l.Entries {
		if at, ok := d.outdated[e.Key]; !ok || at != e.Revision {
			continue
		}
		d.mu.Lock()
		l.Entries[i] = d.latest[e.Key]
		d.mu.Unlock()
	}
	l.Entries = slices.DeleteFunc(l.Entries, func(e fireflypath.Entry) bool { return e.Deleted || e.Key == "" })
}

// mergeRelayed drops what a relayed change of a later era takes back: the daemon that it comes from
// may have known less than this one when the store was restored.
func (d *Directory) mergeRelayed(l *fireflypath.Listing) {
	if !l.Relayed || l.Revision == 0 || d.revision == 0 || fireflypath.RevisionEra(l.Revision) <= fireflypath.RevisionEra(d.revision) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	l.Entries = slices.DeleteFunc(l.Entries, func(e fireflypath.Entry) bool {
		known, ok := d.latest[e.Key]
		if !ok || known.Deleted || e.Deleted || !strings.HasPrefix(e.Key, d.codec.TargetPrefix()) {
			return false
		}
		return d.isEarlierRegistration(known, e)
	})
	d.lapsesUntil = d.clock.Now().Add(ReregistrationTime)
}
