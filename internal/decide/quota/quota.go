// Package quota limits a team's total use over all daemons.
//
// It is for teams that send many times their usual load. Each daemon keeps a copy of the
// team's single token bucket: its own use is taken at once, that of the others when they
// report it. A team can exceed its quota by what the daemons admit within one exchange. A
// fixed part per daemon would refuse requests within the quota, because callers are spread
// unevenly over the daemons.
package quota

import (
	"math"
	"time"

	"github.com/fireflypath/fireflypath"
)

// initialFillSeconds is the fill of a new bucket, in seconds of its rate. A daemon that
// starts does not know the previous use; if buckets started full, restarting all daemons
// together would grant the burst again.
const initialFillSeconds = 0.5

// plannedExcess is the fraction of the tolerance that is added to the quota on purpose;
// the rest covers use that other daemons have not reported yet.
const plannedExcess = 0.5

// Tolerance is how far a quota may be exceeded. Reports between daemons are slightly old,
// so a bucket that holds the quota exactly refuses some requests within it. Half of the
// tolerance is spent on admitting these.
type Tolerance struct {
	// Over is the allowed excess as a fraction of the quota.
	Over float64
	// Slack is the allowed excess in units over any Window.
	Slack  float64
	Window time.Duration
}

// maxTimeWithoutContact is long enough for any quota not to matter.
const maxTimeWithoutContact = time.Minute

// TimeWithoutContact returns for how long each of a number of daemons may go on to grant a whole quota after
// they lost contact with each other, at most maxTimeWithoutContact. What they grant too much in that time
// is the part of the tolerance that is not granted on purpose.
func (t Tolerance) TimeWithoutContact(q fireflypath.Quota, daemons int) time.Duration {
	if q.Rate <= 0 || daemons <= 1 {
		return maxTimeWithoutContact
	}
	spare := (1 - plannedExcess) * (t.Over*(q.Rate*t.Window.Seconds()+q.Burst) + t.Slack)
	seconds := spare / (q.Rate * float64(daemons-1))
	return time.Duration(min(seconds, maxTimeWithoutContact.Seconds()) * float64(time.Second))
}

// Bucket is one copy of a team's token bucket. It is not safe for concurrent use.
type Bucket struct {
	quota     fireflypath.Quota
	tolerance Tolerance
	// fraction is the fraction of the rate available to this daemon. It is below 1 while
	// the use of some daemons is not reported here.
	fraction float64
	level    float64
	// reachable is the fraction of the daemons that are in contact with this one, which is counted among
	// them. While it is below 1, this daemon grants no more than ownLevel, its part of the level and of
	// the rate: the daemons without contact grant theirs.
	reachable, ownLevel float64
	refilledAt          time.Time
	// used is this daemon's own use, which is reported to the other daemons.
	used float64
}

// New returns a bucket as of now; fraction is as for SetFraction.
func New(now time.Time, q fireflypath.Quota, tolerance Tolerance, fraction float64) *Bucket {
	b := &Bucket{quota: q, tolerance: tolerance, fraction: fraction, reachable: 1, refilledAt: now}
	b.level = min(b.Rate()*initialFillSeconds*fraction, b.Capacity())
	return b
}

// Capacity is the most that this copy holds.
func (b *Bucket) Capacity() float64 {
	return (max(b.quota.Burst, b.quota.Rate*initialFillSeconds) + plannedExcess*b.tolerance.Slack/2) * min(b.fraction, 1)
}

// Rate is the refill rate of the whole bucket per second.
func (b *Bucket) Rate() float64 {
	rate := b.quota.Rate * (1 + plannedExcess*b.tolerance.Over)
	if b.tolerance.Window > 0 {
		rate += plannedExcess * b.tolerance.Slack / 2 / b.tolerance.Window.Seconds()
	}
	return rate
}

// SetQuota applies a changed quota.
func (b *Bucket) SetQuota(now time.Time, q fireflypath.Quota) {
	b.refill(now)
	b.quota = q
	b.level = min(b.level, b.Capacity())
}

