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

func TestLayoutProperties(t *testing.T) {
	tests := []struct {
		daemons, cells, maxNeighbours int
	}{
		{1, 1, 0}, {2, 1, 1}, {9, 1, 8}, {12, 1, 11}, {13, 2, 12}, {36, 4, 20}, {90, 8, 24}, {370, 32, 28},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.daemons), func(t *testing.T) {
			is := is.New(t)
			daemons := names("d", tt.daemons)
			l := New(daemons)
			is.Equal(l.CellCount(), tt.cells)
			targets := names("t", 2700)
			served := map[string]int{}
			for _, d := range daemons {
				neighbours := l.Neighbours(d)
				is.True(len(neighbours) <= tt.maxNeighbours) // the number of connections stays small in any fleet
				for _, o := range neighbours {
					is.True(slices.Contains(l.Neighbours(o), d)) // connections are mutual
				}
				assigned, sharedWith := l.AssignedTargets(d, targets)
				is.True(slices.Contains(sharedWith, d))
				is.True(len(assigned) >= 2700/tt.cells/4)
				for _, m := range assigned {
					served[m]++
				}
			}
			is.Equal(len(served), len(targets)) // no target is left out
			is.True(diameter(l, daemons) <= 5)
		})
	}
}

// A pool of three targets is served by all daemons of a fleet of 32 cells.
func TestSmallPoolSharedByAllDaemons(t *testing.T) {
	is := is.New(t)
	daemons := names("d", 370)
	assigned, sharedWith := New(daemons).AssignedTargets("d7", names("t", 3))
	is.Equal(len(assigned), 3)
	is.Equal(len(sharedWith), 370)
	is.Equal(len(New(daemons).Sharing("d7", 3)), 370)
}

// Daemons that share targets are the same whichever of them asks, and the cell itself if the
// pool has enough targets for each cell.
func TestSharingDaemonsAgree(t *testing.T) {
	is := is.New(t)
	daemons := names("d", 370)
	l := New(daemons)
	for _, targets := range []int{1, 3, 8, 60, 128, 2700} {
		for _, d := range daemons[:20] {
			group := l.Sharing(d, targets)
			is.True(slices.Contains(group, d))
			is.Equal(l.Sharing(group[0], targets), group)
		}
	}
	is.Equal(l.Sharing("d7", 2700), l.Members("d7"))
}

// A daemon that joins 370 others must not change their cells and connections.
// Otherwise each replacement would cost connections and prefix caches in the whole
// fleet.
func TestJoinKeepsOtherConnections(t *testing.T) {
	is := is.New(t)
	before, after := New(names("d", 370)), New(names("d", 371))
	changed := 0
	for _, d := range names("d", 370) {
		for _, o := range before.Neighbours(d) {
			if !slices.Contains(after.Neighbours(d), o) {
				changed++
			}
		}
	}
	is.True(changed <= 2) // the two that were adjacent where the new one is inserted
}

// diameter returns the largest number of hops between two daemons, or len(daemons)
// if not all are connected. It starts from at most 20 daemons.
func diameter(l *Layout, daemons []string) int {
	longest := 0
	for _, from := range daemons[:min(len(daemons), 20)] {
		depth := map[string]int{from: 0}
		queue := []string{from}
		for len(queue) > 0 {
			d := queue[0]
			queue = queue[1:]
			longest = max(longest, depth[d])
			for _, o := range l.Neighbours(d) {
				if _, ok := depth[o]; !ok {
					depth[o] = depth[d] + 1
					queue = append(queue, o)
				}
			}
		}
		if len(depth) != len(daemons) {
			return len(daemons) // not connected
		}
	}
	return longest
}
