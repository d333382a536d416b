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
	onLeaving func(target, why string)
	onBack    func(target string)

	mu sync.Mutex
	// reports holds when each source last said that the target leaves.
	reports map[string]map[Source]time.Time
}

// New returns Evidence that calls leaving and back at changes, with a lock held.
func New(leaving func(target, why string), back func(target string)) *Evidence {
	return &Evidence{onLeaving: leaving, onBack: back, reports: map[string]map[Source]time.Time{}}
}

// ReportLeaving takes that the source said at a time that the target leaves.
func (e *Evidence) ReportLeaving(target string, source Source, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reports[target] == nil {
		e.reports[target] = map[Source]time.Time{}
		defer e.onLeaving(target, string(source))
	}
	e.reports[target][source] = at
}

// ReportStaying takes that the source said at a time that the target does not leave.
// A reading older than the source's word to the contrary is a late report.
func (e *Evidence) ReportStaying(target string, source Source, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	said, ok := e.reports[target][source]
	if !ok || at.Before(said) {
		return
	}
	delete(e.reports[target], source)
	if len(e.reports[target]) == 0 {
		delete(e.reports, target)
		e.onBack(target)
	}
}
