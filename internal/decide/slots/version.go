package slots

import (
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// hasVersion reports whether the request may go to the target as far as versions go.
func hasVersion(t *target, w *fireflypath.Work) bool {
	return w.Version == "" || t.Version == w.Version
}

// mayRun reports whether the request may go to the target at all, now or later.
func mayRun(t *target, w *fireflypath.Work) bool {
	return hasVersion(t, w) && !t.isLeaving() && !slices.Contains(w.Avoid, t.Name)
}

// targetsFor returns the targets that the request may be sent to if they accept it. Work that needs a
// version goes to targets of other groups of daemons if this group has none: it could run nowhere.
func (s *Scheduler) targetsFor(w *fireflypath.Work) []*target {
	if w.Version == "" || slices.ContainsFunc(s.shared, func(t *target) bool { return !t.unassigned && mayRun(t, w) }) {
		return s.shared
	}
	return s.ordered
}

// noTargetLeft reports whether no target may ever run the request: it was sent to all that are in
// service, or none of its version is. It would wait to its deadline for nothing.
func (s *Scheduler) noTargetLeft(w *fireflypath.Work) bool {
	if len(w.Avoid) == 0 && w.Version == "" {
		return false
	}
	return !slices.ContainsFunc(s.targetsFor(w), func(t *target) bool { return mayRun(t, w) })
}

// versionLost reports whether the last target of the version that the waiting request needs has gone.
func (s *Scheduler) versionLost(w *fireflypath.Work) bool {
	return w.Version != "" && s.noTargetLeft(w)
}

// findNeededVersions lists the versions that waiting work needs.
func (s *Scheduler) findNeededVersions() {
	s.neededVersions = s.neededVersions[:0]
	for _, w := range s.waiting {
		if w.Version != "" && !slices.Contains(s.neededVersions, w.Version) {
			s.neededVersions = append(s.neededVersions, w.Version)
		}
	}
}

// isNeeded reports whether other waiting work can go to targets of this version only, while the request
// can go elsewhere.
func (s *Scheduler) isNeeded(t *target, w *fireflypath.Work) bool {
	return w.Version == "" && slices.Contains(s.neededVersions, t.Version)
}

// fastestFor returns the fastest known target that may run the request, or nil.
func (s *Scheduler) fastestFor(w *fireflypath.Work) *target {
	if s.fastest == nil || hasVersion(s.fastest, w) {
		return s.fastest
	}
	var fastest *target
	for _, t := range s.targetsFor(w) {
		if mayRun(t, w) && t.speedKnown() && (fastest == nil || t.speed.PrefillRate() > fastest.speed.PrefillRate()) {
			fastest = t
		}
	}
	return fastest
}

// slotsFraction returns the fraction of all slots that the request may use.
func (s *Scheduler) slotsFraction(w *fireflypath.Work) float64 {
	if w.Version == "" {
		return 1
	}
	all, usable := 0, 0
	for _, t := range s.shared {
		all += t.slots()
		if hasVersion(t, w) {
			usable += t.slots()
		}
	}
	if all == 0 || usable == 0 {
		return 1
	}
	return float64(usable) / float64(all)
}

// versionWait returns how long the request waits at least for the slots of its version, if completions
// come at the given rate in all.
func (s *Scheduler) versionWait(now time.Time, w *fireflypath.Work, rate float64) time.Duration {
	if w.Version == "" {
		return 0
	}
	ahead := 1 + s.countAhead(now, w, w.Version)
	return time.Duration(float64(ahead) / (rate * s.slotsFraction(w)) * float64(time.Second))
}
