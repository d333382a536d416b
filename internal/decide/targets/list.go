// Package targets keeps lists of targets whose changes cost no more than what has changed.
package targets

import (
	"slices"
	"strings"

	"github.com/fireflypath/fireflypath"
)

// List remembers the targets of a pool and finds what a new list of them changes. Its zero value is
// empty.
//
// Each daemon holds all targets of a fleet, of which a few change at a time. If every change
// rebuilt what is derived from all of them, thousands of targets would keep a small host busy.
type List struct {
	// current is sorted by name.
	current []fireflypath.Target
}

// Replace replaces the targets.
func (l *List) Replace(next []fireflypath.Target) {
	if !slices.IsSortedFunc(next, compareNames) {
		next = slices.Clone(next)
		slices.SortStableFunc(next, compareNames)
	}
	l.current = next
}

// Update replaces the targets. It calls remove for each that is gone or was replaced, then set for
// each that is new or has changed.
func (l *List) Update(next []fireflypath.Target, remove, set func(fireflypath.Target)) {
	old := l.current
	l.Replace(next)
	next = l.current
	var added []fireflypath.Target
	i, j := 0, 0
	for i < len(old) || j < len(next) {
		switch {
		case j == len(next) || i < len(old) && old[i].Name < next[j].Name:
			remove(old[i])
			i++
		case i == len(old) || next[j].Name < old[i].Name:
			added = append(added, next[j])
			j++
		default:
			if old[i] != next[j] {
				remove(old[i])
				added = append(added, next[j])
			}
			i++
			j++
		}
	}
	for _, t := range added {
		set(t)
	}
}

// Find returns the target with the name.
func (l *List) Find(name string) (fireflypath.Target, bool) {
	i, ok := slices.BinarySearchFunc(l.current, name, func(t fireflypath.Target, name string) int { return strings.Compare(t.Name, name) })
	if !ok {
		return fireflypath.Target{}, false
	}
	return l.current[i], true
}

// FindIdentity returns the target with the identity.
func (l *List) FindIdentity(identity string) (fireflypath.Target, bool) {
	t, ok := l.Find(identity)
	if !ok {
		t, ok = l.Find(fireflypath.NameOfIdentity(identity))
	}
	return t, ok && t.Identity() == identity
}

// All returns the targets by name. They must not be changed.
func (l *List) All() []fireflypath.Target { return l.current }

func compareNames(a, b fireflypath.Target) int { return strings.Compare(a.Name, b.Name) }
