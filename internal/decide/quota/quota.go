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

// initialFillSeconds is the fill of a new bucket in seconds of its rate. A daemon that
// starts does not know what was used before; with a full bucket, daemons that
// are restarted together would give out the burst once more.
const initialFillSeconds = 0.5

// plannedExcess is the part of the tolerance that is given out on purpose; the rest is
// for what other daemons use before they tell.
const plannedExcess = 0.5

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
	quota     fireflypath.Quota
	tolerance Tolerance
	// fraction is the fraction of the rate that this daemon may count on: below 1
	// while daemons are missing whose use it does not hear.
	fraction   float64
	level      float64
	refilledAt time.Time
	// used is the sum of own use, for the other daemons.
	used float64
}

// New returns a bucket at the time; part is as for SetFraction.
func New(now time.Time, q fireflypath.Quota, tol Tolerance, part float64) *Bucket {
	b := &Bucket{quota: q, tolerance: tol, fraction: part, refilledAt: now}
	b.level = min(b.Rate()*initialFillSeconds*part, b.Capacity())
	return b
}

// Capacity is the most the bucket holds.
func (b *Bucket) Capacity() float64 {
	return (max(b.quota.Burst, b.quota.Rate*initialFillSeconds) + plannedExcess*b.tolerance.Slack/2) * min(b.fraction, 1)
}

// Rate is what flows into the whole bucket in a second.
func (b *Bucket) Rate() float64 {
	r := b.quota.Rate * (1 + plannedExcess*b.tolerance.Over)
	if b.tolerance.Window > 0 {
		r += plannedExcess * b.tolerance.Slack / 2 / b.tolerance.Window.Seconds()
	}
	return r
}

// SetQuota puts a changed quota in force.
func (b *Bucket) SetQuota(now time.Time, q fireflypath.Quota) {
	b.refill(now)
	b.quota = q
	b.level = min(b.level, b.Capacity())
}

// SetFraction sets the fraction of the rate that refills this copy.
func (b *Bucket) SetFraction(now time.Time, part float64) {
	b.refill(now)
	b.fraction = part
	b.level = min(b.level, b.Capacity())
}

func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt).Seconds(); d > 0 {
		b.level = min(b.level+d*b.Rate()*b.fraction, b.Capacity())
		b.refilledAt = now
	}
}

// reservePerTier is the part of a bucket that is kept for each tier above a request's:
// some of the largest requests. Kept larger, a bucket that begins low after a
// restart would refuse the lower tiers for seconds.
const reservePerTier = 0.08

// maxReserve leaves the lowest tiers most of a full bucket.
const maxReserve = 0.3

// minReserveFraction is the part of the fleet that a daemon must hear to keep anything.
const minReserveFraction = 0.5

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
	b.refill(now)
	top := b.Capacity()
	need := min(n+b.reserve(below)*top, top)
	if b.level >= need {
		b.level -= n
		b.used += n
		return 0, true
	}
	sec := (need - b.level) / (b.Rate() * max(b.fraction, 1e-3))
	return time.Duration(math.Ceil(sec*1000)) * time.Millisecond, false
}

// reserve is the part of the bucket that a request of so many tiers below its
// team's highest leaves to others. A daemon that hears few others yet has too
// small a part to keep any of it.
func (b *Bucket) reserve(below int) float64 {
	if b.fraction < minReserveFraction {
		return 0
	}
	return min(reservePerTier*float64(below), maxReserve)
}

// AddUse books use that somebody else granted; the level here does not count it.
func (b *Bucket) AddUse(now time.Time, n float64) {
	b.refill(now)
	b.used += n
}

// Refund gives back what a request did not use because it did not run.
func (b *Bucket) Refund(now time.Time, n float64) {
	b.refill(now)
	b.level = min(b.level+n, b.Capacity())
	b.used -= n
}

// DeductRemoteUse takes off what other daemons used since they last told.
func (b *Bucket) DeductRemoteUse(now time.Time, n float64) {
	b.refill(now)
	b.level -= n
}

// Level is what the bucket holds.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// SetLevel takes over the level that another daemon's copy holds.
func (b *Bucket) SetLevel(now time.Time, level float64) {
	b.refill(now)
	b.level = min(level, b.Capacity())
}

// Used is the sum of own use since the start.
func (b *Bucket) Used() float64 { return b.used }
