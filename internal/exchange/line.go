package exchange

import (
	"slices"

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

func equal(a, b peer.Demand) bool {
	return a.Slots == b.Slots && slices.Equal(a.Requests, b.Requests) && slices.Equal(a.Busy, b.Busy)
}

func sum(vs []int) int {
	n := 0
	for _, v := range vs {
		n += v
	}
	return n
}
