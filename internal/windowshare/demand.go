package windowshare

import (
	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// precision limits counts on the wire to two significant digits. They are within 5% of
// the exact value, and counts that change less are not sent again.
const precision = 100

// wireDemand rounds a demand for the wire. Tokens are left out, because windows are split
// by requests.
func wireDemand(d fireflypath.Demand) peer.Demand {
	return peer.Demand{Pool: d.Pool, WaitingRequests: roundCounts(d.WaitingRequests), RunningRequests: roundCounts(d.RunningRequests), Slots: roundCount(d.Slots)}
}

// roundCounts rounds counts and drops trailing zeros.
func roundCounts(vs []int) []int {
	out := make([]int, len(vs))
	n := 0
	for i, v := range vs {
		out[i] = roundCount(v)
		if v != 0 {
			n = i + 1
		}
	}
	return out[:n]
}

func roundCount(v int) int {
	unit := 1
	for v/unit >= precision {
		unit *= 10
	}
	return (v + unit/2) / unit * unit
}

// Changes below a tenth of the slots or below a fifth of the count itself are not sent,
// to stay within the limit of 3 KB/s for control traffic. A computed fraction is off by
// a tenth at most.
const (
	slotsDivisor = 10
	countDivisor = 5
)

// changedEnough reports whether a demand differs from the announced one so much that it
// must be sent to the peers.
func changedEnough(announced, current peer.Demand) bool {
	if countDiffers(announced.Slots, current.Slots, 0) {
		return true
	}
	minChange := current.Slots / slotsDivisor
	return anyCountDiffers(announced.WaitingRequests, current.WaitingRequests, minChange) || anyCountDiffers(announced.RunningRequests, current.RunningRequests, minChange)
}

func anyCountDiffers(a, b []int, minChange int) bool {
	for i := range max(len(a), len(b)) {
		if countDiffers(countAt(a, i), countAt(b, i), minChange) {
			return true
		}
	}
	return false
}

func countAt(vs []int, i int) int {
	if i < len(vs) {
		return vs[i]
	}
	return 0
}

// countDiffers reports a change above the thresholds, or between zero and nonzero.
func countDiffers(a, b, minChange int) bool {
	d := max(a-b, b-a)
	if d == 0 {
		return false
	}
	return a == 0 || b == 0 || d > max(minChange, max(a, b)/countDivisor)
}

func sum(vs []int) int {
	n := 0
	for _, v := range vs {
		n += v
	}
	return n
}
