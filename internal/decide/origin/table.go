package origin

import "time"

// maxRecords bounds the records of a table. A record takes some 100 bytes.
const maxRecords = 1 << 16

// Table holds records of where streams began. Its zero value is empty. It is not safe for concurrent use.
type Table struct {
	records map[Key]record
	// order holds the keys in the order of their last record.
	order []dated
}

// record is what daemons have recorded of a stream.
type record struct {
	origin Origin
	// from is the daemon that recorded it. Another target may have answered since, so that its last
	// word counts.
	from        string
	conflicting bool
	at          time.Time
}

type dated struct {
	key Key
	at  time.Time
}

// Record records what a daemon says of a stream.
func (t *Table) Record(now time.Time, key Key, from string, o Origin) {
	if t.records == nil {
		t.records = map[Key]record{}
	}
	r := record{origin: o, from: from, at: now}
	if old, ok := t.records[key]; ok && old.from != from {
		r.conflicting = old.conflicting || old.origin != o
	}
	t.records[key] = r
	t.order = append(t.order, dated{key, now})
	if len(t.records) > maxRecords {
		t.dropFirst()
	}
}

// Find returns the record of a stream as evidence.
func (t *Table) Find(key Key) Evidence {
	r, ok := t.records[key]
	if !ok || key == 0 {
		return Evidence{}
	}
	return Evidence{Found: !r.conflicting, Conflicting: r.conflicting, Origin: r.origin}
}

// Each calls fn for the records of a pool that a daemon has made.
func (t *Table) Each(pool, from string, fn func(Key, Origin)) {
	for key, r := range t.records {
		if r.origin.Pool == pool && r.from == from {
			fn(key, r.origin)
		}
	}
}

// Prune drops the records from before the given time.
func (t *Table) Prune(before time.Time) {
	for len(t.order) > 0 && t.order[0].at.Before(before) {
		t.dropFirst()
	}
}

// dropFirst drops the oldest record, unless it has been renewed.
func (t *Table) dropFirst() {
	first := t.order[0]
	t.order = t.order[1:]
	if r, ok := t.records[first.key]; ok && !r.at.After(first.at) {
		delete(t.records, first.key)
	}
}
