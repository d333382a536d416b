package cell

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"
)

func names(prefix string, n int) []string {
	var out []string
	for i := range n {
		out = append(out, fmt.Sprintf("%s%d", prefix, i))
	}
	return out
}

func TestLayout(t *testing.T) {
	tests := []struct {
		daemons, cells, links int
	}{
		{1, 1, 0}, {2, 1, 1}, {9, 1, 8}, {12, 1, 11}, {13, 2, 12}, {36, 4, 20}, {90, 8, 24}, {370, 32, 28},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.daemons), func(t *testing.T) {
			is := is.New(t)
			ds := names("d", tt.daemons)
			l := New(ds)
			is.Equal(l.Cells(), tt.cells)
			targets := names("t", 2700)
			served := map[string]int{}
			for _, d := range ds {
				links := l.Links(d)
				is.True(len(links) <= tt.links) // the largest degree stays flat
				for _, o := range links {
					is.True(slices.Contains(l.Links(o), d)) // links are mutual
				}
				mine, mates := l.Serves(d, targets)
				is.True(slices.Contains(mates, d))
				is.True(len(mine) >= 2700/tt.cells/4)
				for _, m := range mine {
					served[m]++
				}
			}
			is.Equal(len(served), len(targets)) // no target is left out
			is.True(diameter(l, ds) <= 5)
		})
	}
}

// A pool of three targets in a fleet of 32 cells is served by all daemons.
func TestSmallPoolIsSharedByAll(t *testing.T) {
	is := is.New(t)
	ds := names("d", 370)
	mine, mates := New(ds).Serves("d7", names("t", 3))
	is.Equal(len(mine), 3)
	is.Equal(len(mates), 370)
}

// A daemon that joins 370 must not move others to other cells or links, or each
// replacement would cost connections and prefix caches all over the fleet.
func TestJoinMovesNobody(t *testing.T) {
	is := is.New(t)
	before, after := New(names("d", 370)), New(names("d", 371))
	changed := 0
	for _, d := range names("d", 370) {
		for _, o := range before.Links(d) {
			if !slices.Contains(after.Links(d), o) {
				changed++
			}
		}
	}
	is.True(changed <= 2) // the two that stood side by side where it came in
}

// diameter is the largest number of steps between two daemons.
func diameter(l *Layout, ds []string) int {
	far := 0
	for _, from := range ds[:min(len(ds), 20)] {
		depth := map[string]int{from: 0}
		queue := []string{from}
		for len(queue) > 0 {
			d := queue[0]
			queue = queue[1:]
			far = max(far, depth[d])
			for _, o := range l.Links(d) {
				if _, ok := depth[o]; !ok {
					depth[o] = depth[d] + 1
					queue = append(queue, o)
				}
			}
		}
		if len(depth) != len(ds) {
			return len(ds) // not connected
		}
	}
	return far
}
