package directory

import (
	"context"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// maxRemoved bounds the removed keys that are kept for daemons that follow this
// one; one that lags by more reads everything.
const maxRemoved = 4096

// Since waits for changes above a revision and returns them with the view's age.
// After 0 it returns everything. It does not wait while the view is older than
// given: who asked has to look elsewhere then. It fails with ErrCompacted if
// removals may be missing.
func (d *Directory) Since(ctx context.Context, after uint64, wait, old time.Duration) (fireflypath.Listing, error) {
	end := d.clock.Now().Add(wait)
	for {
		l, moved, err := d.since(after)
		now := d.clock.Now()
		l.Age = d.Age()
		left := min(end.Sub(now), old-l.Age)
		if err != nil || len(l.Entries) > 0 || l.Revision > after || left <= 0 {
			return l, err
		}
		t := d.clock.NewTimer(left)
		select {
		case <-ctx.Done():
			t.Stop()
			return fireflypath.Listing{}, ctx.Err()
		case <-t.Chan():
		case <-moved:
			t.Stop()
		}
	}
}

func (d *Directory) since(after uint64) (fireflypath.Listing, <-chan struct{}, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.revision == 0 || after != 0 && after < d.floor {
		return fireflypath.Listing{}, nil, fireflypath.ErrCompacted
	}
	l := fireflypath.Listing{Revision: d.revision, Relayed: true, Hold: d.hold.Sub(d.clock.Now())}
	for _, e := range d.kept {
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
	return l, d.moved, nil
}

// restart goes on with the log after a full read. What the read did not bring was
// removed at some time since the last one, and those who follow are told so. If the log
// began anew instead, hundreds of daemons would read everything again, from here or from
// the store, each time that the store drops its history.
func (d *Directory) restart(all fireflypath.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	seen := make(map[string]bool, len(all.Entries))
	for _, e := range all.Entries {
		seen[e.Key] = true
		d.keep(e)
	}
	for key, e := range d.kept {
		if !seen[key] && !e.Deleted {
			d.kept[key] = fireflypath.Entry{Key: key, Revision: all.Revision, Deleted: true}
		}
	}
	if d.floor == 0 {
		d.floor = all.Revision
	}
	d.move(all.Revision)
	d.trim()
}

// advance adds changes to the log.
func (d *Directory) advance(got fireflypath.Listing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	revision, useful := d.revision, false
	for _, e := range got.Entries {
		d.keep(e)
		useful = useful || d.concerns(e.Key)
		revision = max(revision, e.Revision)
	}
	if got.Relayed {
		revision = max(revision, got.Revision)
	}
	switch {
	case useful:
		d.move(revision)
	case revision > d.revision:
		// Other keys have changed, such as the records of daemons that start. Told of
		// each, all who follow would ask again as often as the fleet writes.
		d.revision = revision
	}
	d.trim()
}

// keep stores an entry if it is of use to others. The caller holds mu.
func (d *Directory) keep(e fireflypath.Entry) {
	if d.concerns(e.Key) {
		d.kept[e.Key] = e
	}
}

// trim forgets the removed keys if there are too many. The caller holds mu.
func (d *Directory) trim() {
	removed := 0
	for _, e := range d.kept {
		if e.Deleted {
			removed++
		}
	}
	if removed <= maxRemoved {
		return
	}
	for key, e := range d.kept {
		if e.Deleted {
			delete(d.kept, key)
		}
	}
	d.floor = d.revision
}

// move sets the revision and wakes those who wait for changes. The caller holds mu.
func (d *Directory) move(revision uint64) {
	d.revision = revision
	close(d.moved)
	d.moved = make(chan struct{})
}

// reset has the next step read everything. Those who follow go on with the view that
// there is, whose age tells what it is worth.
func (d *Directory) reset() {
	d.unread = true
}

// extend takes over for how long removals may be lapses.
func (d *Directory) extend(hold time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if at := d.clock.Now().Add(hold); at.After(d.hold) {
		d.hold = at
	}
}
