package slots

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

// maxLocalSenders is how many of the daemons that decide for themselves use a target with a
// rate limit. Each of them may send a request at once whatever its part of the rate is.
const maxLocalSenders = 4

// Notices returns what the targets have declared, as far as known here.
func (s *Scheduler) Notices(now time.Time) []fireflypath.TargetNotice {
	return s.backpressure.Notices(now)
}

// NoticeVersion changes whenever the result of Notices does, apart from the ages.
func (s *Scheduler) NoticeVersion() uint64 { return s.backpressure.Version() }

// ApplyNotices records what other daemons know of declarations of the targets.
func (s *Scheduler) ApplyNotices(now time.Time, notices []fireflypath.TargetNotice) {
	s.backpressure.Apply(now, notices)
	s.updateDeclared()
}

// updateDeclared applies the declarations if they have changed.
func (s *Scheduler) updateDeclared() {
	if s.backpressure.Version() == s.appliedNotices {
		return
	}
	s.appliedNotices = s.backpressure.Version()
	s.linkDeclared()
	s.findFastest()
}

// linkDeclared links the targets with their declarations.
func (s *Scheduler) linkDeclared() {
	for _, t := range s.ordered {
		t.declared = s.backpressure.Find(t.id)
	}
}

// Refuses reports whether the target with the identity has declared that it takes no more
// requests of this daemon, or none for some time.
func (s *Scheduler) Refuses(now time.Time, identity string) bool {
	t := s.backpressure.Find(identity)
	return t.Leaving() || !t.BackoffEnds(now, "").IsZero()
}

// Backoffs returns the times for which targets want no requests of this daemon.
func (s *Scheduler) Backoffs(now time.Time) []fireflypath.TargetBackoff {
	return s.backpressure.Backoffs(now)
}

// BackoffVersion changes whenever a target asks this daemon for a backoff.
func (s *Scheduler) BackoffVersion() uint64 { return s.backpressure.BackoffVersion() }

// ApplyBackoffs records the times for which targets want no requests of another daemon.
func (s *Scheduler) ApplyBackoffs(now time.Time, daemon string, backoffs []fireflypath.TargetBackoff) {
	if len(backoffs) == 0 {
		return
	}
	s.backpressure.ApplyBackoffs(now, daemon, backoffs)
	s.linkDeclared()
}

// inBackoff reports whether the target wants no requests of the daemon that sends the work.
func (s *Scheduler) inBackoff(now time.Time, t *target, w *fireflypath.Work) bool {
	return !t.declared.BackoffEnds(now, w.Sender).IsZero()
}

// earliestBackoffEnd returns when the first target takes work of the sender again, or zero if one of
// those that are in service takes it now.
func (s *Scheduler) earliestBackoffEnd(now time.Time, w *fireflypath.Work) time.Time {
	var first time.Time
	if !s.backpressure.AnyBackoff(now) {
		return first
	}
	for _, t := range s.targetsFor(w) {
		if !mayRun(t, w) {
			continue
		}
		until := t.declared.BackoffEnds(now, w.Sender)
		if until.IsZero() {
			return time.Time{}
		}
		if first.IsZero() || until.Before(first) {
			first = until
		}
	}
	return first
}

// nextBackoffEnd returns when the next backoff from a daemon with waiting work ends, or zero.
func (s *Scheduler) nextBackoffEnd(now time.Time) time.Time {
	var next time.Time
	if !s.backpressure.AnyBackoff(now) {
		return next
	}
	for _, w := range s.waiting {
		for _, t := range s.shared {
			if until := t.declared.BackoffEnds(now, w.Sender); !until.IsZero() && (next.IsZero() || until.Before(next)) {
				next = until
			}
		}
	}
	return next
}

// SetRepresented sets for how many daemons this scheduler decides as their dispatcher. For none, it
// uses no target that names a limit or is brittle.
func (s *Scheduler) SetRepresented(now time.Time, daemons int) {
	s.isDispatcher, s.represented = true, daemons
	s.updateLimitShare(now)
}

