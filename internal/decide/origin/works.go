package origin

import (
	"slices"
	"time"
)

// maxWorks bounds the works of which records are kept. A work takes some 200 bytes.
const maxWorks = 1 << 15

// Works holds records of where the streams of works began. Its zero value is empty. It is not safe for
// concurrent use.
type Works struct {
	// origins holds those of each work, each with the time of its last stream.
	origins map[Key][]datedOrigin
	// order holds the keys in the order of their last record.
	order []dated
	// prunedTo is the time from before which records have ended.
	prunedTo time.Time
}

type datedOrigin struct {
	origin Origin
	at     time.Time
	// own is true if this daemon began a stream of the work there.
	own bool
}

// Record records that a stream of the work began at an origin, here if own is true.
func (w *Works) Record(now time.Time, work Key, o Origin, own bool) {
	if w.origins == nil {
		w.origins = map[Key][]datedOrigin{}
	}
	all := slices.DeleteFunc(w.origins[work], func(d datedOrigin) bool {
		if d.origin == o {
			own = own || d.own
			return true
		}
		return d.at.Before(w.prunedTo)
	})
	w.origins[work] = append(all, datedOrigin{o, now, own})
	w.order = append(w.order, dated{work, now})
	if len(w.origins) > maxWorks {
		w.dropFirst()
	}
}

// Find returns the record of a work as evidence. Streams of one work that began at several origins cannot
// be told apart, and contradict each other for as long as they may last.
func (w *Works) Find(work Key) Evidence {
	var out Evidence
	for _, d := range w.origins[work] {
		switch {
		case d.at.Before(w.prunedTo):
		case out.Found:
			return Evidence{Conflicting: true}
		default:
			out = Evidence{Found: true, Origin: d.origin}
		}
	}
	return out
}

// Each calls fn for the works that this daemon began in a pool.
func (w *Works) Each(pool string, fn func(Key, Origin)) {
	for work, all := range w.origins {
		for _, d := range all {
			if d.own && d.origin.Pool == pool {
				fn(work, d.origin)
			}
		}
	}
}

// Prune drops the records from before the given time.
func (w *Works) Prune(before time.Time) {
	w.prunedTo = before
	for len(w.order) > 0 && w.order[0].at.Before(before) {
		w.dropFirst()
	}
}

// dropFirst drops the oldest work, unless it has been renewed.
func (w *Works) dropFirst() {
	first := w.order[0]
	w.order = w.order[1:]
	all := w.origins[first.key]
	if len(all) > 0 && !all[len(all)-1].at.After(first.at) {
		delete(w.origins, first.key)
	}
}
