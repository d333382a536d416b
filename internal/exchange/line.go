package exchange

import (
	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/peer"
)

// digits is the precision of counts on the wire: two digits are within 5%,
// and counts that change less are not sent again.
const digits = 100

// short rounds a demand for the wire. Tokens are left out: windows are split by
// requests.
func short(d fireflypath.Demand) peer.Demand {
	return peer.Demand{Pool: d.Pool, Requests: brief(d.Requests), Busy: brief(d.Busy), Slots: rounded(d.Slots)}
}

// brief rounds counts and drops zeros at the end.
func brief(vs []int) []int {
	out := make([]int, len(vs))
	n := 0
	for i, v := range vs {
		out[i] = rounded(v)
		if v != 0 {
			n = i + 1
		}
	}
	return out[:n]
}

func rounded(v int) int {
	unit := 1
	for v/unit >= digits {
		unit *= 10
	}
	return (v + unit/2) / unit * unit
}

// Changes below a tenth of the slots, or below a fifth of the count itself, are
// not told, to stay within the letter's 3 KB/s; a part is off by a tenth at most.
const (
	slotsPart = 10
	countPart = 5
)

// matters reports whether a line differs so much that the peers must hear of it.
func matters(told, fresh peer.Demand) bool {
	if differs(told.Slots, fresh.Slots, 0) {
		return true
	}
	least := fresh.Slots / slotsPart
	return anyDiffers(told.Requests, fresh.Requests, least) || anyDiffers(told.Busy, fresh.Busy, least)
}

func anyDiffers(a, b []int, least int) bool {
	for i := range max(len(a), len(b)) {
		if differs(at(a, i), at(b, i), least) {
			return true
		}
	}
	return false
}

func at(vs []int, i int) int {
	if i < len(vs) {
		return vs[i]
	}
	return 0
}

// differs reports a change above the bounds, or between nothing and something.
func differs(a, b, least int) bool {
	d := max(a-b, b-a)
	if d == 0 {
		return false
	}
	return a == 0 || b == 0 || d > max(least, max(a, b)/countPart)
}

func sum(vs []int) int {
	n := 0
	for _, v := range vs {
		n += v
	}
	return n
}
