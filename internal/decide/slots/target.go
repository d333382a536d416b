package slots

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/backpressure"
	"github.com/fireflypath/fireflypath/internal/decide/speed"
)

const (
	// reportTTL is how long a target's own load report is used. By then the
	// requests that it counted have ended.
	reportTTL = 400 * time.Millisecond
	// minEjection is how long a target that failed receives nothing. The time
	// doubles with each failure up to maxEjection. A crashed target is back within
	// seconds.
	minEjection = 300 * time.Millisecond
	maxEjection = 4 * time.Second
	// failureWeight is the weight of a new outcome in the failure rate.
	failureWeight = 0.15
	// neverEject is a failure rate that no target reaches.
	neverEject = 2
	// takeoverPeriod is how long requests of a target's previous daemons are
	// assumed to last. Requests occupy a slot for half a second at fast engines and
	// for two seconds at the slowest; 0.8 s leaves few fast engines idle.
	takeoverPeriod = 800 * time.Millisecond
	// registrationPeriod is the age up to which a target assigned to this daemon
	// counts as newly registered, without requests of other daemons.
	registrationPeriod = 500 * time.Millisecond
)

// target is the state of one target.
type target struct {
	fireflypath.Target
	// id is the target's identity, nameHash the hash of its name.
	id       string
	nameHash uint64
	speed    speed.Estimator
	// requests counts this daemon's requests in flight, pendingPrefill the prompt
	// tokens of those that have not received a first event.
	requests       int
	pendingPrefill int
	// slotTime is the moving average of how long a request occupies a slot, in
	// seconds.
	slotTime float64
	// peerRequests counts the requests in flight that other daemons reported.
	peerRequests int
	// peerPrefill is the number of their prompt tokens waiting for prefill.
	peerPrefill int
	// peerFreedAt is when another daemon's slot, or those of a new or reassigned
	// target, last became free; ownFreedAt is when a slot of this daemon did.
	peerFreedAt, ownFreedAt time.Time
	// knownSince is when the target was first seen. takenOverAt is when it was
	// reassigned to this daemon from others that may still have requests there.
	knownSince, takenOverAt time.Time
	// peersReported is true once other daemons have reported.
	peersReported bool
	// reportedRequests is the target's own count of its requests less this
	// daemon's, received at reportedAt.
	reportedRequests int
	reportedAt       time.Time
	// unassigned is true for a target that only other daemons dispatch to.
	unassigned bool
	// leaving is true if this daemon itself observed that the target accepts no
	// more requests.
	leaving bool
	// failureRate is the moving average of the fraction of requests that failed.
	failureRate float64
	// ejection is the length of the last ejection, ejectedUntil its end.
	ejection     time.Duration
	ejectedUntil time.Time
	// declared is what the target declared in answers, or nil.
	declared *backpressure.Target
	// probing is true while a single request decides whether the target has
	// recovered.
	probing bool
	// lent is the number of slots lent to other cells, borrowed what another cell has lent of the
	// target to this one.
	lent     int
	borrowed borrowed
}

// SetTargets replaces the targets and keeps the state of those that stay. A target
// that restarted under its name is a new target: requests in flight to the earlier
// incarnation and its statistics do not count.
//
// All daemons see a new target at once, with all its slots free, so they take turns
// at it as at a slot that became free.
func (s *Scheduler) SetTargets(now time.Time, list []fireflypath.Target) {
	s.list.Update(list, func(t fireflypath.Target) { s.removeTarget(t.Name) }, func(t fireflypath.Target) { s.setTarget(now, t) })
	clear(s.replaced)
	s.updateShared()
	s.backpressure.Retain(now, s.isListed)
	s.findFastest()
}

// findFastest finds the fastest target again.
func (s *Scheduler) findFastest() {
	s.maxPrefillRate, s.fastest = 0, nil
	for _, t := range s.ordered {
		s.updateFastest(t)
	}
}

// removeTarget removes a target. One that is only replaced keeps its state if it is still the same.
func (s *Scheduler) removeTarget(name string) {
	s.replaced[name] = s.targets[name]
	delete(s.targets, name)
	i, _ := slices.BinarySearchFunc(s.ordered, name, compareTargetName)
	s.ordered = slices.Delete(s.ordered, i, i+1)
}

func (s *Scheduler) setTarget(now time.Time, t fireflypath.Target) {
	entry := s.replaced[t.Name]
	if entry == nil || entry.Addr != t.Addr || entry.Incarnation != t.Incarnation {
		entry = &target{id: t.Identity(), nameHash: xxhash.Sum64String(t.Name), peerFreedAt: now, knownSince: now}
	}
	entry.Target = t
	entry.declared = s.backpressure.Find(entry.id)
	s.updateAssignment(now, entry)
	s.targets[t.Name] = entry
	i, _ := slices.BinarySearchFunc(s.ordered, t.Name, compareTargetName)
	s.ordered = slices.Insert(s.ordered, i, entry)
}

