// Package evidence combines the reports of several sources that a target is leaving.
package evidence

import (
	"sync"
	"time"
)

// Source is the origin of a report that a target is leaving.
type Source string

const (
	// SourceTarget is the target itself, by its load report or a refusal.
	SourceTarget Source = "the target's own word"
	// SourceHosts is the platform's host list.
	SourceHosts Source = "the host list"
	// SourcePeers is the observation of other daemons; it is not sent back to them.
	SourcePeers Source = "other daemons"
)

// Evidence holds, by target, the sources that report it as leaving. Only the first
// such report and the retraction of the last one are passed on.
//
// Sources disagree, because the host list lags behind a target's own report. If
// the latest report won, a target that announced that it drains would get new
// requests again because of an outdated list.
type Evidence struct {
	onLeaving func(target, reason string)
	onStaying func(target string)

	mu sync.Mutex
	// reports holds when each source last reported that the target is leaving.
	reports map[string]map[Source]time.Time
}

// New returns an Evidence that calls leaving and staying at changes, while it holds
// its lock.
func New(leaving func(target, reason string), staying func(target string)) *Evidence {
	return &Evidence{onLeaving: leaving, onStaying: staying, reports: map[string]map[Source]time.Time{}}
}

// ReportLeaving records that the source reported the target as leaving at the time.
func (e *Evidence) ReportLeaving(target string, source Source, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.reports[target] == nil {
		e.reports[target] = map[Source]time.Time{}
		defer e.onLeaving(target, string(source))
	}
	e.reports[target][source] = at
}

// ReportStaying records that the source reported the target as not leaving at the
// time. It is ignored if the same source reported it as leaving later than that.
func (e *Evidence) ReportStaying(target string, source Source, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reportedAt, ok := e.reports[target][source]
	if !ok || at.Before(reportedAt) {
		return
	}
	delete(e.reports[target], source)
	if len(e.reports[target]) == 0 {
		delete(e.reports, target)
		e.onStaying(target)
	}
}
