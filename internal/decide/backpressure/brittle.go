package backpressure

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// turnedAwayWindow is the time over which a brittle target counts what it turns away, with a
	// margin for the way of the answers.
	turnedAwayWindow = 1200 * time.Millisecond
	// cautionPeriod is how long a brittle target that has turned a request away gets one request
	// less at a time than it had.
	cautionPeriod = 5 * time.Second
)

// brittle is the state of a target that fails when it turns away too much.
type brittle struct {
	maxTurnedAway int
	// turnedAway holds when requests of this daemon, or of those for which it decides, were turned
	// away, the oldest first.
	turnedAway []time.Time
	// ceiling is how many requests the target had when it last turned one away, less one. It holds
	// until ceilingEnds.
	ceiling     int
	ceilingEnds time.Time
}

// Brittle reports whether the target fails when it turns away too much.
func (t *Target) Brittle() bool { return t != nil && t.brittle != nil }

// MaxInFlight returns how many of its slots a brittle target may have in use at a time. share is the
// part of the target that may be used here.
func (t *Target) MaxInFlight(now time.Time, slots int, share float64) int {
	n := max(int(float64(slots)*share), 1)
	if b := t.brittle; now.Before(b.ceilingEnds) {
		n = min(n, max(b.ceiling, 1))
	}
	return n
}

// BearsRefusal reports whether a brittle target can still turn a request away. Half of what it bears
// is left to those who decide elsewhere, and to requests that are on their way.
func (t *Target) BearsRefusal(now time.Time, share float64) bool {
	b := t.brittle
	b.forget(now)
	return len(b.turnedAway) == 0 || len(b.turnedAway) < int(share*float64(b.maxTurnedAway)/2)
}

// BearsRefusalAt returns when a brittle target that cannot turn a request away now can do so again.
func (t *Target) BearsRefusalAt(now time.Time) time.Time {
	b := t.brittle
	b.forget(now)
	if len(b.turnedAway) == 0 {
		return now
	}
	return b.turnedAway[0].Add(turnedAwayWindow)
}

// CountTurnedAway counts a request that the target turned away while it had the given number of others.
func (t *Target) CountTurnedAway(now time.Time, others int) {
	if !t.Brittle() {
		return
	}
	b := t.brittle
	b.forget(now)
	b.turnedAway = append(b.turnedAway, now)
	b.ceiling, b.ceilingEnds = others, now.Add(cautionPeriod)
}

// forget drops what was turned away before the window.
func (b *brittle) forget(now time.Time) {
	for len(b.turnedAway) > 0 && now.Sub(b.turnedAway[0]) >= turnedAwayWindow {
		b.turnedAway = b.turnedAway[1:]
	}
}

// notice returns what the target has declared to all daemons.
func (t *Target) notice() fireflypath.Notice {
	n := fireflypath.Notice{Limit: t.limit, Limited: t.limited(), Leaving: t.leaving}
	if t.brittle != nil {
		n.Brittle, n.MaxTurnedAway = true, t.brittle.maxTurnedAway
	}
	return n
}
