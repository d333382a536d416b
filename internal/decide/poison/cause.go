package poison

import (
	"cmp"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/digest"
)

// cause is something that may be to blame for crashes: a request, or a part that requests share.
type cause struct {
	pool string
	// poolSize is the number of targets in the pool.
	poolSize int
	// isRequest is true for a request, false for a part.
	isRequest bool
	// crashes holds at most one crash per target, ordered by end time, without those that a hold
	// explains. Their number is in explained.
	crashes   []targetCrash
	explained int
	// suspectSince is when the cause became a suspect, zero if it is not one.
	suspectSince time.Time
	lastReport   time.Time
}

// targetCrash is the crash of a target under a run that has a cause.
type targetCrash struct {
	target         string
	started, ended time.Time
}

// follows reports whether the run started after the other one had ended, by the clocks of two
// daemons.
func (c targetCrash) follows(o targetCrash) bool {
	return c.started.After(o.ended.Add(-clockSkew)) && c.ended.After(o.ended.Add(clockSkew))
}

// total is the number of all crashes under the cause.
func (r *cause) total() int { return len(r.crashes) + r.explained }

// add adds a crash, unless the cause already has one of the target.
func (r *cause) add(c targetCrash) {
	if slices.ContainsFunc(r.crashes, func(o targetCrash) bool { return o.target == c.target }) {
		return
	}
	r.crashes = append(r.crashes, c)
	slices.SortFunc(r.crashes, func(a, b targetCrash) int { return cmp.Compare(a.ended.UnixNano(), b.ended.UnixNano()) })
}

// remove removes the crash of a target, and reports whether there was one.
func (r *cause) remove(target string) bool {
	n := len(r.crashes)
	r.crashes = slices.DeleteFunc(r.crashes, func(c targetCrash) bool { return c.target == target })
	return len(r.crashes) < n
}

// run is a request that was running on a target when it crashed.
type run struct {
	// request is the digest of the request itself.
	request digest.Digest
	// causes are the request and its parts, without what has been answered since.
	causes []digest.Digest
}

func (r run) has(d digest.Digest) bool { return slices.Contains(r.causes, d) }

func (r run) hasAll(members []digest.Digest) bool { return containsAll(r.causes, members) }

// containsAll reports whether all members are among the causes.
func containsAll(causes, members []digest.Digest) bool {
	for _, m := range members {
		if !slices.Contains(causes, m) {
			return false
		}
	}
	return true
}

// crashedTarget is a target incarnation that crashed.
type crashedTarget struct {
	pool      string
	crashedAt time.Time
	runs      []run
	// explained is true once a request that is held is known to have run there.
	explained bool
}
