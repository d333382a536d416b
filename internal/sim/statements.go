package sim

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/ratewindow"
	"github.com/fireflypath/fireflypath/internal/sim/load"
)

const (
	// statementDelay is how long after an answer a daemon need not keep a limit or a backoff that
	// it names, drainDelay the same for an engine that says that it is leaving.
	statementDelay = 500 * time.Millisecond
	drainDelay     = 2 * time.Second
	// maxDuringBackoff is how many requests a daemon may send an engine during its backoff.
	maxDuringBackoff = 2
)

// statements are what an engine says of itself in its answers, and what became of it.
type statements struct {
	// notice is what the engine declares; with a backoff it turns requests away.
	notice fireflypath.Notice
	// daemons holds what each run of a daemon has been told.
	daemons map[daemonRun]*toldDaemon
	// limited counts the requests of daemons that know the engine's limit.
	limited ratewindow.Counter
	broken  brokenStatements
}

// brokenStatements counts the requests that engines got against their statements.
type brokenStatements struct {
	overLimit, leaving, duringBackoff int
}

// daemonRun is one run of a daemon.
type daemonRun struct {
	name        string
	incarnation int
}

// toldDaemon is when a daemon was first told each statement.
type toldDaemon struct {
	limitAt, leavingAt time.Time
	// backoffAt is when the daemon was last asked for a backoff, backoffEnd the end of that time, and
	// duringBackoff counts its requests in between.
	backoffAt, backoffEnd time.Time
	duringBackoff         int
}

func newStatements() statements { return statements{daemons: map[daemonRun]*toldDaemon{}} }

func (s *statements) told(d *daemon) *toldDaemon {
	key := daemonRun{d.name, d.incarnation}
	if s.daemons[key] == nil {
		s.daemons[key] = &toldDaemon{}
	}
	return s.daemons[key]
}

// recordArrival checks a request that was sent at the given time and reaches the engine now.
func (s *statements) recordArrival(now, sent time.Time, d *daemon) {
	told := s.told(d)
	if !told.limitAt.IsZero() && now.Sub(told.limitAt) >= statementDelay {
		s.limited.Add(now)
	}
	if !told.leavingAt.IsZero() && sent.Sub(told.leavingAt) > drainDelay {
		s.broken.leaving++
	}
	if now.Before(told.backoffEnd) && now.Sub(told.backoffAt) >= statementDelay {
		told.duringBackoff++
		s.broken.duringBackoff = max(s.broken.duringBackoff, told.duringBackoff-maxDuringBackoff)
	}
}

// recordAnswer records that a daemon receives an answer with the engine's statements.
func (s *statements) recordAnswer(now time.Time, d *daemon, n fireflypath.Notice) {
	told := s.told(d)
	if n.Limited && told.limitAt.IsZero() {
		told.limitAt = now
	}
	if n.Leaving && told.leavingAt.IsZero() {
		told.leavingAt = now
	}
	if n.Backoff > 0 {
		told.backoffAt, told.backoffEnd, told.duringBackoff = now, now.Add(n.Backoff), 0
	}
}

// endLimit ends the limit and counts by how many requests it was exceeded in the worst span.
func (s *statements) endLimit() {
	s.broken.overLimit = max(s.broken.overLimit, s.limited.Most()-ratewindow.Allowed(s.notice.Limit))
	s.notice.Limit, s.notice.Limited, s.limited = 0, false, ratewindow.Counter{}
	for _, told := range s.daemons {
		told.limitAt = time.Time{}
	}
}

// applyLimit makes engines name a rate limit for some time.
func (w *world) applyLimit(l load.Limit) {
	for _, t := range w.randomTargets(l.Fraction) {
		t.notice.Limit, t.notice.Limited = l.PerSecond, true
		w.loop.After(l.Duration, t.endLimit)
	}
}

// applyBackoff makes engines turn requests away for some time.
func (w *world) applyBackoff(r load.Backoff) {
	for _, t := range w.randomTargets(r.Fraction) {
		t.notice.Backoff = r.Time
		w.loop.After(r.Duration, func() { t.notice.Backoff = 0 })
	}
}
