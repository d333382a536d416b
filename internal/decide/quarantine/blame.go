package quarantine

import (
	"math"
	"slices"
	"time"
)

// request is a request under which targets ended.
type request struct {
	pool string
	// poolSize is the number of targets of the pool.
	poolSize int
	// crashes are ordered by their ends, one for each target. past are those for which it
	// was held.
	crashes, pastCrashes []Crash
	// suspectSince is since when it is a suspect, zero if it is none.
	suspectSince time.Time
	// heldUntil is when it may run again; times is how often it was held.
	heldUntil  time.Time
	holds      int
	lastReport time.Time
}

// hold has the work refused. What it is blamed for begins anew after that.
func (w *request) hold(until time.Time, times int) {
	w.heldUntil, w.holds = until, times
	w.pastCrashes = append(w.pastCrashes, w.crashes...)
	w.pastCrashes = w.pastCrashes[max(0, len(w.pastCrashes)-maxPastCrashes):]
	w.crashes = nil
	w.suspectSince = time.Time{}
}

// attributed are the losses that nothing explains better than the work: another request that
// is held, or under which as many targets have ended, was on the target too. Work that is
// sent again together with a deadly request meets it again and again; of two that were
// always together neither is blamed until one of them ends a target by itself.
func (l *Detector) attributed(w *request) []Crash {
	var out []Crash
	for _, o := range w.crashes {
		if !l.explainedByOther(w, o.Target) {
			out = append(out, o)
		}
	}
	return out
}

func (l *Detector) explainedByOther(w *request, target string) bool {
	o := l.crashedTargets[target]
	if o == nil {
		return false
	}
	for _, d := range o.requests {
		if rival := l.requests[d]; rival != nil && rival != w && rival.atLeastAsSuspect(w) {
			return true
		}
	}
	return false
}

// atLeastAsSuspect is true for work that is as likely as the other to have ended a target where
// both ran. What was held before goes first.
func (w *request) atLeastAsSuspect(than *request) bool {
	if w.holds > 0 || than.holds > 0 {
		return w.holds > 0
	}
	return len(w.crashes) >= len(than.crashes)
}

// crashed is true if the target ended under the work.
func (w *request) crashed(target string) bool {
	is := func(o Crash) bool { return o.Target == target }
	return slices.ContainsFunc(w.crashes, is) || slices.ContainsFunc(w.pastCrashes, is)
}

// consecutive is the runs that began after the one before had ended. Work that many callers
// send at once runs on many targets at a time; if a failure domain is lost, all of these
// end together, which says no more than one of them.
func consecutive(losses []Crash) []Crash {
	var out []Crash
	for _, o := range losses {
		if len(out) == 0 || o.Started.After(out[len(out)-1].Ended.Add(-clockSkew)) {
			out = append(out, o)
		}
	}
	return out
}

// isPoison is true if enough targets have ended under the work, and more than would have by
// chance.
func (l *Detector) isPoison(w *request) bool {
	blamed := l.attributed(w)
	if len(blamed) == 0 {
		return false
	}
	runs := len(consecutive(blamed))
	limit := maxChance
	switch {
	case w.holds > 0:
		limit = repeatChance
	case runs < l.cfg.MinCrashes:
		return false
	case runs >= l.cfg.MinCrashes+extraCrashes:
		limit = extraCrashesChance
	}
	return poissonTail(len(blamed), l.expectedCrashes(w, blamed)) <= limit
}

// expectedCrashes is how many ends of targets the runs of the work would have met if targets of
// the pool end at random, as often as in the worst second meanwhile.
func (l *Detector) expectedCrashes(w *request, losses []Crash) float64 {
	running := time.Duration(0)
	for _, o := range losses {
		running += max(o.Ended.Sub(o.Started), 0)
	}
	from, to := losses[0].Started, losses[len(losses)-1].Ended.Add(clockSkew)
	return running.Seconds() * float64(l.peakCrashes(w.pool, from, to)) / float64(max(w.poolSize, 1))
}

// peakCrashes is the most targets of the pool that ended in one second of a time.
func (l *Detector) peakCrashes(pool string, from, to time.Time) int {
	var ends []time.Time
	for _, o := range l.crashedTargets {
		if o.pool == pool && !o.crashedAt.Before(from) && !o.crashedAt.After(to) {
			ends = append(ends, o.crashedAt)
		}
	}
	slices.SortFunc(ends, time.Time.Compare)
	most, first := 0, 0
	for i, at := range ends {
		for at.Sub(ends[first]) >= time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// poissonTail is the probability of n events or more where so many are expected (Poisson).
func poissonTail(n int, expected float64) float64 {
	term := math.Exp(-expected)
	for i := 1; i <= n; i++ {
		term *= expected / float64(i)
	}
	// The sum of the tail: 1 less the others would lose it to rounding.
	sum := 0.0
	for i := n; term > sum*1e-9; i++ {
		sum += term
		term *= expected / float64(i+1)
	}
	return sum
}
