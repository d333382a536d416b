package backpressure

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// self is the name under which a daemon keeps the rests that targets asked itself for.
const self = ""

// setRest records until when a target wants no requests of a daemon. A shorter time does not
// replace a longer one.
func (b *Book) setRest(identity, daemon string, until time.Time) {
	t := b.targets[identity]
	if t == nil {
		t = &Target{}
		b.targets[identity] = t
	}
	if t.rests == nil {
		t.rests = map[string]time.Time{}
	}
	if until.After(t.rests[daemon]) {
		t.rests[daemon] = until
	}
	if until.After(b.restsEnd) {
		b.restsEnd = until
	}
}

// RestVersion changes with each rest that a target asked this daemon for.
func (b *Book) RestVersion() uint64 { return b.restVersion }

// Rests returns the rests that targets asked this daemon for and that have not ended, sorted by
// target.
func (b *Book) Rests(now time.Time) []fireflypath.TargetRest {
	var out []fireflypath.TargetRest
	for _, identity := range slices.Sorted(maps.Keys(b.targets)) {
		if until := b.targets[identity].RestEnds(now, self); !until.IsZero() {
			out = append(out, fireflypath.TargetRest{Target: identity, Remaining: fireflypath.MicrosOf(until.Sub(now))})
		}
	}
	return out
}

// ApplyRests records the rests that targets asked another daemon for.
func (b *Book) ApplyRests(now time.Time, daemon string, rests []fireflypath.TargetRest) {
	for _, r := range rests {
		b.setRest(r.Target, daemon, now.Add(r.Remaining.Std()))
	}
}

// AnyRest reports whether a target rests from a daemon.
func (b *Book) AnyRest(now time.Time) bool { return now.Before(b.restsEnd) }

// RestEnds returns until when the target wants no requests of the daemon, or zero if it takes
// them. The empty name stands for the daemon that keeps the book.
func (t *Target) RestEnds(now time.Time, daemon string) time.Time {
	if t == nil {
		return time.Time{}
	}
	until, ok := t.rests[daemon]
	if !ok {
		return time.Time{}
	}
	if !now.Before(until) {
		delete(t.rests, daemon)
		return time.Time{}
	}
	return until
}
