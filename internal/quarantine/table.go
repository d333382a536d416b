package quarantine

import (
	"slices"

	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
)

// entry is the state of a cause, or of causes that are held together, as known to all daemons.
type entry struct {
	poison.Verdict
	// version increases with each change of the entry, at any daemon.
	version uint64
	// seq numbers the changes applied by this daemon; it decides which peers still need the
	// entry.
	seq uint64
	// stored is true if the store holds the entry.
	stored bool
}

// causes returns the causes that the entry is about.
func (e entry) causes() []digest.Digest {
	if len(e.Members) > 0 {
		return e.Members
	}
	return []digest.Digest{e.Digest}
}

// coversAll reports whether the entry holds requests with the causes.
func (e entry) coversAll(causes []digest.Digest) bool {
	if len(e.Members) == 0 {
		return slices.Contains(causes, e.Digest)
	}
	for _, m := range e.Members {
		if !slices.Contains(causes, m) {
			return false
		}
	}
	return true
}

// table is a set of entries. It does not change.
type table struct {
	byDigest map[digest.Digest]entry
	// holds lists the held entries by one of their causes.
	holds map[digest.Digest][]entry
	// watched are the causes of which daemons report that they were answered.
	watched map[digest.Digest]bool
}

func newTable(byDigest map[digest.Digest]entry) *table {
	t := &table{byDigest: byDigest, holds: map[digest.Digest][]entry{}, watched: map[digest.Digest]bool{}}
	for _, e := range byDigest {
		if e.State == poison.Cleared {
			continue
		}
		causes := e.causes()
		for _, d := range causes {
			t.watched[d] = true
		}
		if e.State == poison.Held {
			t.holds[causes[0]] = append(t.holds[causes[0]], e)
		}
	}
	return t
}
