package backpressure

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/fireflypath/fireflypath"
)

const (
	// minRate is the rate in requests per second at which a target is used whatever limit it
	// names. Only the answer to a request can tell that a limit of zero has ended.
	minRate = 1.0 / 60
	// burstTime is the time in seconds of whose requests may be sent at once, in addition to
	// a single one.
	burstTime = 0.25
)

// Target holds the declarations of one incarnation of a target. A nil Target has declared
// nothing.
type Target struct {
	// limit is in requests per second from all daemons. limiter allows the part of it that
	// may be used here; it is nil without a limit.
	limit   float64
	limiter *rate.Limiter
	// brittle is nil unless the target has said that it fails when it turns away too much.
	brittle *brittle
	// leaving is true once the target has announced that it is shutting down.
	leaving bool
	// observedAt is when the last declaration was made, as far as known here.
	observedAt time.Time
	// backoffs holds until when the target wants no requests of a daemon, by the daemon's name.
	backoffs    map[string]time.Time
	absentSince time.Time
}

func (t *Target) limited() bool { return t.limiter != nil }

// HasLimits reports whether the target names a rate limit or is brittle.
func (t *Target) HasLimits() bool { return t != nil && (t.limited() || t.brittle != nil) }

// hasNotice reports whether the target has declared anything to all daemons.
func (t *Target) hasNotice() bool { return t.leaving || !t.observedAt.IsZero() }

// setLimit sets or ends the rate limit and reports whether that changes it.
func (t *Target) setLimit(now time.Time, n fireflypath.Notice, share float64) (changed bool) {
	if !n.Limited {
		changed = t.limited()
		t.limit, t.limiter = 0, nil
		return changed
	}
	if t.limited() && t.limit == n.Limit {
		return false
	}
	t.limit = n.Limit
	if t.limiter == nil {
		// Requests of the last moments are at the target already, so it starts empty.
		t.limiter = rate.NewLimiter(0, 1)
		t.limiter.AllowN(now, 1)
	}
	t.updateRate(now, share)
	return true
}

// setBrittle sets or ends what a brittle target bears and reports whether that changes it.
func (t *Target) setBrittle(n fireflypath.Notice) (changed bool) {
	if !n.Brittle {
		changed = t.brittle != nil
		t.brittle = nil
		return changed
	}
	if t.brittle == nil {
		t.brittle = &brittle{}
	} else if t.brittle.maxTurnedAway == n.MaxTurnedAway {
		return false
	}
	t.brittle.maxTurnedAway = n.MaxTurnedAway
	return true
}

// updateRate sets the limiter to the given part of the limit.
func (t *Target) updateRate(now time.Time, share float64) {
	if t.limiter == nil {
		return
	}
	perSecond := max(t.limit*share, minRate)
	t.limiter.SetLimitAt(now, rate.Limit(perSecond))
	t.limiter.SetBurstAt(now, 1+int(perSecond*burstTime))
}

// Leaving reports whether the target has announced that it is shutting down.
func (t *Target) Leaving() bool { return t != nil && t.leaving }

// Allows returns how many requests the rate limit allows now. It reports false if there is no
// limit.
func (t *Target) Allows(now time.Time) (n int, limited bool) {
	if t == nil || t.limiter == nil {
		return 0, false
	}
	return int(t.limiter.TokensAt(now)), true
}

// Rate returns how many requests per second the rate limit allows here. It reports false if
// there is no limit.
func (t *Target) Rate() (perSecond float64, limited bool) {
	if t == nil || t.limiter == nil {
		return 0, false
	}
	return float64(t.limiter.Limit()), true
}

// CountSent counts a request that is sent to the target.
func (t *Target) CountSent(now time.Time) {
	if t != nil && t.limiter != nil {
		t.limiter.AllowN(now, 1)
	}
}

// AllowedAt returns when the rate limit allows the next request, or zero if it allows one now.
func (t *Target) AllowedAt(now time.Time) time.Time {
	n, limited := t.Allows(now)
	if !limited || n > 0 {
		return time.Time{}
	}
	missing := (1 - t.limiter.TokensAt(now)) / float64(t.limiter.Limit())
	return now.Add(time.Duration(missing * float64(time.Second))).Add(time.Microsecond)
}
