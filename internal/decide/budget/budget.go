// Package budget limits how many retries a daemon adds to the requests for a pool.
//
// Without a limit, failures multiply load: when a third of the targets is gone, retries of
// everything that failed are added to the usual requests, at the remaining targets. The
// limit holds over all daemons although they exchange nothing for it: each one may retry a
// fraction of the requests that it received itself, and has a part of the fixed allowance.
// A daemon that restarts loses its count of requests as well as that of retries.
package budget

import "time"

// buckets is the number of buckets of the sliding window. One more is kept, so that the
// counts never cover less than the window.
const buckets = 10

// Budget counts one pool's requests and retries. It is not safe for concurrent use.
type Budget struct {
	// Ratio is how many retries are allowed per request in the window.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration

	requests, retries [buckets + 1]int
	bucket            int64
	// startedAt is when counting began. Buckets are relative to it, so that a jump of the
	// wall clock does not move them.
	startedAt time.Time
}

// CountRequest counts a caller's request.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.bucket%(buckets+1)]++
}

// TryRetry counts a retry and reports whether the ratio and the allowance permit it.
func (b *Budget) TryRetry(now time.Time, allowance float64) bool {
	b.advance(now)
	if float64(sum(b.retries[:])+1) > b.Ratio*float64(sum(b.requests[:]))+allowance {
		return false
	}
	b.retries[b.bucket%(buckets+1)]++
	return true
}

// advance clears the buckets that have left the window.
func (b *Budget) advance(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	bucket := int64(now.Sub(b.startedAt)) / (int64(b.Window) / buckets)
	if bucket-b.bucket > buckets {
		b.requests, b.retries = [buckets + 1]int{}, [buckets + 1]int{}
		b.bucket = bucket
		return
	}
	for b.bucket < bucket {
		b.bucket++
		b.requests[b.bucket%(buckets+1)] = 0
		b.retries[b.bucket%(buckets+1)] = 0
	}
}

func sum(counts []int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}
