// Package returns decides when a refused caller is to return, and recognizes it when it does.
//
// It is meant for a burst far above the capacity, of which the refused callers return some seconds later,
// into a load that leaves little room. Told times that ignore the times given to others, they return
// together, find a queue of newcomers ahead of them, and are refused again.
//
// A Ledger keeps a schedule of the work promised for each tenth of a second, and what was promised to whom.
// It is kept in memory by the scheduler of one pool. Losing it makes callers newcomers again.
package returns

import (
	"time"

	"github.com/fireflypath/fireflypath"
)

const (
	// MaxPromises bounds the promises that a ledger remembers. Beyond it the promise that is due
	// first is forgotten, and its caller is treated as a newcomer.
	MaxPromises = sets * ways
	sets, ways  = 512, 8

	// width is the length of a bucket of the schedule.
	width = 100 * time.Millisecond
	// horizon is the number of buckets for which promises are given, longer than a third of the longest time
	// limit. past is the number of buckets kept after they are over, the longest time by which a
	// caller may be late.
	horizon, past = 50, 20
	// ringSize is a power of two that holds horizon and past buckets.
	ringSize = 128
	// maxRanks is the number of ranks that are told apart. Lower ones share the last.
	maxRanks = 16

	// minAfter is the shortest time for which a caller is sent away.
	minAfter = 300 * time.Millisecond
	// earlyTolerance is by how much a caller may return before its time: the times on the wire are rounded
	// to milliseconds, and timers of callers are as coarse.
	earlyTolerance = 25 * time.Millisecond
	// limitMargin is by how much a promised time is shorter than the longest time that the caller waits.
	// Callers without a promise return at that time, and are told apart by it. It exceeds the inaccuracy of
	// an estimated elapsed time (retrydetect).
	limitMargin = 150 * time.Millisecond
	// repeatPeriod is the time within which the same request is taken for a repetition by a caller that does
	// not wait. Afterwards it is another caller's request for the same work.
	repeatPeriod = 100 * time.Millisecond
	// spareBuckets is the number of buckets over which the room for callers of other dispatchers is summed
	// that exceeds what was promised here.
	spareBuckets = 10
	// waitedFraction is the fraction of its remaining time that a caller waits at most.
	waitedFraction = 1.0 / 3
	// minElapsedFraction is the fraction of the shortest time given here at the time of a caller's first
	// attempt that the caller must have waited to count as one that another dispatcher promised.
	minElapsedFraction = 0.5
)

// Caller is what a promise depends on.
type Caller struct {
	// Digest identifies the work; 0 if it is unknown.
	Digest uint32
	Rank   int
	// Remaining is the time until the caller's deadline.
	Remaining time.Duration
	// Elapsed is for how long the caller has been trying, or 0.
	Elapsed time.Duration
	// Spread is a number in [0, 1) that differs between callers.
	Spread float64
}

// Forecast is the capacity that is expected for a rank.
type Forecast struct {
	// Ahead is the number of waiting requests that would be served before a returning caller of the rank.
	Ahead float64
	// Rate is the number of requests per second that can be served in addition to those that arrive.
	Rate float64
	// Capacity is the number of requests per second that can be served in all; 0 means no limit.
	Capacity float64
	// NotBefore is the time for which the targets take nothing.
	NotBefore time.Duration
}

// Longest is the longest time for which a caller waits before it returns, whatever it is told.
func (c Caller) Longest() time.Duration {
	return time.Duration(waitedFraction * float64(c.Remaining))
}

// Ledger holds the promises of one scheduler. It is not safe for concurrent use.
type Ledger struct {
	epoch   time.Time
	started bool
	// current is the number of the current bucket since the epoch.
	current int
	// promised is the number of promises by bucket and rank that were not redeemed yet; earliest is the
	// shortest time in milliseconds that was given to callers refused in the bucket, or 0.
	promised [ringSize][maxRanks]uint16
	// expected is the number of returning callers by bucket and rank: those with a promise, and those of
	// others that were let in without one.
	expected [ringSize][maxRanks]uint16
	earliest [ringSize][maxRanks]uint16
	// promises is a table of sets, allocated with the first promise.
	promises []promise
}

// promise is a time given to a caller, relative to the ledger's epoch.
type promise struct {
	made, due time.Duration
	digest    uint32
	rank      uint8
	used      bool
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{} }

