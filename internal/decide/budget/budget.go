// Package budget bounds how many repeats a daemon adds to the requests for a pool.
//
// It answers failures that multiply load: when a third of the targets are gone,
// repeats of everything that failed come on top of the usual requests, at the
// targets that are left. The bound holds over all daemons although they do not
// talk about it: each may repeat a fraction of what it was asked itself, and has
// a part of the fixed allowance. A daemon that restarts forgets both, what it
// used and what entitled it.
package budget

import "time"

// buckets is the number of cells of the sliding window. One more is kept, so that
// the window is never shorter than asked for.
const buckets = 10

// Budget counts one pool's requests and repeats. It is not safe for concurrent use.
type Budget struct {
	// Ratio is how many repeats each request of the window allows.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration

	requests, retries [buckets + 1]int
	bucket            int64
	// startedAt is when counting began: a time of day that jumps moves no cell.
	startedAt time.Time
}

// CountRequest counts a request of a caller.
func (b *Budget) CountRequest(now time.Time) {
	b.advance(now)
	b.requests[b.bucket%(buckets+1)]++
}

// TryRetry takes one repeat, if the ratio and the allowance have room for it.
func (b *Budget) TryRetry(now time.Time, allowance float64) bool {
	b.advance(now)
	if float64(sum(b.retries[:])+1) > b.Ratio*float64(sum(b.requests[:]))+allowance {
		return false
	}
	b.retries[b.bucket%(buckets+1)]++
	return true
}

// advance clears the cells that time has gone by.
func (b *Budget) advance(now time.Time) {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	cell := int64(now.Sub(b.startedAt)) / (int64(b.Window) / buckets)
	if cell-b.bucket > buckets {
		b.requests, b.retries = [buckets + 1]int{}, [buckets + 1]int{}
		b.bucket = cell
		return
	}
	for b.bucket < cell {
		b.bucket++
		b.requests[b.bucket%(buckets+1)] = 0
		b.retries[b.bucket%(buckets+1)] = 0
	}
}

func sum(vs []int) int {
	n := 0
	for _, v := range vs {
		n += v
	}
	return n
}
