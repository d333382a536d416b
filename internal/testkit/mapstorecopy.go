package testkit

import (
	"maps"

	"github.com/fireflypath/fireflypath"
)

// StoreCopy is the content of a MapStore at one time.
type StoreCopy struct {
	revision uint64
	entries  map[string]storedEntry
}

// Copy returns a copy of the content without its leases.
func (s *MapStore) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return StoreCopy{revision: s.revision, entries: maps.Clone(s.entries)}
}

// RestoreCopy replaces the content by a copy and begins a new era. All leases end.
func (s *MapStore) RestoreCopy(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	era := fireflypath.RevisionEra(s.revision) + 1
	s.revision = fireflypath.NewRevision(era, fireflypath.RevisionNumber(c.revision))
	clear(s.entries)
	clear(s.leases)
	for key, e := range c.entries {
		e.Revision, e.lease = fireflypath.NewRevision(era, fireflypath.RevisionNumber(e.Revision)), 0
		s.entries[key] = e
	}
	s.notifyWatchers()
}
