package backpressure

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// self is the name under which a daemon tracks the backoffs that targets asked itself for.
const self = ""

// setBackoff records until when a target wants no requests of a daemon. A shorter time does not
// replace a longer one.
func (tr *Tracker) setBackoff(identity, daemon string, until time.Time) {
	t := tr.targets[identity]
	if t == nil {
		t = &Target{}
		tr.targets[identity] = t
	}
	if t.backoffs == nil {
		t.backoffs = map[string]time.Time{}
	}
	if until.After(t.backoffs[daemon]) {
		t.backoffs[daemon] = until
	}
	if until.After(tr.lastBackoffEnd) {
		tr.lastBackoffEnd = until
	}
}

// SetUnreached keeps the work of a daemon that lacks a path to the target from it for some time. Other
// daemons may reach it.
func (tr *Tracker) SetUnreached(identity, daemon string, until time.Time) {
	tr.setBackoff(identity, daemon, until)
}

// BackoffVersion changes with each backoff that a target asked this daemon for.
func (tr *Tracker) BackoffVersion() uint64 { return tr.backoffVersion }

// Backoffs returns the backoffs that targets asked this daemon for and that have not ended, sorted by
// target.
func (tr *Tracker) Backoffs(now time.Time) []fireflypath.TargetBackoff {
	var out []fireflypath.TargetBackoff
	for _, identity := range slices.Sorted(maps.Keys(tr.targets)) {
		if until := tr.targets[identity].BackoffEnds(now, self); !until.IsZero() {
			out = append(out, fireflypath.TargetBackoff{Target: identity, Remaining: fireflypath.MicrosOf(until.Sub(now))})
		}
	}
	return out
}

// ApplyBackoffs records the backoffs that targets asked another daemon for.
func (tr *Tracker) ApplyBackoffs(now time.Time, daemon string, backoffs []fireflypath.TargetBackoff) {
	for _, r := range backoffs {
		tr.setBackoff(r.Target, daemon, now.Add(r.Remaining.Std()))
	}
}

// AnyBackoff reports whether a backoff is in effect.
func (tr *Tracker) AnyBackoff(now time.Time) bool { return now.Before(tr.lastBackoffEnd) }

// BackoffEnds returns until when the target wants no requests of the daemon, or zero if it takes
// them. The empty name stands for the tracking daemon itself.
func (t *Target) BackoffEnds(now time.Time, daemon string) time.Time {
	if t == nil {
		return time.Time{}
	}
	until, ok := t.backoffs[daemon]
	if !ok {
		return time.Time{}
	}
	if !now.Before(until) {
		delete(t.backoffs, daemon)
		return time.Time{}
	}
	return until
}
