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

// Wait says what a follower waits for.
type Wait struct {
	// After is the revision of the follower's view. 0 asks for all entries.
	After uint64
	// Removed asks for the removed keys as well if After is 0. Without them, a daemon that starts would
	// take what a store has again that was restored from an older copy for new.
	Removed bool
	// Hold is how long to wait if nothing changes.
	Hold time.Duration
	// MaxAge is the age above which the view is not waited for, as the follower must then use
	// another source.
	MaxAge time.Duration
	// KnownAge is the age of the follower's view, and MinGain by how much this one has to be
	// newer for a response without changes. If KnownAge is 0, there is none before Hold ends.
	KnownAge, MinGain time.Duration
}

// WaitForChanges waits for changes above a revision, or for a confirmation of the view, and
// returns the changes with the view's age. It fails with ErrCompacted if removals may be missing.
func (d *Directory) WaitForChanges(ctx context.Context, w Wait) (fireflypath.Listing, error) {
	startedAt := d.clock.Now()
	for {
		l, updated, err := d.changesSince(w.After, w.After != 0 || w.Removed)
		elapsed := d.clock.Since(startedAt)
		l.Age = d.Age()
		remaining := min(w.Hold-elapsed, w.MaxAge-l.Age)
		newer := w.KnownAge > 0 && l.Age+w.MinGain <= w.KnownAge+elapsed
		if err != nil || len(l.Entries) > 0 || w.After == 0 || remaining <= 0 || newer {
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

func (d *Directory) changesSince(after uint64, removed bool) (fireflypath.Listing, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.revision == 0 || after != 0 && after < d.compactedTo {
		return fireflypath.Listing{}, nil, fireflypath.ErrCompacted
	}
	l := fireflypath.Listing{Revision: d.revision, Relayed: true, LapseWindow: d.lapsesUntil.Sub(d.clock.Now())}
	if after != 0 && after >= d.relevantRevision {
		return l, d.updated, nil
	}
	for _, e := range d.latest {
		if e.Revision > after && (removed || !e.Deleted) {
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

// Revision returns the store's revision that the view represents, or 0 before the first read.
func (d *Directory) Revision() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revision
}

// Entry returns the last state of a key of the view.
func (d *Directory) Entry(key string) (fireflypath.Entry, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.latest[key]
	return e, ok && !e.Deleted
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
	d.revision, d.relevantRevision = all.Revision, all.Revision
	d.compact()
}

// appendLog adds changes to the log.
func (d *Directory) appendLog(changes fireflypath.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range changes.Entries {
		d.addToLog(e)
		if d.isRelevant(e.Key) {
			d.relevantRevision = max(d.relevantRevision, e.Revision)
		}
		d.revision = max(d.revision, e.Revision)
	}
	if changes.Relayed {
		d.revision = max(d.revision, changes.Revision)
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

// wakeFollowers makes WaitForChanges look at the view again. It is called once for each answer of
// the store, after the view was confirmed.
func (d *Directory) wakeFollowers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.updated)
	d.updated = make(chan struct{})
}

// scheduleRead makes the next step read all keys. Followers continue with the existing view,
// whose age tells them whether it is still usable.
func (d *Directory) scheduleRead() {
	d.needsRead = true
}

// extendLapses adopts the remaining time for which removals may be lapsed registrations from a source
// that could not reach the store. A view that was current so recently that no registration can have
// lapsed since shows that only the source was cut off: waiting with it would keep targets that are gone.
func (d *Directory) extendLapses(remaining time.Duration) {
	if d.Age() < d.lapseTime {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := d.clock.Now().Add(remaining); at.After(d.lapsesUntil) {
		d.lapsesUntil = at
	}
}
