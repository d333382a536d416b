// Package backpressure keeps what targets declare in their answers about the requests that
// they take.
//
// A target in need names a rate limit for all daemons together. A daemon that does not keep
// it, or keeps it for itself only, sends the target several times what it can bear, and the
// target fails under requests that others could have served. So the limit is passed on
// between the daemons and divided between those that decide where requests go.
//
// A target that is shutting down says so as well. Its registration in the store may say that
// it is ready for as long as the store is away, and again when the store is back; requests sent
// on its word are cut off when the target exits.
//
// A brittle target fails when it has to turn away more than a few requests in a second for want of
// room. It gets no more requests than it has slots, and fewer after it has turned one away.
//
// A target that turns a request away may ask the daemon that sent it for a time without more. A
// request of another daemon that succeeds meanwhile does not end that time.
package backpressure

import (
	"maps"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
)

// absentRetention is how long the declarations of a target are kept after it was removed from
// the list of targets. A registration that expired while the store was away comes back.
const absentRetention = 10 * time.Minute

// Tracker tracks the declarations of the targets of one pool. It is not safe for concurrent use.
type Tracker struct {
	targets map[string]*Target
	// share is the part of each rate limit that may be used here, between 0 and 1.
	share float64
	// version counts the changes that other daemons need to know, backoffVersion the backoffs that
	// targets asked this daemon for.
	version, backoffVersion uint64
	// lastBackoffEnd is when the last backoff of any daemon ends.
	lastBackoffEnd time.Time
}

// New returns a tracker without declarations, which may use each limit as a whole.
func New() *Tracker {
	return &Tracker{targets: map[string]*Target{}, share: 1}
}

// Find returns the declarations of the target with the identity, or nil if there are none.
func (tr *Tracker) Find(identity string) *Target { return tr.targets[identity] }

// Len returns the number of targets with declarations.
func (tr *Tracker) Len() int { return len(tr.targets) }

// Version changes with each declaration that differs from the last one.
func (tr *Tracker) Version() uint64 { return tr.version }

// SetShare sets the part of each rate limit that may be used here, between 0 and 1.
func (tr *Tracker) SetShare(now time.Time, share float64) {
	if share == tr.share {
		return
	}
	tr.share = share
	for _, t := range tr.targets {
		t.updateRate(now, share)
	}
}

// Observe records what a target declared in the answer to a request that was sent at the given
// time.
//
// An answer without a limit ends the limit only if its request was sent after the last answer
// that named one. Answers arrive out of order: one that was begun before the target was in need
// says nothing about the time since.
func (tr *Tracker) Observe(now time.Time, identity string, n fireflypath.Notice, sent time.Time) {
	if n.Backoff > 0 {
		tr.setBackoff(identity, self, now.Add(n.Backoff))
		tr.backoffVersion++
	}
	at := now
	if !n.Limited && !n.Brittle {
		at = sent
	}
	tr.apply(now, identity, n, at)
}

// Apply records what other daemons have observed.
func (tr *Tracker) Apply(now time.Time, notices []fireflypath.TargetNotice) {
	for i := range notices {
		n := &notices[i]
		tr.apply(now, n.Target, n.Notice, now.Add(-n.Age.Std()))
	}
}

// apply records a declaration that was observed at the given time, unless a later one is known.
func (tr *Tracker) apply(now time.Time, identity string, n fireflypath.Notice, at time.Time) {
	t := tr.targets[identity]
	if t == nil {
		if !n.Limited && !n.Brittle && !n.Leaving {
			return
		}
		t = &Target{}
		tr.targets[identity] = t
	}
	if n.Leaving && !t.leaving {
		t.leaving = true
		tr.version++
	}
	if !n.Limited && !n.Brittle && t.observedAt.IsZero() {
		return // it never declared anything that this could end
	}
	if !at.After(t.observedAt) {
		return
	}
	t.observedAt = at
	limitChanged, brittleChanged := t.setLimit(now, n, tr.share), t.setBrittle(n)
	if limitChanged || brittleChanged {
		tr.version++
	}
}

// Limits reports whether a target names a rate limit or is brittle.
func (tr *Tracker) Limits() bool {
	for _, t := range tr.targets {
		if t.HasLimits() {
			return true
		}
	}
	return false
}

// Share returns the part of what targets bear that may be used here, between 0 and 1.
func (tr *Tracker) Share() float64 { return tr.share }

// Notices returns all declarations, for other daemons, sorted by target.
func (tr *Tracker) Notices(now time.Time) []fireflypath.TargetNotice {
	out := make([]fireflypath.TargetNotice, 0, len(tr.targets))
	for _, identity := range slices.Sorted(maps.Keys(tr.targets)) {
		t := tr.targets[identity]
		if !t.hasNotice() {
			continue
		}
		out = append(out, fireflypath.TargetNotice{
			Target: identity, Age: fireflypath.MicrosOf(now.Sub(t.observedAt)),
			Notice: t.notice(),
		})
	}
	return out
}

// Retain forgets the declarations of targets that have not been listed for absentRetention.
func (tr *Tracker) Retain(now time.Time, listed func(identity string) bool) {
	maps.DeleteFunc(tr.targets, func(identity string, t *Target) bool {
		if listed(identity) {
			t.absentSince = time.Time{}
			return false
		}
		if t.absentSince.IsZero() {
			t.absentSince = now
		}
		return now.Sub(t.absentSince) >= absentRetention
	})
}
