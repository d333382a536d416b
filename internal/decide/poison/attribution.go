package poison

import (
	"math"
	"slices"
	"time"
)

// request tracks a request that was running on targets when they crashed.
type request struct {
	pool string
	// poolSize is the number of targets in the pool.
	poolSize int
	// crashes holds at most one crash per target, ordered by end time, since the last
	// hold. pastCrashes holds earlier ones and those reported during a hold.
	crashes, pastCrashes []Crash
	// suspectSince is when the request became a suspect, zero if it is not one.
	suspectSince time.Time
	// heldUntil is when the request may run again; holds counts how often it was held.
	heldUntil  time.Time
	holds      int
	lastReport time.Time
}

// hold refuses the request until the given time and restarts the count of its crashes.
func (r *request) hold(until time.Time, holds int) {
	r.heldUntil, r.holds = until, holds
	r.pastCrashes = append(r.pastCrashes, r.crashes...)
	r.pastCrashes = r.pastCrashes[max(0, len(r.pastCrashes)-maxPastCrashes):]
	r.crashes = nil
	r.suspectSince = time.Time{}
}

// attributed returns the crashes that no other request explains at least as well. A crash
// is explained by another request on the same target that is held or has as many crashes.
// A request that is retried together with a poison request keeps meeting it; of two
// requests that always ran together, neither gets a crash attributed until one of them
// crashes a target alone.
func (det *Detector) attributed(r *request) []Crash {
	var out []Crash
	for _, c := range r.crashes {
		if !det.explainedByOther(r, c.Target) {
			out = append(out, c)
		}
	}
	return out
}

func (det *Detector) explainedByOther(r *request, target string) bool {
	t := det.crashedTargets[target]
	if t == nil {
		return false
	}
	for _, d := range t.requests {
		if other := det.requests[d]; other != nil && other != r && other.atLeastAsSuspect(r) {
			return true
		}
	}
	return false
}

// atLeastAsSuspect reports whether r is as likely as other to have crashed a target on
// which both ran. A request that was held before is always the more likely one.
func (r *request) atLeastAsSuspect(other *request) bool {
	if r.holds > 0 || other.holds > 0 {
		return r.holds > 0
	}
	return len(r.crashes) >= len(other.crashes)
}

// crashed reports whether the target already counts as crashed under the request.
func (r *request) crashed(target string) bool {
	onTarget := func(c Crash) bool { return c.Target == target }
	return slices.ContainsFunc(r.crashes, onTarget) || slices.ContainsFunc(r.pastCrashes, onTarget)
}

// consecutive returns the crashes whose run started after the previous crash in the
// result. A request sent by many callers at once runs on many targets in parallel; when a
// failure domain is lost, all these runs end together and are no more evidence than a
// single crash.
func consecutive(crashes []Crash) []Crash {
	var out []Crash
	for _, c := range crashes {
		if len(out) == 0 || c.Started.After(out[len(out)-1].Ended.Add(-clockSkew)) {
			out = append(out, c)
		}
	}
	return out
}

// isPoison reports whether enough targets crashed under the request, and more than is
// plausible by chance.
func (det *Detector) isPoison(r *request) bool {
	attributed := det.attributed(r)
	if len(attributed) == 0 {
		return false
	}
	sequence := len(consecutive(attributed))
	limit := maxChance
	switch {
	case r.holds > 0:
		limit = repeatChance
	case sequence < det.cfg.MinCrashes:
		return false
	case sequence >= det.cfg.MinCrashes+extraCrashes:
		limit = extraCrashesChance
	}
	return poissonTail(len(attributed), det.expectedCrashes(r, attributed)) <= limit
}

// expectedCrashes is the number of crashes that the runs would have met if the pool's
// targets crashed at random, at the rate of the worst second during that time.
func (det *Detector) expectedCrashes(r *request, crashes []Crash) float64 {
	running := time.Duration(0)
	for _, c := range crashes {
		running += max(c.Ended.Sub(c.Started), 0)
	}
	from, to := crashes[0].Started, crashes[len(crashes)-1].Ended.Add(clockSkew)
	return running.Seconds() * float64(det.peakCrashes(r.pool, from, to)) / float64(max(r.poolSize, 1))
}

// peakCrashes is the largest number of the pool's targets that crashed within one second
// between from and to.
func (det *Detector) peakCrashes(pool string, from, to time.Time) int {
	var times []time.Time
	for _, t := range det.crashedTargets {
		if t.pool == pool && !t.crashedAt.Before(from) && !t.crashedAt.After(to) {
			times = append(times, t.crashedAt)
		}
	}
	slices.SortFunc(times, time.Time.Compare)
	peak, first := 0, 0
	for i, at := range times {
		for at.Sub(times[first]) >= time.Second {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// poissonTail is the probability of n or more events under a Poisson distribution with the
// given mean.
func poissonTail(n int, expected float64) float64 {
	term := math.Exp(-expected)
	for i := 1; i <= n; i++ {
		term *= expected / float64(i)
	}
	// Sums the tail directly: 1 minus the sum of the other terms would lose it to
	// rounding.
	sum := 0.0
	for i := n; term > sum*1e-9; i++ {
		sum += term
		term *= expected / float64(i+1)
	}
	return sum
}
