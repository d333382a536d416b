// Package poison detects poison requests: requests that crash every target that runs
// them.
//
// A poison request, also called a query of death, is repeated by its caller and crashes
// each target that starts it. Or it is one of many that differ but share a part of their
// prompts that does so. Limits per target, pool or team do not catch it, because each
// attempt is a new request on another target. Unless crashes are remembered per request and
// per part, it takes down a whole pool with all other requests running there.
//
// A crashing target also breaks the healthy requests on it, so running there is no proof.
// A cause, which is a request or a part, is to blame if it was running at crash after crash,
// in runs one after the other, more often than by chance and than anything else there, and
// if no target ever completed a request with it.
//
// Causes that were never seen apart cannot be told apart. They are held together: requests
// with all of them are refused, and one with only some of them is served. What is answered in
// such a request leaves the set.
package poison

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/digest"
)

const (
	// suspectCrashes is how many consecutive crashes make a cause a suspect.
	suspectCrashes = 2
	// maxChance is the highest probability, for a healthy cause, of meeting as many
	// crashes at which a cause is still held. With it, one in some tens of thousands of
	// healthy requests that meet as many crashes is held by mistake.
	maxChance = 1e-5
	// suspicionTime is how long a cause stays a suspect before it is announced again: the
	// daemons forget suspects.
	suspicionTime = 5 * time.Minute
	// extraCrashes is how many crashes beyond Config.MinCrashes make extraCrashesChance
	// sufficient: a request that runs for long before it crashes its target also meets
	// more crashes by chance.
	extraCrashes       = 2
	extraCrashesChance = 1e-3
	// repeatChance applies to causes that were held before.
	repeatChance = 0.05
	// warmUp is for how long after its first report a detector that is not warm holds nothing.
	warmUp = 2 * time.Second
	// burstConfirmations is how many confirmation periods pass before a cause is held whose
	// targets all crashed at once.
	burstConfirmations = 3
	// clockSkew is the largest expected difference between the clocks of two daemons.
	clockSkew = 25 * time.Millisecond
	// retention is how long a crash counts against the requests that ran on the target,
	// holdRetention how long a hold is remembered after its end.
	retention     = 30 * time.Minute
	holdRetention = 24 * time.Hour
	// maxCauses and maxCrashedTargets bound the memory used: many times what runs in one
	// failure domain.
	maxCauses, maxCrashedTargets, maxHolds = 8192, 4096, 1024
	pruneInterval                          = time.Minute
	// maxDoublings limits a hold to 16 times Config.HoldTime.
	maxDoublings = 4
)

// Detector collects crash reports from daemons. It is not safe for concurrent use.
type Detector struct {
	cfg    Config
	causes map[digest.Digest]*cause
	// holds is keyed by the digest of the set, holdsOf by each member.
	holds   map[digest.Digest]*hold
	holdsOf map[digest.Digest][]*hold
	// lastHold is the number of the last hold. withdrawn contains the sets whose hold was withdrawn.
	lastHold  int
	withdrawn map[digest.Digest]bool
	// crashedTargets is keyed by target, whatever requests ran there.
	crashedTargets map[string]*crashedTarget
	// lastPruned is when old data was last removed.
	lastPruned time.Time
	// warm is set by SetWarm, firstReport is the time of the first crash report.
	warm        bool
	firstReport time.Time
}

// New returns a detector without reports.
func New(cfg Config) *Detector {
	return &Detector{
		cfg: cfg, causes: map[digest.Digest]*cause{}, holds: map[digest.Digest]*hold{}, holdsOf: map[digest.Digest][]*hold{},
		withdrawn: map[digest.Digest]bool{}, crashedTargets: map[string]*crashedTarget{},
	}
}

// SetWarm tells the detector that the daemons have answered enough requests to know what many of
// them share. Before that, a part that many requests share looks like one that crashes targets when
// many are lost: bursts of crashes prove nothing, and nothing is held until warmUp has passed.
func (det *Detector) SetWarm() { det.warm = true }

// isCold reports whether the daemons may not have had the time yet to answer what is sound.
func (det *Detector) isCold(now time.Time, confirmation time.Duration) bool {
	return !det.warm && now.Sub(det.firstReport) < warmUp+confirmation
}

