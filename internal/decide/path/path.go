// Package path decides over which path a daemon connects to its targets: directly, or through
// another daemon that reaches them.
//
// A daemon can lose its paths to some or all targets while callers, the store and the other daemons
// still reach it. Without this distinction it would refuse its callers, or take the targets out of
// use for daemons that reach them.
package path

import (
	"maps"
	"sync"
	"time"
)

const (
	// minProbeInterval is the time until a lost path is tried again. It doubles with each failure
	// up to maxProbeInterval.
	minProbeInterval = 500 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	// minLostTargets is how many targets must be lost, one after the other and without an answer or a
	// new connection in between, before a daemon no longer trusts its paths to the others either.
	minLostTargets = 2
	// lossMemory is how long after the last loss the paths to other targets are not trusted.
	lossMemory = 10 * time.Second
)

// Tracker records which targets a daemon reaches directly. Targets are named by their addresses.
type Tracker struct {
	mu   sync.Mutex
	lost map[string]*loss
	// suspectSince is when the first of the losses since the last success happened, lastLossAt when
	// the last one did.
	suspectSince, lastLossAt time.Time
	// sinceSuccess holds the targets lost since the last success.
	sinceSuccess map[string]bool
}

// loss is a path that does not work.
type loss struct {
	since    time.Time
	probeAt  time.Time
	interval time.Duration
}

// New returns a tracker for which all paths work.
func New() *Tracker {
	return &Tracker{lost: map[string]*loss{}, sinceSuccess: map[string]bool{}}
}

// Choice is the path to try first.
type Choice int

const (
	// Direct is the path without another daemon.
	Direct Choice = iota
	// Probe means that the path through another daemon is used, and the direct one is tried at the
	// same time.
	Probe
	// Indirect is the path through another daemon.
	Indirect
)

// Choose returns how to connect to a target. Of the connections to a target whose path is lost, one
// in each interval is a Probe.
func (t *Tracker) Choose(now time.Time, target string) Choice {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lost[target]
	if l == nil {
		if t.suspect(now) {
			return Probe
		}
		return Direct
	}
	if now.Before(l.probeAt) {
		return Indirect
	}
	l.probeAt = now.Add(l.interval)
	return Probe
}

// Lost reports whether the path to a target is known not to work, so that this daemon cannot connect
// to it for others.
func (t *Tracker) Lost(now time.Time, target string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.lost[target]
	return l != nil && now.Before(l.probeAt)
}

// Isolated reports whether this daemon seems to have lost its paths to all targets.
func (t *Tracker) Isolated(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.suspect(now)
}

// suspect reports whether the last attempts at several targets failed. The caller holds mu.
func (t *Tracker) suspect(now time.Time) bool {
	return len(t.sinceSuccess) >= minLostTargets && now.Sub(t.lastLossAt) <= lossMemory
}

// Trusted reports whether a direct connection that has been idle since the given time may be used. A
// request that is written to a dead one has an unknown outcome.
func (t *Tracker) Trusted(now time.Time, target string, idleSince time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if l := t.lost[target]; l != nil && idleSince.Before(l.since) {
		return false
	}
	return !t.suspect(now) || idleSince.After(t.suspectSince)
}

// Worked records that a direct connection to a target was made.
func (t *Tracker) Worked(target string) (recovered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	recovered = t.lost[target] != nil
	delete(t.lost, target)
	t.clearLosses()
	return recovered
}

// Answered records that some target answered over a direct connection, so that this daemon is not
// isolated. It says nothing about paths to others, and new connections to the same target may still fail.
func (t *Tracker) Answered() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.clearLosses()
}

// clearLosses forgets the losses since the last success. The caller holds mu.
func (t *Tracker) clearLosses() {
	if len(t.sinceSuccess) == 0 {
		return
	}
	clear(t.sinceSuccess)
	t.suspectSince = time.Time{}
}

// Broke records that a direct connection to a target broke. The target may have caused it, so its path
// does not count as lost until no new connection can be made.
func (t *Tracker) Broke(now time.Time, target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordLoss(now, target)
}

// Failed records that no direct connection to a target could be made. It reports whether the path
// worked before.
func (t *Tracker) Failed(now time.Time, target string) (first bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordLoss(now, target)
	l := t.lost[target]
	if l == nil {
		t.lost[target] = &loss{since: now, probeAt: now.Add(minProbeInterval), interval: minProbeInterval}
		return true
	}
	l.interval = min(2*l.interval, maxProbeInterval)
	l.probeAt = now.Add(l.interval)
	return false
}

// recordLoss counts a loss. The caller holds mu.
func (t *Tracker) recordLoss(now time.Time, target string) {
	if len(t.sinceSuccess) == 0 || now.Sub(t.lastLossAt) > lossMemory {
		clear(t.sinceSuccess)
		t.suspectSince = now
	}
	t.sinceSuccess[target], t.lastLossAt = true, now
}

// Retain forgets the targets that are not among the given ones.
func (t *Tracker) Retain(targets map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.lost, func(name string, _ *loss) bool { return !targets[name] })
	maps.DeleteFunc(t.sinceSuccess, func(name string, _ bool) bool { return !targets[name] })
}
