// Package quarantine decides which requests end the targets that run them.
//
// It answers one request that comes again and again and ends each target that begins
// to run it: a query of death, or poison request. Limits by target, pool or team do not
// see it, as each time it is a new request at another target, and without a memory of
// its own it takes down a pool with the work of all other callers there.
//
// Each target that ends breaks healthy work too, so that having been there is no proof.
// What counts is to have been there again and again, one run after the other, more often
// than by chance and than anything else that ran there, and never to have been answered
// whole by any target.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/digest"
)

const (
	// suspectCrashes is how many runs in a row have to end targets for a suspect.
	suspectCrashes = 2
	// maxChance is how likely it may be at most that the runs of healthy work have met so
	// many ends of targets. With it one in some tens of thousands that are hit as often
	// is taken for deadly.
	maxChance = 1e-5
	// extraCrashes is how many runs more than the least number make extraCrashesChance enough: work
	// that runs for long before it ends its target meets more by chance, too.
	extraCrashes       = 2
	extraCrashesChance = 1e-3
	// repeatChance is for work that was held before.
	repeatChance = 0.05
	// clockSkew is by how much the times of two daemons may differ.
	clockSkew = 25 * time.Millisecond
	// retention is how long a target's end is held against what ran there.
	retention = 30 * time.Minute
	// maxRequests and maxCrashedTargets bound what is remembered: many times what runs in a failure
	// domain that is lost as a whole.
	maxRequests, maxCrashedTargets = 4096, 4096
	pruneInterval                  = time.Minute
	maxPastCrashes                 = 64
	// maxDoublings bounds how long a request is refused: sixteen times the first time.
	maxDoublings = 4
)

// Config sets when a request is refused, and for how long.
type Config struct {
	// MinCrashes is how many targets have to end under a request, one after the other; at
	// least 2.
	MinCrashes int
	// HoldTime is how long it is refused then; twice as long each time after.
	HoldTime time.Duration
}

// Crash is a target that ended while it ran a request.
type Crash struct {
	Digest digest.Digest
	Pool   string
	// Target names one life of the target, one of so many of its pool.
	Target   string
	PoolSize int
	// Started is when the request was sent there, Ended when the connection broke.
	Started, Ended time.Time
}

// State is what is known of a request.
type State string

// The states of a request.
const (
	// Suspect is a request that may end targets; it is served as any other.
	Suspect State = "suspect"
	// Held is a request that is refused.
	Held State = "held"
	// Cleared is a request that was one of the others and is known to be healthy now.
	Cleared State = "free"
)

// Verdict is a change of a request's state.
type Verdict struct {
	Digest digest.Digest
	Pool   string
	State  State
	// Until is when a request that is held may run again.
	Until time.Time
	// Crashes is how many targets have ended under it, Times how often it was held.
	Crashes, Holds int
}

// crashedTarget is a target that ended.
type crashedTarget struct {
	pool      string
	crashedAt time.Time
	// requests are the requests that ran there.
	requests []digest.Digest
}

// Detector holds what daemons report. It is not safe for concurrent use.
type Detector struct {
	cfg      Config
	requests map[digest.Digest]*request
	// crashedTargets holds the targets that ended, whatever ran there.
	crashedTargets map[string]*crashedTarget
	// lastPruned is when what is old was last forgotten.
	lastPruned time.Time
}

// New returns an empty ledger.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, requests: map[digest.Digest]*request{}, crashedTargets: map[string]*crashedTarget{}}
}

// RecordCrash takes in a target's end. The same one may be told any number of times.
func (l *Detector) RecordCrash(now time.Time, loss Crash) {
	l.recordTarget(loss)
	w := l.requests[loss.Digest]
	if w == nil {
		w = &request{pool: loss.Pool}
		l.requests[loss.Digest] = w
	}
	w.lastReport = now
	w.poolSize = loss.PoolSize
	if w.crashed(loss.Target) {
		return
	}
	if now.Before(w.heldUntil) {
		w.pastCrashes = append(w.pastCrashes, loss) // it was on its way when the work was held
		return
	}
	w.crashes = append(w.crashes, loss)
	slices.SortFunc(w.crashes, func(a, b Crash) int { return cmp.Compare(a.Ended.UnixNano(), b.Ended.UnixNano()) })
	if now.Sub(l.lastPruned) > pruneInterval || len(l.requests) > maxRequests || len(l.crashedTargets) > maxCrashedTargets {
		l.lastPruned = now
		l.prune(now)
	}
}

