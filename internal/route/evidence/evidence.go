// Package evidence weighs who says that a target is leaving.
package evidence

import (
	"sync"
	"time"
)

// Source is who says that a target is leaving.
type Source string

const (
	// SourceTarget is the target itself, by its report or its refusal.
	SourceTarget Source = "the target's own word"
	// SourceHosts is the platform's list.
	SourceHosts Source = "the host list"
	// SourcePeers is what other daemons saw; it is not told to them again.
	SourcePeers Source = "other daemons"
)

// Evidence holds the sources that say so, by target. Only the first one and
// the end of the last one are told on.
//
// Sources disagree: the host list lags behind a target's own word. If the last
// speaker won, a target that said it drains would get work again from a list
// that has not heard yet.
type Evidence struct {
	leaving func(target, why string)
	back    func(target string)

	mu sync.Mutex
	// says holds when each source last said that the target leaves.
	says map[string]map[Source]time.Time
}

// New returns Evidence that calls leaving and back at changes, with a lock held.
func New(leaving func(target, why string), back func(target string)) *Evidence {
	return &Evidence{leaving: leaving, back: back, says: map[string]map[Source]time.Time{}}
}

// Leaving takes that the source said at a time that the target leaves.
func (e *Evidence) Leaving(target string, source Source, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.says[target] == nil {
		e.says[target] = map[Source]time.Time{}
		defer e.leaving(target, string(source))
	}
	e.says[target][source] = at
}

// Staying takes that the source said at a time that the target does not leave.
// A reading older than the source's word to the contrary is a late report.
func (e *Evidence) Staying(target string, source Source, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	said, ok := e.says[target][source]
	if !ok || at.Before(said) {
		return
	}
	delete(e.says[target], source)
	if len(e.says[target]) == 0 {
		delete(e.says, target)
		e.back(target)
	}
}
