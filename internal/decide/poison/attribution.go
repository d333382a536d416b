package poison

import (
	"math"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/digest"
)

// inseparable returns the cause and those that every run with it also had.
func (det *Detector) inseparable(d digest.Digest, r *cause) []digest.Digest {
	var common []digest.Digest
	keep := func(causes []digest.Digest) {
		if common == nil {
			common = slices.Clone(causes)
			return
		}
		common = slices.DeleteFunc(common, func(o digest.Digest) bool { return !slices.Contains(causes, o) })
	}
	for _, c := range r.crashes {
		t := det.crashedTargets[c.target]
		if t == nil {
			continue
		}
		for _, ran := range t.runs {
			if ran.has(d) {
				keep(ran.causes)
			}
		}
	}
	for _, h := range det.holdsOf[d] {
		keep(h.members) // what earlier runs had in common
	}
	if common == nil {
		return []digest.Digest{d}
	}
	return common
}

// attributed returns the crashes of a cause that nothing else explains at least as well. Causes
// that were never seen without it are no other explanation.
func (det *Detector) attributed(d digest.Digest, r *cause) []targetCrash {
	var out []targetCrash
	inseparable := det.inseparable(d, r)
	for _, c := range r.crashes {
		t := det.crashedTargets[c.target]
		if t == nil || !det.explainedByOther(d, r, t, inseparable) {
			out = append(out, c)
		}
	}
	return out
}

// explainedByOther reports whether another cause explains the crash of a target at least as well.
// A request that is retried together with a poison request keeps meeting it; of two requests that
// always ran together, neither gets a crash attributed until one of them crashes a target alone.
func (det *Detector) explainedByOther(d digest.Digest, r *cause, t *crashedTarget, inseparable []digest.Digest) bool {
	repeated := det.heldBefore(d, t)
	for _, ran := range t.runs {
		sameRun := ran.has(d)
		for _, o := range ran.causes {
			other := det.causes[o]
			if other == nil || slices.Contains(inseparable, o) {
				continue
			}
			switch {
			case det.heldBefore(o, t):
				return true
			case repeated:
			case sameRun && other.total() >= r.total(), !sameRun && len(other.crashes) >= len(r.crashes):
				return true
			}
		}
	}
	return false
}

// heldBefore reports whether a request that was held for the cause ran on the target.
func (det *Detector) heldBefore(d digest.Digest, t *crashedTarget) bool {
	if t == nil {
		return false
	}
	for _, h := range det.holdsOf[d] {
		if slices.ContainsFunc(t.runs, func(ran run) bool { return ran.hasAll(h.members) }) {
			return true
		}
	}
	return false
}

// consecutive returns the crashes whose run started after the previous crash in the
// result. A request sent by many callers at once runs on many targets in parallel; when a
// failure domain is lost, all these runs end together and are no more evidence than a
// single crash, also those that had hardly started.
func consecutive(crashes []targetCrash) []targetCrash {
	var out []targetCrash
	for _, c := range crashes {
		if len(out) == 0 || c.follows(out[len(out)-1]) {
			out = append(out, c)
		}
	}
	return out
}

// evidence is what speaks against a cause.
type evidence struct {
	// maxChance is the probability up to which the crashes are held to be no chance.
	maxChance float64
	// confirmations is how many confirmation periods must pass.
	confirmations int
}

// isPoison reports whether enough targets crashed under the cause, and more than is
// plausible by chance, and how many confirmation periods must pass before it is held.
func (det *Detector) isPoison(d digest.Digest, r *cause) (confirmations int, ok bool) {
	attributed := det.attributed(d, r)
	if len(attributed) == 0 {
		return 0, false
	}
	e, ok := det.weigh(d, r, attributed)
	return e.confirmations, ok && poissonTail(len(attributed), det.expectedCrashes(r, attributed)) <= e.maxChance
}

// weigh returns what the crashes prove. It reports false if they are too few.
func (det *Detector) weigh(d digest.Digest, r *cause, attributed []targetCrash) (evidence, bool) {
	sequence, enough := len(consecutive(attributed)), det.cfg.MinCrashes+extraCrashes
	repeated := sequence >= det.suspectThreshold(d, r) && len(det.holdsOf[d]) > 0
	if !repeated && !det.crashedAlone(d, r, attributed) {
		return evidence{}, false
	}
	burst := len(attributed) >= enough && det.warm
	switch {
	case repeated:
		return evidence{repeatChance, 1}, true
	case sequence >= enough:
		return evidence{extraCrashesChance, 1}, true
	case sequence >= det.cfg.MinCrashes, burst && sequence >= suspectCrashes:
		return evidence{maxChance, 1}, true
	case burst:
		return evidence{maxChance, burstConfirmations}, true
	}
	return evidence{}, false
}

// crashedAlone reports whether a target crashed on which no comparable suspect ran, one with more than
// half as many crashes. Several causes that crash targets at the same time together explain the crashes
// of a request that is often retried, although none of them explains all.
func (det *Detector) crashedAlone(d digest.Digest, r *cause, crashes []targetCrash) bool {
	inseparable := det.inseparable(d, r)
	isComparable := func(o digest.Digest) bool {
		other := det.causes[o]
		return other != nil && !other.suspectSince.IsZero() && 2*len(other.crashes) > len(r.crashes) && !slices.Contains(inseparable, o)
	}
	return slices.ContainsFunc(crashes, func(c targetCrash) bool {
		t := det.crashedTargets[c.target]
		return t != nil && !slices.ContainsFunc(t.runs, func(ran run) bool { return slices.ContainsFunc(ran.causes, isComparable) })
	})
}

// expectedCrashes is the number of crashes that the runs would have met if the pool's
// targets crashed at random, at the rate of the worst second of the others during that time.
func (det *Detector) expectedCrashes(r *cause, crashes []targetCrash) float64 {
	running := time.Duration(0)
	for _, c := range crashes {
		running += max(c.ended.Sub(c.started), 0)
	}
	return running.Seconds() * float64(max(det.peakOfOthers(r.pool, crashes), 1)) / float64(max(r.poolSize, 1))
}

// peakOfOthers is the largest number of the pool's other targets that crashed within one second
// during the crashes.
func (det *Detector) peakOfOthers(pool string, crashes []targetCrash) int {
	from, to := crashes[0].started, crashes[len(crashes)-1].ended.Add(clockSkew)
	own := map[string]bool{}
	for _, c := range crashes {
		own[c.target] = true
	}
	var times []time.Time
	for name, t := range det.crashedTargets {
		if t.pool == pool && !own[name] && !t.crashedAt.Before(from) && !t.crashedAt.After(to) {
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