// recordTarget books what ran on a target that ended.
func (l *Detector) recordTarget(loss Crash) {
	o := l.crashedTargets[loss.Target]
	if o == nil {
		o = &crashedTarget{pool: loss.Pool}
		l.crashedTargets[loss.Target] = o
	}
	o.crashedAt = loss.Ended
	if !slices.Contains(o.requests, loss.Digest) {
		o.requests = append(o.requests, loss.Digest)
	}
}

// RetractCrash takes back that a target has ended: it has answered since.
func (l *Detector) RetractCrash(target string) {
	delete(l.crashedTargets, target)
	for d, w := range l.requests {
		is := func(o Crash) bool { return o.Target == target }
		w.crashes, w.pastCrashes = slices.DeleteFunc(w.crashes, is), slices.DeleteFunc(w.pastCrashes, is)
		if len(w.crashes) == 0 && w.holds == 0 && w.suspectSince.IsZero() {
			delete(l.requests, d)
		}
	}
}

// RecordSuccess takes in that a request was answered whole, and tells if that changes what the
// daemons were told of it.
func (l *Detector) RecordSuccess(now time.Time, d digest.Digest) (Verdict, bool) {
	w := l.requests[d]
	if w == nil {
		return Verdict{}, false
	}
	delete(l.requests, d)
	known := !w.suspectSince.IsZero() || now.Before(w.heldUntil)
	return Verdict{Digest: d, Pool: w.pool, State: Cleared, Crashes: len(w.crashes), Holds: w.holds}, known
}

// ApplyVerdict takes in what another daemon decided.
func (l *Detector) ApplyVerdict(now time.Time, v Verdict) {
	if v.State == Cleared {
		delete(l.requests, v.Digest)
		return
	}
	w := l.requests[v.Digest]
	if w == nil {
		w = &request{pool: v.Pool}
		l.requests[v.Digest] = w
	}
	w.lastReport = now
	if w.suspectSince.IsZero() {
		w.suspectSince = now
	}
	if v.State == Held {
		w.hold(v.Until, max(v.Holds, 1))
	}
}

// Evaluate appends what is newly known. A request is a suspect for the time of the hearing
// before it is held: all daemons hear of suspects and tell if one of them was answered.
// Judge has to be called again after a while as long as it reports that a hearing goes on.
func (l *Detector) Evaluate(now time.Time, hearing time.Duration, out []Verdict) (verdicts []Verdict, hearings bool) {
	for d, w := range l.requests {
		least := l.suspectThreshold(w)
		if len(w.crashes) < least || now.Before(w.heldUntil) || len(consecutive(w.crashes)) < least {
			continue
		}
		if w.suspectSince.IsZero() {
			w.suspectSince = now
			out = append(out, Verdict{Digest: d, Pool: w.pool, State: Suspect, Crashes: len(w.crashes), Holds: w.holds})
		}
		if !l.isPoison(w) {
			continue
		}
		if now.Sub(w.suspectSince) < hearing {
			hearings = true
			continue
		}
		targets := len(w.crashes)
		w.hold(now.Add(l.cfg.HoldTime<<min(w.holds, maxDoublings)), w.holds+1)
		out = append(out, Verdict{Digest: d, Pool: w.pool, State: Held, Until: w.heldUntil, Crashes: targets, Holds: w.holds})
	}
	return out, hearings
}

// suspectThreshold is how many runs make the work a suspect. One that was held before is one
// again with its next run.
func (l *Detector) suspectThreshold(w *request) int {
	if w.holds > 0 {
		return 1
	}
	return min(suspectCrashes, l.cfg.MinCrashes)
}

// prune forgets what is old, and the oldest if there is too much.
func (l *Detector) prune(now time.Time) {
	for d, w := range l.requests {
		if now.Sub(w.lastReport) > retention && now.After(w.heldUntil) {
			delete(l.requests, d)
		}
	}
	for len(l.requests) > maxRequests {
		var oldest digest.Digest
		for d, w := range l.requests {
			if o := l.requests[oldest]; o == nil || w.lastReport.Before(o.lastReport) {
				oldest = d
			}
		}
		delete(l.requests, oldest)
	}
	for target, o := range l.crashedTargets {
		if now.Sub(o.crashedAt) > retention || len(l.crashedTargets) > maxCrashedTargets {
			delete(l.crashedTargets, target)
		}
	}
}
