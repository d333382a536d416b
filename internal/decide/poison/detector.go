// Package poison detects poison requests: requests that crash every target that runs
// them.
//
// A poison request, also called a query of death, is repeated by its caller and crashes
// each target that starts it. Limits per target, pool or team do not catch it, because
// each attempt is a new request on another target. Unless crashes are remembered per
// request, it takes down a whole pool with all other requests running there.
//
// A crashing target also breaks the healthy requests on it, so running there is no proof.
// A request is held if it was running at crash after crash, in runs one after the other,
// more often than by chance and than any other request there, and if no target ever
// completed it.
package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/digest"
)

const (
	// suspectCrashes is how many consecutive crashes make a request a suspect.
	suspectCrashes = 2
	// maxChance is the highest probability, for a healthy request, of meeting as many
	// crashes at which a request is still held. With it, one in some tens of thousands of
	// healthy requests that meet as many crashes is held by mistake.
	maxChance = 1e-5
	// extraCrashes is how many crashes beyond Config.MinCrashes make extraCrashesChance
	// sufficient: a request that runs for long before it crashes its target also meets
	// more crashes by chance.
	extraCrashes       = 2
	extraCrashesChance = 1e-3
	// repeatChance applies to requests that were held before.
	repeatChance = 0.05
	// clockSkew is the largest expected difference between the clocks of two daemons.
	clockSkew = 25 * time.Millisecond
	// retention is how long a crash counts against the requests that ran on the target.
	retention = 30 * time.Minute
	// maxRequests and maxCrashedTargets bound the memory used: many times what runs in one
	// failure domain.
	maxRequests, maxCrashedTargets = 4096, 4096
	pruneInterval                  = time.Minute
	maxPastCrashes                 = 64
	// maxDoublings limits a hold to 16 times Config.HoldTime.
	maxDoublings = 4
)

// Config sets when a request is held, and for how long.
type Config struct {
	// MinCrashes is how many targets, at least 2, must crash under a request in
	// consecutive runs.
	MinCrashes int
	// HoldTime is the length of the first hold; each further hold is twice as long.
	HoldTime time.Duration
}

// Crash reports that a target crashed while it ran a request.
type Crash struct {
	Digest digest.Digest
	Pool   string
	// Target identifies one incarnation of the target; PoolSize is the number of targets
	// in its pool.
	Target   string
	PoolSize int
	// Started is when the request was sent, Ended when the connection broke.
	Started, Ended time.Time
}

// State is the state of a request in the quarantine.
type State string

// The states of a request.
const (
	// Suspect is a request that may crash targets; it is still served normally.
	Suspect State = "suspect"
	// Held is a request that is refused.
	Held State = "held"
	// Cleared is a request that was suspect or held and has turned out to be healthy.
	Cleared State = "free"
)

// Verdict is a change of a request's state.
type Verdict struct {
	Digest digest.Digest
	Pool   string
	State  State
	// Until is when a held request may run again.
	Until time.Time
	// Crashes is how many targets crashed under the request, Holds how often it was held.
	Crashes, Holds int
}

// crashedTarget is a target incarnation that crashed.
type crashedTarget struct {
	pool      string
	crashedAt time.Time
	// requests are the requests that ran there.
	requests []digest.Digest
}

// Detector collects crash reports from daemons. It is not safe for concurrent use.
type Detector struct {
	cfg      Config
	requests map[digest.Digest]*request
	// crashedTargets is keyed by target, whatever requests ran there.
	crashedTargets map[string]*crashedTarget
	// lastPruned is when old data was last removed.
	lastPruned time.Time
}

// New returns a detector without reports.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, requests: map[digest.Digest]*request{}, crashedTargets: map[string]*crashedTarget{}}
}

// RecordCrash adds a crash report. The same crash may be reported repeatedly.
func (det *Detector) RecordCrash(now time.Time, c Crash) {
	det.recordTarget(c)
	r := det.requests[c.Digest]
	if r == nil {
		r = &request{pool: c.Pool}
		det.requests[c.Digest] = r
	}
	r.lastReport = now
	r.poolSize = c.PoolSize
	if r.crashed(c.Target) {
		return
	}
	if now.Before(r.heldUntil) {
		r.pastCrashes = append(r.pastCrashes, c) // sent before the hold took effect
		return
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b Crash) int { return cmp.Compare(a.Ended.UnixNano(), b.Ended.UnixNano()) })
	if now.Sub(det.lastPruned) > pruneInterval || len(det.requests) > maxRequests || len(det.crashedTargets) > maxCrashedTargets {
		det.lastPruned = now
		det.prune(now)
	}
}