func compareTargetName(t *target, name string) int { return strings.Compare(t.Name, name) }

// updateShared lists the targets that this daemon dispatches to.
func (s *Scheduler) updateShared() {
	s.shared = s.shared[:0]
	for _, t := range s.ordered {
		if !t.unassigned || t.borrowed.cell != 0 {
			s.shared = append(s.shared, t)
		}
	}
	s.updateLent()
}

// slots returns the number of slots of the target.
func (t *target) slots() int {
	if t.Slots > 0 {
		return t.Slots
	}
	return defaultSlots
}

// otherRequests returns the number of requests of other daemons at the target.
func (s *Scheduler) otherRequests(now time.Time, t *target) int {
	n := 0
	if t.peersReported {
		n = t.peerRequests
	}
	useReport := !t.peersReported || s.share.UnknownSenders || s.tuning.UseTargetReports || t.declared.Brittle()
	if useReport && now.Sub(t.reportedAt) <= reportTTL {
		n = max(n, t.reportedRequests)
	}
	return n + t.previousRequests(now) + t.lentSlots()
}

// previousRequests returns the assumed number of requests that the target's
// previous daemons still have there. They end one by one over takeoverPeriod.
func (t *target) previousRequests(now time.Time) int {
	age := now.Sub(t.takenOverAt)
	if t.takenOverAt.IsZero() || age >= takeoverPeriod {
		return 0
	}
	return int(math.Ceil(float64(t.slots()) * float64(takeoverPeriod-age) / float64(takeoverPeriod)))
}

// occupied returns the number of requests of all daemons at the target.
func (s *Scheduler) occupied(now time.Time, t *target) int {
	return t.requests + s.otherRequests(now, t)
}

// allowedExtra returns how many requests beyond its slots a target may have when
// one of the rank is sent.
func (s *Scheduler) allowedExtra(t *target, rank int) int {
	return s.pipelined(t) + min(max(s.lowestRank-rank, 0), s.tuning.MaxTargetQueue)
}

// pipelined returns how many requests beyond its slots the target may always have.
func (s *Scheduler) pipelined(t *target) int {
	return int(math.Ceil(s.tuning.PipelinedFraction * float64(t.slots())))
}

// isLeaving reports whether the target takes no more requests because it is shutting down,
// according to its registration, its answers or this daemon's own observation.
func (t *target) isLeaving() bool { return t.Drained || t.leaving || t.declared.Leaving() }

// skipReason returns why the target accepts no request, or "" if it does. extra is
// the number of requests allowed beyond its slots.
func (s *Scheduler) skipReason(now time.Time, t *target, extra int) string {
	if t.unassigned && t.borrowed.cell == 0 {
		return "foreign"
	}
	return s.busyReason(now, t, extra)
}

// busyReason returns why the target accepts no request of any daemon, or "" if it does.
func (s *Scheduler) busyReason(now time.Time, t *target, extra int) string {
	switch {
	case t.isLeaving():
		return "leaving"
	case now.Before(t.ejectedUntil):
		return "ejected"
	case t.probing:
		return "probing"
	case t.borrowed.cell != 0 && !t.mayBorrow(now):
		return "foreign"
	case !s.limitAllows(now, t):
		return "limited"
	case t.declared.Brittle():
		return s.brittleSkipReason(now, t)
	case s.occupied(now, t) >= t.slots()+extra:
		return "full"
	default:
		return ""
	}
}

// accepts reports whether the target accepts a request.
func (s *Scheduler) accepts(now time.Time, t *target, extra int) bool {
	return s.skipReason(now, t, extra) == ""
}

// markProbe makes the request just sent the probe of a target whose ejection has
// ended.
func (t *target) markProbe(now time.Time) {
	if t.ejection > 0 && !now.Before(t.ejectedUntil) {
		t.probing = true
	}
}

// recordSuccess counts a success and ends the target's ejection.
func (t *target) recordSuccess() {
	t.failureRate *= 1 - failureWeight
	t.ejection, t.ejectedUntil, t.probing = 0, time.Time{}, false
}

// recordFailure counts a failure and, if the failure rate is at least minRate, ejects
// the target for some time.
func (t *target) recordFailure(now time.Time, minRate float64) {
	t.failureRate += failureWeight * (1 - t.failureRate)
	t.probing = false
	t.ownFreedAt = time.Time{}
	if t.failureRate >= minRate {
		t.ejection = min(max(2*t.ejection, minEjection), maxEjection)
		t.ejectedUntil = now.Add(t.ejection)
	}
}
