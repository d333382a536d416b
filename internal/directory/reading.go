package directory

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
)

// errEarlierView means that a listing is older than the view, which a daemon that follows another one
// can receive: the other one may lag behind, or may not know yet that the store was restored.
var errEarlierView = errors.New("listing is older than the view")

// read replaces the view with all keys of the store.
func (d *Directory) read(ctx context.Context, sentAt time.Duration) error {
	d.metrics.reads.Inc(1)
	all, err := d.feed.Snapshot(ctx, "")
	if err != nil {
		return err
	}
	if all.Relayed && all.Revision < d.revision || fireflypath.RevisionEra(all.Revision) < fireflypath.RevisionEra(d.revision) {
		return errors.Wrapf(errEarlierView, "revision %d, have %d", all.Revision, d.revision)
	}
	d.dropOutdated(&all)
	d.mergeRestored(&all)
	d.passRecords(all.Entries)
	seen := map[string]bool{}
	for _, e := range all.Entries {
		seen[e.Key] = true
		d.applyEntry(e)
	}
	for _, name := range slices.Clone(d.targets.names) {
		if !seen[d.codec.TargetPrefix()+name] {
			d.removeTarget(name)
		}
	}
	d.notifyRemoved(seen)
	d.removeRollouts(seen)
	maps.DeleteFunc(d.rejected, func(name, _ string) bool { return !seen[d.codec.TargetPrefix()+name] })
	d.replaceLog(all)
	d.needsRead = false
	if d.current.Load().Generation == 0 {
		// Requests that wait for the first view look at its age as soon as it is in force. An older
		// configuration, which must not appear newer than it is, is not in force yet.
		d.confirm(sentAt - all.Age)
	}
	d.publish()
	d.confirm(sentAt - all.Age)
	d.wakeFollowers()
	d.pause = startupDelay
	return nil
}

// passRecords passes the entries with the prefix recordPrefix on.
func (d *Directory) passRecords(entries []fireflypath.Entry) {
	if d.recordReader == nil {
		return
	}
	var records []fireflypath.Entry
	for _, e := range entries {
		if strings.HasPrefix(e.Key, d.recordPrefix) {
			records = append(records, e)
		}
	}
	d.recordReader(records)
}

// watch waits for changes. It always continues from the last change seen, never from the
// store's own revision. Otherwise, a watch that missed changes would skip them for good,
// instead of showing them as a difference between the two revisions.
func (d *Directory) watch(ctx context.Context, sentAt time.Duration) error {
	d.metrics.watches.Inc(1)
	wait := d.nextWatchTimeout()
	changes, err := d.feed.Follow(ctx, "", d.revision, wait)
	if err != nil {
		return err
	}
	if changes.Relayed {
		d.extendLapses(changes.LapseWindow)
	}
	d.mergeRelayed(&changes)
	if changes.Partial {
		// Changes of targets apply at once, so that a target that leaves is not used
		// until a large configuration has arrived. The revision stays the same, so that
		// the same entries come again with the rest.
		d.applyEntries(changes.Entries)
		d.publish()
		d.pause = changes.Pause
		return nil
	}
	previous := d.revision
	if len(changes.Entries) > 0 && !changes.Relayed {
		d.pause = max(batchDelay, changes.Pause)
	}
	if len(changes.Entries) > 0 && changes.Relayed {
		d.pause = changes.Pause
	}
	d.applyEntries(changes.Entries)
	d.appendLog(changes)
	d.publish()
	d.confirmWatch(changes, previous, sentAt, wait)
	d.wakeFollowers()
	return nil
}

func (d *Directory) applyEntries(entries []fireflypath.Entry) {
	for _, e := range entries {
		d.applyEntry(e)
	}
}

// confirmWatch confirms the view's age as far as the response to a watch allows.
func (d *Directory) confirmWatch(changes fireflypath.Listing, previous uint64, sentAt, wait time.Duration) {
	switch {
	case changes.Relayed:
		// The response was given after the request was sent, so the view was current at
		// least at the request's time less the age in the response.
		d.confirm(sentAt - changes.Age)
	case changes.Revision > d.revision:
		d.log.Info("watch missed changes of the store, reading all keys",
			zap.Uint64("revision", changes.Revision), zap.Uint64("seen", d.revision))
		d.scheduleRead()
	case len(changes.Entries) == 0 && changes.Revision == previous:
		// The store held the call for its whole wait and nothing changed. A response
		// that took much longer may have been sent early and read late.
		if took := d.bootClock.Elapsed() - sentAt; took >= wait && took < wait+responseMargin {
			sentAt += wait
		}
		d.confirm(sentAt)
	default:
		d.confirm(sentAt)
	}
}

// nextWatchTimeout returns how long to hold the next watch: less than usual while a missing
// target is due to be removed, and so that the view's age stays within the usual time, since
// followers take an older one for that of a daemon that was cut off.
func (d *Directory) nextWatchTimeout() time.Duration {
	shortest := d.watchTimeout / 3
	if len(d.missingSince) > 0 {
		return shortest
	}
	return max(shortest, d.watchTimeout-d.Age())
}
