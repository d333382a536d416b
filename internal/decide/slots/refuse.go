package slots

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
)

// callerGivesUpAt returns when the caller of a waiting request gives up.
func callerGivesUpAt(w *fireflypath.Work) time.Time {
	if !w.PatienceEnds.IsZero() && w.PatienceEnds.Before(w.Deadline) {
		return w.PatienceEnds
	}
	return w.Deadline
}

// expiresAt returns when a waiting request is refused.
func (s *Scheduler) expiresAt(w *fireflypath.Work) time.Time {
	if w.PatienceEnds.IsZero() {
		return w.Deadline.Add(-expiryMargin)
	}
	return w.Arrived.Add(time.Duration(s.maxWaitFraction(w) * float64(callerGivesUpAt(w).Sub(w.Arrived))))
}

// expectedWait returns how long the request would wait, if it can be estimated.
// Free slots serve requests at once: a completion rate measured at low load says
// nothing about them.
func (s *Scheduler) expectedWait(now time.Time, w *fireflypath.Work) (time.Duration, bool) {
	ahead := 1 - s.freeSlots(now, w) + s.countAhead(now, w, "")
	if ahead <= 0 {
		return 0, true
	}
	r := s.completionRate(now)
	if r <= 0 {
		return 0, false
	}
	return max(time.Duration(float64(ahead)/r*float64(time.Second)), s.versionWait(now, w, r)), true
}

// hopeless reports whether the request is refused on arrival, because its turn is expected to
// come too late, and when that is.
func (s *Scheduler) hopeless(now time.Time, w *fireflypath.Work) (wait time.Duration, refuse bool) {
	longest := time.Duration(s.maxWaitFraction(w) * float64(callerGivesUpAt(w).Sub(now)))
	if wait, declared := s.declaredWait(now, w); declared {
		// The targets say when they take more. Work that they cannot take by its goal waits in
		// vain: if not this request, then an older one.
		if untilGoal := w.Goal.Sub(now); untilGoal > 0 {
			longest = min(longest, untilGoal)
		}
		return wait, wait > longest
	}
	wait, known := s.expectedWait(now, w)
	return wait, known && wait > longest
}

// declaredWait returns how long the request would wait by what the targets have declared. It
// reports false if one of them is free to take it.
func (s *Scheduler) declaredWait(now time.Time, w *fireflypath.Work) (time.Duration, bool) {
	if until := s.earliestBackoffEnd(now, w); !until.IsZero() {
		return until.Sub(now), true
	}
	if perSecond, ok := s.limitFor(now, w); ok {
		return s.limitedWait(now, w, perSecond), true
	}
	return 0, false
}

// limitedWait returns how long the request would wait behind all waiting work of its tier and
// of higher ones, if the targets take the given number of requests per second.
func (s *Scheduler) limitedWait(now time.Time, w *fireflypath.Work, perSecond float64) time.Duration {
	ahead := 1 - s.freeSlots(now, w) + s.countAheadOrSame(w)
	return time.Duration(max(float64(ahead), 0) / perSecond * float64(time.Second))
}

// completionRate returns the number of requests that complete per second, or 0 if
// unknown.
func (s *Scheduler) completionRate(now time.Time) float64 {
	r := s.completions.Rate()
	if s.slotTime > 0 {
		r = max(r, float64(len(s.inFlight))/s.slotTime)
	}
	if limit, ok := s.totalLimit(now); ok && (r <= 0 || limit < r) {
		return limit
	}
	return r
}

// retryAfter estimates when there will be room for the request if it is sent again:
// when the requests ahead of it have been served along with those that keep
// arriving. Told only the expected wait, the caller would return to a queue as long
// as before.
func (s *Scheduler) retryAfter(now time.Time, w *fireflypath.Work) time.Duration {
	rate := s.completionRate(now)
	if rate <= 0 {
		return minRetryAfter
	}
	ahead := 1 + float64(s.countAheadOrSame(w))
	spare := max(rate-s.arrivalRate(now, w.Rank), minSpareFraction*rate)
	sec := ahead / spare * (1 + retryJitter*(2*s.jitterFraction(w)-1))
	return min(max(time.Duration(sec*float64(time.Second)), minRetryAfter), maxRetryAfter)
}

