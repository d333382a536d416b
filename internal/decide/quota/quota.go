// Package quota bounds what a team uses, summed over all daemons.
//
// It answers a team that sends many times its usual. Each daemon keeps a copy of
// the team's one token bucket: its own use is taken at once, that of the others
// when they tell it. What a team can use above its quota is what the daemons let
// through within one exchange. A fixed part for each daemon would refuse work
// within the quota, since callers are spread unevenly over the daemons.
package quota

import (
	"math"
	"time"

	"github.com/fireflypath/fireflypath"
)

// startSeconds is the fill of a new bucket in seconds of its rate. A daemon that
// starts does not know what was used before; with a full bucket, daemons that
// are restarted together would give out the burst once more.
const startSeconds = 0.5

// used is the part of the tolerance that is given out on purpose; the rest is
// for what other daemons use before they tell.
const used = 0.5

// Tolerance is how far a quota may be exceeded. What daemons tell each other is
// a little old, so a bucket that is kept exactly refuses some requests that were
// within the quota. Half of the tolerance goes to these.
type Tolerance struct {
	// Over is the allowed excess as a fraction of the quota.
	Over float64
	// Slack is the allowed excess in units over any window.
	Slack  float64
	Window time.Duration
}

// Bucket is one team's quota. It is not safe for concurrent use.
type Bucket struct {
	quota fireflypath.Quota
	tol   Tolerance
	// part is the fraction of the rate that this daemon may count on: below 1
	// while daemons are missing whose use it does not hear.
	part  float64
	level float64
	at    time.Time
	// used is the sum of own use, for the other daemons.
	used float64
}

// New returns a bucket at the time; part is as for SetPart.
func New(now time.Time, q fireflypath.Quota, tol Tolerance, part float64) *Bucket {
	b := &Bucket{quota: q, tol: tol, part: part, at: now}
	b.level = min(b.Rate()*startSeconds*part, b.Top())
	return b
}

// Top is the most the bucket holds.
func (b *Bucket) Top() float64 {
	return (max(b.quota.Burst, b.quota.Rate*startSeconds) + used*b.tol.Slack/2) * min(b.part, 1)
}

// Rate is what flows into the whole bucket in a second.
func (b *Bucket) Rate() float64 {
	r := b.quota.Rate * (1 + used*b.tol.Over)
	if b.tol.Window > 0 {
		r += used * b.tol.Slack / 2 / b.tol.Window.Seconds()
	}
	return r
}

// Set puts a changed quota in force.
func (b *Bucket) Set(now time.Time, q fireflypath.Quota) {
	b.pass(now)
	b.quota = q
	b.level = min(b.level, b.Top())
}

// SetPart sets the fraction of the rate that refills this copy.
func (b *Bucket) SetPart(now time.Time, part float64) {
	b.pass(now)
	b.part = part
	b.level = min(b.level, b.Top())
}

func (b *Bucket) pass(now time.Time) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level = min(b.level+d*b.Rate()*b.part, b.Top())
		b.at = now
	}
}

// keepStep is the part of a bucket that is kept for each tier above a request's:
// some of the largest requests. Kept larger, a bucket that begins low after a
// restart would refuse the lower tiers for seconds.
const keepStep = 0.08

// maxKeep leaves the lowest tiers most of a full bucket.
const maxKeep = 0.3

// wholePart is the part of the fleet that a daemon must hear to keep anything.
const wholePart = 0.5

// Take uses n units for a request of so many tiers below its team's highest, or
// tells how long to wait for them.
//
// A team that asks for more than its quota would else use it up in order of
// arrival: its lowest work, of which there is most, would take what its highest
// needs. So each tier leaves a part of the bucket to those above it; a team within
// its quota has a full bucket and notices nothing.
//
// One request larger than the burst is let through by a full bucket, which then
// owes the rest: refused for good, its caller could never get it.
func (b *Bucket) Take(now time.Time, n float64, below int) (wait time.Duration, ok bool) {
	if b.quota.Rate <= 0 {
		b.used += n
		return 0, true
	}
	b.pass(now)
	top := b.Top()
	need := min(n+b.kept(below)*top, top)
	if b.level >= need {
		b.level -= n
		b.used += n
		return 0, true
	}
	sec := (need - b.level) / (b.Rate() * max(b.part, 1e-3))
	return time.Duration(math.Ceil(sec*1000)) * time.Millisecond, false
}

// kept is the part of the bucket that a request of so many tiers below its
// team's highest leaves to others. A daemon that hears few others yet has too
// small a part to keep any of it.
func (b *Bucket) kept(below int) float64 {
	if b.part < wholePart {
		return 0
	}
	return min(keepStep*float64(below), maxKeep)
}

// Spend books use that somebody else granted; the level here does not count it.
func (b *Bucket) Spend(now time.Time, n float64) {
	b.pass(now)
	b.used += n
}

// Return gives back what a request did not use because it did not run.
func (b *Bucket) Return(now time.Time, n float64) {
	b.pass(now)
	b.level = min(b.level+n, b.Top())
	b.used -= n
}

// Heard takes off what other daemons used since they last told.
func (b *Bucket) Heard(now time.Time, n float64) {
	b.pass(now)
	b.level -= n
}

// Level is what the bucket holds.
func (b *Bucket) Level(now time.Time) float64 {
	b.pass(now)
	return b.level
}

// Adopt takes over the level that another daemon's copy holds.
func (b *Bucket) Adopt(now time.Time, level float64) {
	b.pass(now)
	b.level = min(level, b.Top())
}

// Used is the sum of own use since the start.
func (b *Bucket) Used() float64 { return b.used }