// updateLimitShare sets the part of the targets' rate limits that may be used here. All who
// decide together use a limit once: a dispatcher in proportion to the daemons for which it
// decides, a daemon that decides for itself for one.
func (s *Scheduler) updateLimitShare(now time.Time) {
	share := 1.0
	if s.share.Senders > 1 {
		share = min(1, float64(max(s.represented, 1))/float64(s.share.Senders))
	}
	s.backpressure.SetShare(now, share)
}

// SetLeasedUntil sets until when dispatchers may still use this daemon's part of what targets bear.
// While it decides for itself, it does not use that part before.
func (s *Scheduler) SetLeasedUntil(until time.Time) { s.leasedUntil = until }

// DeclaresLimits reports whether a target names a rate limit or is brittle.
func (s *Scheduler) DeclaresLimits() bool { return s.backpressure.Limits() }

// mayUseLimited reports whether this scheduler uses the target while it names a rate limit.
func (s *Scheduler) mayUseLimited(now time.Time, t *target) bool {
	if s.isDispatcher {
		return s.represented > 0
	}
	n := s.share.Senders
	return !now.Before(s.leasedUntil) && (n <= maxLocalSenders || (uint64(s.share.Index)+t.nameHash)%uint64(n) < maxLocalSenders)
}

// brittleSkipReason returns why a brittle target accepts no request, or "" if it does. It gets none
// beyond its slots, whatever the tier, since it may have no room to wait for them.
func (s *Scheduler) brittleSkipReason(now time.Time, t *target) string {
	share := s.backpressure.Share()
	switch {
	case !s.mayUseLimited(now, t), !t.declared.BearsRefusal(now, share):
		return "brittle"
	case s.occupied(now, t) >= t.declared.MaxInFlight(now, t.slots(), share):
		return "full"
	default:
		return ""
	}
}

// limitAllows reports whether the target's rate limit allows a request now.
func (s *Scheduler) limitAllows(now time.Time, t *target) bool {
	n, limited := t.declared.Allows(now)
	return !limited || n > 0 && s.mayUseLimited(now, t)
}

// limitAllowsAt returns when the target's rate limit allows the next request, or zero if it
// allows one now or none from this scheduler.
func (s *Scheduler) limitAllowsAt(now time.Time, t *target) time.Time {
	if !t.declared.HasLimits() {
		return time.Time{}
	}
	if now.Before(s.leasedUntil) && !s.isDispatcher {
		return s.leasedUntil
	}
	if !s.mayUseLimited(now, t) {
		return time.Time{}
	}
	if t.declared.Brittle() && !t.declared.BearsRefusal(now, s.backpressure.Share()) {
		return t.declared.BearsRefusalAt(now)
	}
	return t.declared.AllowedAt(now)
}

// limitFreeSlots returns how many of the target's free slots its rate limit allows to use now.
func (s *Scheduler) limitFreeSlots(now time.Time, t *target, free int) int {
	if n, limited := t.declared.Allows(now); limited {
		return min(n, free)
	}
	return free
}

// totalLimit returns the requests per second that the targets take together. It reports false
// if one of them names no limit.
func (s *Scheduler) totalLimit(now time.Time) (perSecond float64, ok bool) {
	return s.limitFor(now, &fireflypath.Work{})
}

// limitFor returns the requests per second that the targets which may run the request take together. It
// reports false if one of them names no limit.
func (s *Scheduler) limitFor(now time.Time, w *fireflypath.Work) (perSecond float64, ok bool) {
	if s.backpressure.Len() == 0 {
		return 0, false
	}
	for _, t := range s.targetsFor(w) {
		if !hasVersion(t, w) || t.isLeaving() {
			continue
		}
		r, limited := t.declared.Rate()
		if !limited {
			return 0, false
		}
		if s.mayUseLimited(now, t) {
			perSecond += r
		}
	}
	return perSecond, perSecond > 0
}

// isListed reports whether the list of targets contains the one with the identity.
func (s *Scheduler) isListed(identity string) bool {
	for _, t := range s.ordered {
		if t.id == identity {
			return true
		}
	}
	return false
}