// RecordCrash adds a crash report. The same crash may be reported repeatedly.
func (det *Detector) RecordCrash(now time.Time, c Crash) {
	t := det.crashedTargets[c.Target]
	if t == nil {
		t = &crashedTarget{pool: c.Pool}
		det.crashedTargets[c.Target] = t
	}
	t.crashedAt = c.Ended
	if det.firstReport.IsZero() {
		det.firstReport = now
	}
	if slices.ContainsFunc(t.runs, func(r run) bool { return r.request == c.Causes[0] }) {
		return
	}
	t.runs = append(t.runs, run{request: c.Causes[0], causes: slices.Clone(c.Causes)})
	if det.isHeld(now, c.Causes) {
		det.explain(c.Target, t) // sent before the hold took effect
	}
	if t.explained {
		return
	}
	for i, d := range c.Causes {
		r := det.cause(now, d, c.Pool)
		r.poolSize, r.isRequest = c.PoolSize, r.isRequest || i == 0
		r.add(targetCrash{target: c.Target, started: c.Started, ended: c.Ended})
	}
	if now.Sub(det.lastPruned) > pruneInterval || len(det.causes) > maxCauses || len(det.crashedTargets) > maxCrashedTargets {
		det.lastPruned = now
		det.prune(now)
	}
}

// cause returns the record of a cause, which is created if there is none.
func (det *Detector) cause(now time.Time, d digest.Digest, pool string) *cause {
	r := det.causes[d]
	if r == nil {
		r = &cause{pool: pool}
		det.causes[d] = r
	}
	r.lastReport = now
	return r
}

// explain takes the crash of a target out of what counts against the causes that ran there: a
// held request crashed it.
func (det *Detector) explain(name string, t *crashedTarget) {
	t.explained = true
	for _, ran := range t.runs {
		for _, d := range ran.causes {
			if r := det.causes[d]; r != nil && r.remove(name) {
				r.explained++
			}
		}
	}
}

// RetractCrash removes the crash of a target that has answered since.
func (det *Detector) RetractCrash(target string) {
	t := det.crashedTargets[target]
	if t == nil {
		return
	}
	delete(det.crashedTargets, target)
	for _, ran := range t.runs {
		for _, d := range ran.causes {
			r := det.causes[d]
			if r == nil {
				continue
			}
			r.remove(target)
			if r.total() == 0 && r.suspectSince.IsZero() {
				delete(det.causes, d)
			}
		}
	}
}

// RecordSuccess notes that a request with the cause was completed, which clears the cause. It
// returns what changes for daemons.
func (det *Detector) RecordSuccess(d digest.Digest) []Verdict {
	var out []Verdict
	if r := det.causes[d]; r != nil {
		if !r.suspectSince.IsZero() {
			out = append(out, Verdict{Digest: d, Pool: r.pool, State: Cleared, Crashes: r.total()})
		}
		det.forget(d, r)
	}
	for _, h := range slices.Clone(det.holdsOf[d]) {
		out = append(out, det.withoutMember(h.digest(), h, d)...)
	}
	return out
}

// forget removes a cause from all that counts against it or beside it.
func (det *Detector) forget(d digest.Digest, r *cause) {
	delete(det.causes, d)
	for _, c := range r.crashes {
		t := det.crashedTargets[c.target]
		if t == nil {
			continue
		}
		for i := range t.runs {
			t.runs[i].causes = slices.DeleteFunc(t.runs[i].causes, func(o digest.Digest) bool { return o == d })
		}
	}
}

// ApplyVerdict applies a verdict of another daemon.
func (det *Detector) ApplyVerdict(now time.Time, v Verdict) {
	switch v.State {
	case Cleared:
		det.removeHold(v.Digest)
		if r := det.causes[v.Digest]; r != nil {
			det.forget(v.Digest, r)
		}
	case Suspect:
		if r := det.cause(now, v.Digest, v.Pool); r.suspectSince.IsZero() {
			r.suspectSince = now
		}
	case Held:
		members := v.Members
		if len(members) == 0 {
			members = []digest.Digest{v.Digest}
		}
		det.addHold(&hold{members: members, pool: v.Pool, kind: v.Kind, until: v.Until, count: max(v.Holds, 1), crashes: v.Crashes})
	}
}