// recordTarget notes that the request ran on a target that crashed.
func (det *Detector) recordTarget(c Crash) {
	t := det.crashedTargets[c.Target]
	if t == nil {
		t = &crashedTarget{pool: c.Pool}
		det.crashedTargets[c.Target] = t
	}
	t.crashedAt = c.Ended
	if !slices.Contains(t.requests, c.Digest) {
		t.requests = append(t.requests, c.Digest)
	}
}

// RetractCrash removes the crash of a target that has answered since.
func (det *Detector) RetractCrash(target string) {
	delete(det.crashedTargets, target)
	for d, r := range det.requests {
		onTarget := func(c Crash) bool { return c.Target == target }
		r.crashes, r.pastCrashes = slices.DeleteFunc(r.crashes, onTarget), slices.DeleteFunc(r.pastCrashes, onTarget)
		if len(r.crashes) == 0 && r.holds == 0 && r.suspectSince.IsZero() {
			delete(det.requests, d)
		}
	}
}

// RecordSuccess notes that a request was completed, which clears it. It reports whether
// this changes the state that daemons were told.
func (det *Detector) RecordSuccess(now time.Time, d digest.Digest) (Verdict, bool) {
	r := det.requests[d]
	if r == nil {
		return Verdict{}, false
	}
	delete(det.requests, d)
	known := !r.suspectSince.IsZero() || now.Before(r.heldUntil)
	return Verdict{Digest: d, Pool: r.pool, State: Cleared, Crashes: len(r.crashes), Holds: r.holds}, known
}

// ApplyVerdict applies a verdict of another daemon.
func (det *Detector) ApplyVerdict(now time.Time, v Verdict) {
	if v.State == Cleared {
		delete(det.requests, v.Digest)
		return
	}
	r := det.requests[v.Digest]
	if r == nil {
		r = &request{pool: v.Pool}
		det.requests[v.Digest] = r
	}
	r.lastReport = now
	if r.suspectSince.IsZero() {
		r.suspectSince = now
	}
	if v.State == Held {
		r.hold(v.Until, max(v.Holds, 1))
	}
}

// Evaluate appends new verdicts to out. A request stays a suspect for the confirmation
// period before it is held: all daemons learn of suspects and report if one of them was
// completed. Evaluate must be called again later while pending is true.
func (det *Detector) Evaluate(now time.Time, confirmation time.Duration, out []Verdict) (verdicts []Verdict, pending bool) {
	for d, r := range det.requests {
		threshold := det.suspectThreshold(r)
		if len(r.crashes) < threshold || now.Before(r.heldUntil) || len(consecutive(r.crashes)) < threshold {
			continue
		}
		if r.suspectSince.IsZero() {
			r.suspectSince = now
			out = append(out, Verdict{Digest: d, Pool: r.pool, State: Suspect, Crashes: len(r.crashes), Holds: r.holds})
		}
		if !det.isPoison(r) {
			continue
		}
		if now.Sub(r.suspectSince) < confirmation {
			pending = true
			continue
		}
		crashes := len(r.crashes)
		r.hold(now.Add(det.cfg.HoldTime<<min(r.holds, maxDoublings)), r.holds+1)
		out = append(out, Verdict{Digest: d, Pool: r.pool, State: Held, Until: r.heldUntil, Crashes: crashes, Holds: r.holds})
	}
	return out, pending
}

// suspectThreshold is the number of consecutive crashes that make the request a suspect. A
// single one is enough for a request that was held before.
func (det *Detector) suspectThreshold(r *request) int {
	if r.holds > 0 {
		return 1
	}
	return min(suspectCrashes, det.cfg.MinCrashes)
}

// prune removes old data, requests beyond maxRequests oldest first, and crashed targets
// beyond maxCrashedTargets in no particular order.
func (det *Detector) prune(now time.Time) {
	for d, r := range det.requests {
		if now.Sub(r.lastReport) > retention && now.After(r.heldUntil) {
			delete(det.requests, d)
		}
	}
	for len(det.requests) > maxRequests {
		var oldest digest.Digest
		for d, r := range det.requests {
			if t := det.requests[oldest]; t == nil || r.lastReport.Before(t.lastReport) {
				oldest = d
			}
		}
		delete(det.requests, oldest)
	}
	for name, t := range det.crashedTargets {
		if now.Sub(t.crashedAt) > retention || len(det.crashedTargets) > maxCrashedTargets {
			delete(det.crashedTargets, name)
		}
	}
}
