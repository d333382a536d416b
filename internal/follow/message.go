package follow

import "github.com/fireflypath/fireflypath"

const (
	methodFollow = "follow"
	methodPart   = "follow.part"
)

const (
	// inlineSize is the largest value that an answer carries, in bytes. Registrations
	// of targets have some hundred; only the configuration is larger.
	inlineSize = 8 << 10
	// pageSize bounds the entries of one answer, in bytes of their values and keys. In
	// the form that they are sent in they take 45 KB at most, 36 ms on 10 Mbit/s; those
	// of 2,700 targets together would take a second there.
	pageSize = 32 << 10
	// partSize is how much of a patch one answer carries, in bytes: 18 ms on 10 Mbit/s
	// in the form that it is sent in, so that heartbeats and placements on the same
	// connection are not held up.
	partSize = 16 << 10
)

// ask is what a daemon asks a watcher.
type ask struct {
	// After is the revision of the asker's view; 0 asks for everything.
	After uint64 `json:"a"`
	// Wait is how long the answer may be held back, in milliseconds.
	Wait int64 `json:"w"`
	// Parts is true if the asker fetches large values by itself. One that does not
	// know of them would take a listing without them for whole.
	Parts bool `json:"p,omitempty"`
	// Above asks for the next page: the revision of the last entry had.
	Above uint64 `json:"b,omitempty"`
}

// reply is a watcher's answer.
type reply struct {
	Entries  []fireflypath.Entry `json:"e,omitempty"`
	Revision uint64              `json:"r"`
	// Large are entries whose values are fetched by themselves.
	Large []large `json:"l,omitempty"`
	// More is true if there is another page.
	More bool `json:"m,omitempty"`
	// Late is true if the view is old because a large answer of the store is on its
	// way to the watcher.
	Late bool `json:"t,omitempty"`
	// Age of the view and the time for which removals may be lapses, in milliseconds.
	Age  int64 `json:"a"`
	Hold int64 `json:"h,omitempty"`
	// Compacted is true if the changes since After are not known.
	Compacted bool `json:"c,omitempty"`
}

// fill adds the entries above a revision, in their order, up to a page's size.
// Entries written together have one revision and stay on one page.
func (r *reply) fill(entries []fireflypath.Entry, above uint64) {
	bytes := 0
	last := above
	for _, e := range entries {
		if e.Revision <= above {
			continue
		}
		if bytes > pageSize && e.Revision > last {
			r.More = true
			return
		}
		last = e.Revision
		if len(e.Value) > inlineSize {
			r.Large = append(r.Large, large{Key: e.Key, Revision: e.Revision})
			bytes += len(e.Key)
			continue
		}
		r.Entries = append(r.Entries, e)
		bytes += len(e.Key) + len(e.Value)
	}
}

// last is the highest revision on the page.
func (r *reply) last() uint64 {
	var last uint64
	for _, e := range r.Entries {
		last = max(last, e.Revision)
	}
	for _, l := range r.Large {
		last = max(last, l.Revision)
	}
	return last
}

// large names a value that no answer carries whole.
type large struct {
	Key      string `json:"k"`
	Revision uint64 `json:"r"`
}

// askPart asks for a part of a large value's patch.
type askPart struct {
	large
	// Base is the revision of the value that the asker has under the key; 0 is none.
	Base uint64 `json:"b,omitempty"`
	// Offset is where the part begins, in bytes of the patch.
	Offset int `json:"o"`
}

// part is a piece of a patch.
type part struct {
	// Base is the revision that the patch builds on; 0 if it stands by itself.
	Base uint64 `json:"b,omitempty"`
	// Size is that of the whole patch in bytes, Sum its hash. Parts with the same sum
	// belong together, whoever sent them.
	Size int    `json:"s"`
	Sum  uint64 `json:"h"`
	Data []byte `json:"d"`
}