// SetFraction sets the fraction of the rate that refills this copy.
func (b *Bucket) SetFraction(now time.Time, fraction float64) {
	b.refill(now)
	b.fraction = fraction
	b.level = min(b.level, b.Capacity())
}

// SetReachable sets the fraction of the daemons that are in contact with this one, which is counted among
// them. Unlike SetFraction, it takes nothing from the level, as the loss of contact may only be a delay.
func (b *Bucket) SetReachable(now time.Time, reachable float64) {
	b.refill(now)
	switch {
	case reachable >= 1:
		reachable = 1
	case b.reachable >= 1:
		b.ownLevel = max(b.level, 0) * reachable
	case reachable < b.reachable:
		b.ownLevel *= reachable / b.reachable
	}
	b.reachable = reachable
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.refilledAt).Seconds(); elapsed > 0 {
		b.ownLevel = min(b.ownLevel+elapsed*b.Rate()*min(b.fraction, b.reachable), b.Capacity()*b.reachable)
		b.level = min(b.level+elapsed*b.Rate()*b.fraction, b.Capacity())
		b.refilledAt = now
	}
}

// reservePerTier is the fraction of a bucket that is reserved for each tier above a
// request's: room for some of the largest requests. With a larger reserve, a bucket that
// starts low after a restart would refuse the lower tiers for seconds.
const reservePerTier = 0.08

// maxReserve leaves most of a full bucket to the lowest tiers.
const maxReserve = 0.3

// minReserveFraction is the lowest fraction of the rate at which a reserve is kept.
const minReserveFraction = 0.5

// Take uses n units for a request that is tiersBelow tiers below its team's highest, or
// returns how long to wait for them.
//
// If a team asks for more than its quota, serving in order of arrival would let its lowest
// tier, which usually sends most, use up what its highest tier needs. So each tier leaves
// a part of the bucket to the tiers above it. A team within its quota has a full bucket
// and is not affected.
//
// A full bucket admits a single request larger than the burst and goes negative by the
// rest: otherwise such a request would never be admitted.
func (b *Bucket) Take(now time.Time, n float64, tiersBelow int) (wait time.Duration, ok bool) {
	if b.quota.Rate <= 0 {
		b.used += n
		return 0, true
	}
	b.refill(now)
	capacity := b.Capacity()
	need := min(n+b.reserve(tiersBelow)*capacity, capacity)
	available := b.level
	if b.reachable < 1 {
		available = min(available, b.ownLevel)
		need = min(need, capacity*b.reachable)
	}
	if available >= need {
		b.level -= n
		b.ownLevel -= n
		b.used += n
		return 0, true
	}
	seconds := (need - available) / (b.Rate() * max(min(b.fraction, b.reachable), 1e-3))
	return time.Duration(math.Ceil(seconds*1000)) * time.Millisecond, false
}

// reserve is the fraction of the bucket that a request leaves to higher tiers. A daemon
// that gets reports from few others has too small a fraction to reserve any of it.
func (b *Bucket) reserve(tiersBelow int) float64 {
	if b.fraction < minReserveFraction {
		return 0
	}
	return min(reservePerTier*float64(tiersBelow), maxReserve)
}

// AddUse counts use that was granted without limit, and does not deduct it from the level.
func (b *Bucket) AddUse(now time.Time, n float64) {
	b.refill(now)
	b.used += n
}

// Refund returns units of a request that did not run.
func (b *Bucket) Refund(now time.Time, n float64) {
	b.refill(now)
	b.level = min(b.level+n, b.Capacity())
	b.ownLevel = min(b.ownLevel+n, b.Capacity()*b.reachable)
	b.used -= n
}

// DeductRemoteUse deducts what other daemons used since their previous report.
func (b *Bucket) DeductRemoteUse(now time.Time, n float64) {
	b.refill(now)
	b.level -= n
	b.ownLevel -= n
}

// Level is the current fill of the bucket.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// SetLevel takes over the level of another daemon's copy.
func (b *Bucket) SetLevel(now time.Time, level float64) {
	b.refill(now)
	b.level = min(level, b.Capacity())
}

// Used is this daemon's own use since the start.
func (b *Bucket) Used() float64 { return b.used }