// arrivalRate returns the number of requests offered per second of the given rank and of
// all higher tiers.
func (s *Scheduler) arrivalRate(now time.Time, rank int) float64 {
	sum := 0.0
	for r := range min(rank+1, len(s.arrivals)) {
		s.arrivals[r].Advance(now, true)
		sum += s.arrivals[r].Rate()
	}
	return sum
}

// jitterFraction returns a number in [0, 1) derived from the request's ID, so that
// callers refused together do not retry together.
func (s *Scheduler) jitterFraction(w *fireflypath.Work) float64 {
	return float64(place.Mix64(xxhash.Sum64String(w.ID))>>11) / (1 << 53)
}

// freeSlots returns the number of free slots at targets that accept requests of the work's sender.
func (s *Scheduler) freeSlots(now time.Time, w *fireflypath.Work) int {
	n := 0
	for _, t := range s.targetsFor(w) {
		if mayRun(t, w) && s.busyReason(now, t, 0) == "" && !s.inBackoff(now, t, w) {
			n += s.limitFreeSlots(now, t, t.slots()-s.occupied(now, t))
		}
	}
	return n
}

// shed returns the refusal of a request, with the time after which to retry.
func (s *Scheduler) shed(now time.Time, w *fireflypath.Work, detail string) fireflypath.Shed {
	retryAfter, ok := s.promiseReturn(now, w, detail)
	if !ok {
		retryAfter = s.retryAfter(now, w)
	}
	sh := fireflypath.Shed{Work: w, Reason: fireflypath.ReasonDeadline, Detail: detail + s.limitedDetail(now, w), RetryAfter: retryAfter}
	s.teams.leave(w)
	return sh
}

// Expire removes the waiting requests that have expired and appends their refusals.
func (s *Scheduler) Expire(now time.Time, out []fireflypath.Shed) []fireflypath.Shed {
	kept := s.waiting[:0]
	for _, w := range s.waiting {
		if s.versionLost(w) {
			out = append(out, s.shed(now, w, noTargetDetail))
			continue
		}
		if now.Before(s.expiresAt(w)) {
			kept = append(kept, w)
			continue
		}
		out = append(out, s.shed(now, w, fmt.Sprintf("waited %v, its time is over (targets: %s)", now.Sub(w.Arrived).Round(time.Millisecond), s.describeTargets(now))))
	}
	s.waiting = kept
	return out
}

// describeTargets counts the targets by the reason for which they accept no request. It tells a
// lack of slots from targets that are out of use.
func (s *Scheduler) describeTargets(now time.Time) string {
	counts := map[string]int{}
	for _, t := range s.shared {
		reason := s.skipReason(now, t, 0)
		if reason == "" {
			reason = "free"
		}
		counts[reason]++
	}
	var b strings.Builder
	for _, reason := range slices.Sorted(maps.Keys(counts)) {
		if b.Len() > 0 {
			b.WriteString(", ")
		}
		fmt.Fprintf(&b, "%d %s", counts[reason], reason)
	}
	return b.String()
}

// Relieve refuses waiting requests of tiers lower than rank, lowest first, until
// the given number of tokens is freed.
func (s *Scheduler) Relieve(now time.Time, rank, tokens int, out []fireflypath.Shed) []fireflypath.Shed {
	for freed := 0; freed < tokens; {
		at := -1
		for i, w := range s.waiting {
			if w.Rank > rank && (at < 0 || w.Rank > s.waiting[at].Rank || w.Rank == s.waiting[at].Rank && s.teams.turn(w) > s.teams.turn(s.waiting[at])) {
				at = i
			}
		}
		if at < 0 {
			return out
		}
		w := s.waiting[at]
		s.waiting = append(s.waiting[:at], s.waiting[at+1:]...)
		freed += max(w.Cost.Tokens(), 1)
		sh := s.shed(now, w, fmt.Sprintf("gave way to work of rank %d", rank))
		sh.Reason = fireflypath.ReasonFull
		out = append(out, sh)
	}
	return out
}