// advance moves the schedule forward and clears the buckets that it reuses.
func (l *Ledger) advance(now time.Time) time.Duration {
	if !l.started {
		l.epoch, l.started = now, true
	}
	since := max(now.Sub(l.epoch), 0)
	to := int(since / width)
	if to > l.current+ringSize {
		l.current = to - ringSize
	}
	for ; l.current < to; l.current++ {
		l.promised[slot(l.current+1+horizon)] = [maxRanks]uint16{}
		l.expected[slot(l.current+1+horizon)] = [maxRanks]uint16{}
		l.earliest[slot(l.current+1)] = [maxRanks]uint16{}
	}
	return since
}

func slot(bucket int) int { return bucket & (ringSize - 1) }

func rankIndex(rank int) int { return min(max(rank, 0), maxRanks-1) }

// Promise returns the time after which a refused caller is to return. It is promised if there is room for
// the caller by then and it waits that long; otherwise it is the time at which there will be room.
func (l *Ledger) Promise(now time.Time, c Caller, f Forecast) (after time.Duration, promised bool) {
	since := l.advance(now)
	if p := l.find(since, c.Digest, false); p != nil && (c.Elapsed > 0 || since-p.made < repeatPeriod) {
		return max(p.due-since, minAfter), true // it has not waited, and is told the same time again
	}
	rank := rankIndex(c.Rank)
	due, ok := l.firstRoom(since, rank, f, c.Spread)
	after = max(due-since, minAfter)
	if ok && after <= c.Longest()-limitMargin {
		due = since + after
		l.reserve(since, due, rank, c.Digest)
		l.noteGiven(rank, after)
		return after, true
	}
	return min(max(after, c.Longest()+limitMargin), max(c.Remaining, minAfter)), false
}

// firstRoom returns when the first room for a request of the rank is expected, from the epoch on. It reports
// false for a time beyond the horizon.
func (l *Ledger) firstRoom(since time.Duration, rank int, f Forecast, spread float64) (time.Duration, bool) {
	perBucket := f.Rate * width.Seconds()
	ahead, earliest := f.Ahead, since+max(minAfter, f.NotBefore)
	for b := l.current; b < l.current+horizon; b++ {
		begins := time.Duration(b) * width
		if begins >= since+f.NotBefore || b == l.current && f.NotBefore <= 0 {
			ahead += l.promisedUpTo(b, rank)
			if begins >= earliest && ahead+1 <= max(perBucket, 1) && l.fits(b, f) {
				return begins + time.Duration(spread*float64(width)), perBucket > 0
			}
			ahead = max(ahead-perBucket, 0)
		}
	}
	end := time.Duration(l.current+horizon) * width
	if f.Rate <= 0 {
		return end, false
	}
	return end + time.Duration((ahead+spread)/f.Rate*float64(time.Second)), false
}

// fits reports whether the callers of all ranks that return in a bucket do not exceed the capacity with one
// more. Lower ranks that were promised the time before would otherwise form a wave with higher ones.
func (l *Ledger) fits(bucket int, f Forecast) bool {
	return f.Capacity <= 0 || l.promisedUpTo(bucket, maxRanks-1)+1 <= max(f.Capacity*width.Seconds(), 1)
}

// promisedUpTo returns the number of promises of a bucket for the rank and higher ones.
func (l *Ledger) promisedUpTo(bucket, rank int) float64 {
	sum := 0
	for _, n := range l.promised[slot(bucket)][:rank+1] {
		sum += int(n)
	}
	return float64(sum)
}

// reserve adds a promise to the schedule and to the table.
func (l *Ledger) reserve(since, due time.Duration, rank int, digest uint32) {
	increment(&l.promised[slot(int(due/width))][rank])
	increment(&l.expected[slot(int(due/width))][rank])
	if digest == 0 {
		return // it can be recognized by its elapsed time only
	}
	if l.promises == nil {
		l.promises = make([]promise, MaxPromises)
	}
	set := l.set(digest)
	at := 0
	for i := range set {
		if !set[i].used || set[i].expired(since) {
			at = i
			break
		}
		if set[i].due < set[at].due {
			at = i
		}
	}
	set[at] = promise{made: since, due: due, digest: digest, rank: uint8(rank), used: true}
}

