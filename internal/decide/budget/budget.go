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

// cells is the number of cells of the sliding window. One more is kept, so that
// the window is never shorter than asked for.
const cells = 10

// Budget counts one pool's requests and repeats. It is not safe for concurrent use.
type Budget struct {
	// Ratio is how many repeats each request of the window allows.
	Ratio float64
	// Window is the time over which both are counted.
	Window time.Duration

	requests, repeats [cells + 1]int
	cell              int64
	// base is when counting began: a time of day that jumps moves no cell.
	base time.Time
}

// Request counts a request of a caller.
func (b *Budget) Request(now time.Time) {
	b.pass(now)
	b.requests[b.cell%(cells+1)]++
}

// Repeat takes one repeat, if the ratio and the allowance have room for it.
func (b *Budget) Repeat(now time.Time, allowance float64) bool {
	b.pass(now)
	if float64(sum(b.repeats[:])+1) > b.Ratio*float64(sum(b.requests[:]))+allowance {
		return false
	}
	b.repeats[b.cell%(cells+1)]++
	return true
}

// pass clears the cells that time has gone by.
func (b *Budget) pass(now time.Time) {
	if b.base.IsZero() {
		b.base = now
	}
	cell := int64(now.Sub(b.base)) / (int64(b.Window) / cells)
	if cell-b.cell > cells {
		b.requests, b.repeats = [cells + 1]int{}, [cells + 1]int{}
		b.cell = cell
		return
	}
	for b.cell < cell {
		b.cell++
		b.requests[b.cell%(cells+1)] = 0
		b.repeats[b.cell%(cells+1)] = 0
	}
}

func sum(vs []int) int {
	n := 0
	for _, v := range vs {
		n += v
	}
	return n
}
