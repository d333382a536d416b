package backpressure

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// self is the name under which a daemon keeps the backoffs that targets asked itself for.
const self = ""

// setBackoff records until when a target wants no requests of a daemon. A shorter time does not
// replace a longer one.
func (b *Book) setBackoff(identity, daemon string, until time.Time) {
	t := b.targets[identity]
	if t == nil {
		t = &Target{}
		b.targets[identity] = t
	}
	if t.backoffs == nil {
		t.backoffs = map[string]time.Time{}
	}
	if until.After(t.backoffs[daemon]) {
		t.backoffs[daemon] = until
	}
	if until.After(b.lastBackoffEnd) {
		b.lastBackoffEnd = until
	}
}

// BackoffVersion changes with each backoff that a target asked this daemon for.
func (b *Book) BackoffVersion() uint64 { return b.backoffVersion }

// Backoffs returns the backoffs that targets asked this daemon for and that have not ended, sorted by
// target.
func (b *Book) Backoffs(now time.Time) []fireflypath.TargetBackoff {
	var out []fireflypath.TargetBackoff
	for _, identity := range slices.Sorted(maps.Keys(b.targets)) {
		if until := b.targets[identity].BackoffEnds(now, self); !until.IsZero() {
			out = append(out, fireflypath.TargetBackoff{Target: identity, Remaining: fireflypath.MicrosOf(until.Sub(now))})
		}
	}
	return out
}

// ApplyBackoffs records the backoffs that targets asked another daemon for.
func (b *Book) ApplyBackoffs(now time.Time, daemon string, backoffs []fireflypath.TargetBackoff) {
	for _, r := range backoffs {
		b.setBackoff(r.Target, daemon, now.Add(r.Remaining.Std()))
	}
}

// AnyBackoff reports whether a backoff is in effect.
func (b *Book) AnyBackoff(now time.Time) bool { return now.Before(b.lastBackoffEnd) }

// BackoffEnds returns until when the target wants no requests of the daemon, or zero if it takes
// them. The empty name stands for the daemon that keeps the book.
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