func increment(n *uint16) {
	if *n < 1<<16-1 {
		*n++
	}
}

// noteGiven records the shortest time given in the current bucket.
func (l *Ledger) noteGiven(rank int, after time.Duration) {
	given := &l.earliest[slot(l.current)][rank]
	if ms := uint16(after.Milliseconds()); *given == 0 || ms < *given {
		*given = ms
	}
}

func (l *Ledger) set(digest uint32) []promise {
	first := int(digest%sets) * ways
	return l.promises[first : first+ways]
}

// expired reports whether the caller of the promise no longer counts as returning.
func (p *promise) expired(since time.Duration) bool { return since > p.due+past*width }

// find returns a promise for the work that is due, or one that is not due yet; nil if there is none.
func (l *Ledger) find(since time.Duration, digest uint32, due bool) *promise {
	if digest == 0 || l.promises == nil {
		return nil
	}
	var first *promise
	set := l.set(digest)
	for i := range set {
		p := &set[i]
		if !p.used || p.digest != digest || p.expired(since) || (since+earlyTolerance >= p.due) != due {
			continue
		}
		if first == nil || p.due < first.due {
			first = p
		}
	}
	return first
}

// Recognize reports whether a request is that of a caller who returns at the time promised here, before it,
// or neither. A promise that is due is redeemed by it.
func (l *Ledger) Recognize(now time.Time, digest uint32, elapsed time.Duration) fireflypath.ReturnState {
	since := l.advance(now)
	if p := l.find(since, digest, true); p != nil {
		l.release(p)
		return fireflypath.ReturnKept
	}
	if p := l.find(since, digest, false); p != nil && (elapsed > 0 || since-p.made < repeatPeriod) {
		return fireflypath.ReturnEarly
	}
	return fireflypath.ReturnNone
}

// Release gives up the promise of a caller who returned early and is served.
func (l *Ledger) Release(now time.Time, digest uint32) {
	if p := l.find(l.advance(now), digest, false); p != nil {
		l.release(p)
	}
}

// release removes a promise from the table and the schedule.
func (l *Ledger) release(p *promise) {
	p.used = false
	if n := &l.promised[slot(int(p.due/width))][p.rank]; *n > 0 {
		*n--
	}
}

// Redeem reports whether a caller whose promise is not known here counts as one that returns at the time
// that another dispatcher promised. It has been trying for the given time, and has the given time left.
//
// Callers return to any cell, while the promise is known only to the dispatcher that gave it. Each cell gets
// about as many of the others' callers as it loses to them. So a caller that has waited for about as long as
// this dispatcher told callers at the time of its first attempt takes the room of one of those that were
// promised a time here and have not come back. Callers without a promise wait for a third of their time, and
// are told apart by that.
func (l *Ledger) Redeem(now time.Time, rank int, elapsed, remaining time.Duration, f Forecast) bool {
	since, rank := l.advance(now), rankIndex(rank)
	if elapsed < minAfter-earlyTolerance || elapsed > time.Duration(waitedFraction*float64(elapsed+remaining))-limitMargin/2 {
		return false
	}
	if elapsed < since && elapsed < (ringSize-horizon)*width {
		given := time.Duration(l.earliest[slot(int((since-elapsed)/width))][rank]) * time.Millisecond
		if float64(elapsed) < minElapsedFraction*float64(given) {
			return false
		}
	}
	for b := max(int((since+earlyTolerance)/width), l.current); b >= max(l.current-past, 0); b-- {
		if n := &l.promised[slot(b)][rank]; *n > 0 {
			*n--
			return true
		}
	}
	room := f.Rate * (spareBuckets * width).Seconds()
	for b := l.current; b > max(l.current-spareBuckets, -1); b-- {
		for _, n := range l.expected[slot(b)][:rank+1] {
			room -= float64(n)
		}
	}
	if room < 1 {
		return false
	}
	increment(&l.expected[slot(l.current)][rank])
	return true
}

// Outstanding returns the number of promises that were not redeemed, of those that are not over.
func (l *Ledger) Outstanding(now time.Time) int {
	l.advance(now)
	sum := 0.0
	for b := max(l.current-past, 0); b <= l.current+horizon; b++ {
		sum += l.promisedUpTo(b, maxRanks-1)
	}
	return int(sum)
}
