package sim

import (
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/ratewindow"
	"github.com/fireflypath/fireflypath/internal/sim/load"
)

const (
	// noticeDelay is how long after an answer a daemon need not keep a limit or a backoff that
	// it names, drainDelay the same for an engine that says that it is leaving.
	noticeDelay = 500 * time.Millisecond
	drainDelay  = 2 * time.Second
	// maxDuringBackoff is how many requests a daemon may send an engine during its backoff.
	maxDuringBackoff = 2
)

// notices are what an engine says of itself in its answers, and what became of it.
type notices struct {
	// notice is what the engine declares; with a backoff it turns requests away.
	notice fireflypath.Notice
	// daemons holds what each run of a daemon has received.
	daemons map[daemonRun]*informedDaemon
	// limited counts the requests of daemons that know the engine's limit.
	limited ratewindow.Counter
	broken  brokenNotices
}

// brokenNotices counts the requests that engines got against their notices.
type brokenNotices struct {
	overLimit, leaving, duringBackoff int
}

// daemonRun is one run of a daemon.
type daemonRun struct {
	name        string
	incarnation int
}

// informedDaemon holds when a daemon first received each notice.
type informedDaemon struct {
	limitAt, leavingAt time.Time
	// backoffAt is when the daemon was last asked for a backoff, backoffEnd the end of that time, and
	// duringBackoff counts its requests in between.
	backoffAt, backoffEnd time.Time
	duringBackoff         int
}

func newNotices() notices { return notices{daemons: map[daemonRun]*informedDaemon{}} }

func (s *notices) informed(d *daemon) *informedDaemon {
	key := daemonRun{d.name, d.incarnation}
	if s.daemons[key] == nil {
		s.daemons[key] = &informedDaemon{}
	}
	return s.daemons[key]
}

// recordArrival checks a request that was sent at the given time and reaches the engine now.
func (s *notices) recordArrival(now, sent time.Time, d *daemon) {
	informed := s.informed(d)
	if !informed.limitAt.IsZero() && now.Sub(informed.limitAt) >= noticeDelay {
		s.limited.Add(now)
	}
	if !informed.leavingAt.IsZero() && sent.Sub(informed.leavingAt) > drainDelay {
		s.broken.leaving++
	}
	if now.Before(informed.backoffEnd) && now.Sub(informed.backoffAt) >= noticeDelay {
		informed.duringBackoff++
		s.broken.duringBackoff = max(s.broken.duringBackoff, informed.duringBackoff-maxDuringBackoff)
	}
}

// recordAnswer records that a daemon receives an answer with the engine's notices.
func (s *notices) recordAnswer(now time.Time, d *daemon, n fireflypath.Notice) {
	informed := s.informed(d)
	if n.Limited && informed.limitAt.IsZero() {
		informed.limitAt = now
	}
	if n.Leaving && informed.leavingAt.IsZero() {
		informed.leavingAt = now
	}
	if n.Backoff > 0 {
		informed.backoffAt, informed.backoffEnd, informed.duringBackoff = now, now.Add(n.Backoff), 0
	}
}

// endLimit ends the limit and counts by how many requests it was exceeded in the worst span.
func (s *notices) endLimit() {
	s.broken.overLimit = max(s.broken.overLimit, s.limited.Most()-ratewindow.Allowed(s.notice.Limit))
	s.notice.Limit, s.notice.Limited, s.limited = 0, false, ratewindow.Counter{}
	for _, informed := range s.daemons {
		informed.limitAt = time.Time{}
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