// candidate is a cause that is to blame for crashes.
type candidate struct {
	digest  digest.Digest
	cause   *cause
	crashes int
}

// Evaluate appends new verdicts to out. A cause stays a suspect for the confirmation
// period before it is held: all daemons learn of suspects and report if a request with one of
// them was completed. Evaluate must be called again later while pending is true.
func (det *Detector) Evaluate(now time.Time, confirmation time.Duration, out []Verdict) (verdicts []Verdict, pending bool) {
	var candidates []candidate
	for d, r := range det.causes {
		if !det.isSuspect(d, r) {
			continue
		}
		if now.Sub(r.suspectSince) > suspicionTime {
			r.suspectSince = now
			out = append(out, Verdict{Digest: d, Pool: r.pool, State: Suspect, Crashes: len(r.crashes)})
		}
		confirmations, ok := det.isPoison(d, r)
		if !ok {
			continue
		}
		if det.isCold(now, confirmation) || now.Sub(r.suspectSince) < time.Duration(confirmations)*confirmation {
			pending = true
			continue
		}
		candidates = append(candidates, candidate{digest: d, cause: r, crashes: len(r.crashes)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.crashes, a.crashes), cmp.Compare(a.digest, b.digest))
	})
	for _, c := range candidates {
		if len(c.cause.crashes) > 0 { // no other one explains them meanwhile
			out = append(out, det.holdCause(now, c))
		}
	}
	return append(out, det.withdrawExplained(now)...), pending
}

// isSuspect reports whether enough targets crashed under a cause to ask whether it was answered.
func (det *Detector) isSuspect(d digest.Digest, r *cause) bool {
	if len(r.crashes) == 0 {
		return false
	}
	return len(r.crashes) >= det.cfg.MinCrashes+extraCrashes || len(consecutive(r.crashes)) >= det.suspectThreshold(d, r)
}

// suspectThreshold is the number of consecutive crashes that make the cause a suspect. A
// single one is enough for requests that were held before.
func (det *Detector) suspectThreshold(d digest.Digest, r *cause) int {
	if slices.ContainsFunc(r.crashes, func(c targetCrash) bool { return det.heldBefore(d, det.crashedTargets[c.target]) }) {
		return 1
	}
	return min(suspectCrashes, det.cfg.MinCrashes)
}

// prune removes old data, and what is beyond the limits, oldest first.
func (det *Detector) prune(now time.Time) {
	for d, r := range det.causes {
		if now.Sub(r.lastReport) > retention {
			delete(det.causes, d)
		}
	}
	for name, t := range det.crashedTargets {
		if now.Sub(t.crashedAt) > retention {
			delete(det.crashedTargets, name)
		}
	}
	for d, h := range det.holds {
		if now.Sub(h.until) > holdRetention {
			det.removeHold(d)
		}
	}
	for _, d := range oldest(det.causes, maxCauses, func(r *cause) time.Time { return r.lastReport }) {
		delete(det.causes, d)
	}
	for _, name := range oldest(det.crashedTargets, maxCrashedTargets, func(t *crashedTarget) time.Time { return t.crashedAt }) {
		delete(det.crashedTargets, name)
	}
	if len(det.withdrawn) > maxHolds {
		clear(det.withdrawn)
	}
	for _, d := range oldest(det.holds, maxHolds, func(h *hold) time.Time { return h.until }) {
		det.removeHold(d)
	}
}

// oldest returns which entries to remove from a map that is larger than limit. Seven eighths of the
// limit stay, so that the map is not sorted again with each entry.
func oldest[K comparable, V any](m map[K]V, limit int, at func(V) time.Time) []K {
	if len(m) <= limit {
		return nil
	}
	keys := slices.Collect(maps.Keys(m))
	slices.SortFunc(keys, func(a, b K) int { return at(m[a]).Compare(at(m[b])) })
	return keys[:len(keys)-limit*7/8]
}
