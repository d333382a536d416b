package directory

import (
	"slices"

	"github.com/fireflypath/fireflypath"
)

// targetSet holds targets in the order of their names. A change costs a search and not a sort of
// all of them.
type targetSet struct {
	byName map[string]fireflypath.Target
	// names is sorted.
	names []string
	// changed is true if the set has changed since the last list.
	changed bool
}

func newTargetSet() *targetSet {
	return &targetSet{byName: map[string]fireflypath.Target{}}
}

func (s *targetSet) len() int { return len(s.names) }

func (s *targetSet) has(name string) bool {
	_, ok := s.byName[name]
	return ok
}

func (s *targetSet) get(name string) (fireflypath.Target, bool) {
	t, ok := s.byName[name]
	return t, ok
}

// set adds or replaces a target and reports whether that changed anything.
func (s *targetSet) set(t fireflypath.Target) bool {
	previous, known := s.byName[t.Name]
	if known && previous == t {
		return false
	}
	if !known {
		i, _ := slices.BinarySearch(s.names, t.Name)
		s.names = slices.Insert(s.names, i, t.Name)
	}
	s.byName[t.Name] = t
	s.changed = true
	return true
}

func (s *targetSet) remove(name string) {
	if !s.has(name) {
		return
	}
	delete(s.byName, name)
	i, _ := slices.BinarySearch(s.names, name)
	s.names = slices.Delete(s.names, i, i+1)
	s.changed = true
}

// list returns a copy of the targets, ordered by name.
func (s *targetSet) list() []fireflypath.Target {
	out := make([]fireflypath.Target, len(s.names))
	for i, name := range s.names {
		out[i] = s.byName[name]
	}
	s.changed = false
	return out
}
