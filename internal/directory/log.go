package directory

import (
	"context"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// maxTombstones limits the removed keys that are kept for followers. A follower that is
// further behind reads all keys.
const maxTombstones = 4096

// WaitForChanges waits for changes above a revision and returns them with the view's age. If
// after is 0, it returns all entries. It does not wait while the view is older than maxAge,
// as the caller must then use another source. It fails with ErrCompacted if removals may be
// missing.
func (d *Directory) WaitForChanges(ctx context.Context, after uint64, wait, maxAge time.Duration) (fireflypath.Listing, error) {
	end := d.clock.Now().Add(wait)
	for {
		l, updated, err := d.changesSince(after)
		now := d.clock.Now()
		l.Age = d.Age()
		remaining := min(end.Sub(now), maxAge-l.Age)
		if err != nil || len(l.Entries) > 0 || l.Revision > after || remaining <= 0 {
			return l, err
		}
		t := d.clock.NewTimer(remaining)
		select {
		case <-ctx.Done():
			t.Stop()
			return fireflypath.Listing{}, ctx.Err()
		case <-t.Chan():
		case <-updated:
			t.Stop()
		}
	}
}

func (d *Directory) changesSince(after uint64) (fireflypath.Listing, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.revision == 0 || after != 0 && after < d.compactedTo {
		return fireflypath.Listing{}, nil, fireflypath.ErrCompacted
	}
	l := fireflypath.Listing{Revision: d.revision, Relayed: true, LapseWindow: d.lapsesUntil.Sub(d.clock.Now())}
	for _, e := range d.latest {
		if e.Revision > after && (after != 0 || !e.Deleted) {
			l.Entries = append(l.Entries, e)
		}
	}
	slices.SortFunc(l.Entries, func(a, b fireflypath.Entry) int {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	})
	return l, d.updated, nil
}

// replaceLog updates the log after a read of all keys. Keys that the read did not return were
// removed since the last read, and followers are notified of that. If the log were cleared
// instead, hundreds of daemons would read all keys again, from here or from the store, each
// time the store drops its history.
func (d *Directory) replaceLog(all fireflypath.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make(map[string]bool, len(all.Entries))
	for _, e := range all.Entries {
		seen[e.Key] = true
		d.addToLog(e)
	}
	for key, e := range d.latest {
		if !seen[key] && !e.Deleted {
			d.latest[key] = fireflypath.Entry{Key: key, Revision: all.Revision, Deleted: true}
		}
	}
	if d.compactedTo == 0 {
		d.compactedTo = all.Revision
	}
	d.setRevision(all.Revision)
	d.compact()
}

// appendLog adds changes to the log.
func (d *Directory) appendLog(changes fireflypath.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	revision, relevant := d.revision, false
	for _, e := range changes.Entries {
		d.addToLog(e)
		relevant = relevant || d.isRelevant(e.Key)
		revision = max(revision, e.Revision)
	}
	if changes.Relayed {
		revision = max(revision, changes.Revision)
	}
	switch {
	case relevant:
		d.setRevision(revision)
	case revision > d.revision:
		// Only irrelevant keys have changed, such as the records of starting daemons.
		// If followers were woken for those, all of them would poll again with every
		// write of the fleet.
		d.revision = revision
	}
	d.compact()
}

// addToLog stores an entry if it is relevant to followers. The caller holds mu.
func (d *Directory) addToLog(e fireflypath.Entry) {
	if d.isRelevant(e.Key) {
		d.latest[e.Key] = e
	}
}

// compact drops the removed keys if there are too many. The caller holds mu.
func (d *Directory) compact() {
	tombstones := 0
	for _, e := range d.latest {
		if e.Deleted {
			tombstones++
		}
	}
	if tombstones <= maxTombstones {
		return
	}
	for key, e := range d.latest {
		if e.Deleted {
			delete(d.latest, key)
		}
	}
	d.compactedTo = d.revision
}

// setRevision sets the revision and wakes waiting followers. The caller holds mu.
func (d *Directory) setRevision(revision uint64) {
	d.revision = revision
	close(d.updated)
	d.updated = make(chan struct{})
}

// scheduleRead makes the next step read all keys. Followers continue with the existing view,
// whose age tells them whether it is still usable.
func (d *Directory) scheduleRead() {
	d.needsRead = true
}

// extendLapses adopts the remaining time for which removals may be lapsed registrations.
func (d *Directory) extendLapses(remaining time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := d.clock.Now().Add(remaining); at.After(d.lapsesUntil) {
		d.lapsesUntil = at
	}
}
