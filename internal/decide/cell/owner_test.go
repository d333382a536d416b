package cell

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// Guards against requests for slots that go to the wrong cell: the identifier, the members and the
// targets of a cell must agree with what its daemons use.
func TestCellsOwnWhatTheirDaemonsUse(t *testing.T) {
	for _, daemons := range []int{1, 9, 13, 73, 370} {
		is := is.New(t)
		all, targets := names("d", daemons), names("t", 140*daemons/73+4)
		l := New(all)
		owners, seen := l.Owners(targets), 0
		for id := l.CellCount(); id < 2*l.CellCount(); id++ {
			members := l.MembersOf(id)
			seen += len(members)
			for _, d := range members {
				is.Equal(l.ID(d), id)
				assigned, sharedWith := l.AssignedTargets(d, targets)
				if len(sharedWith) > len(members) {
					is.Equal(len(owners), 0) // cells share targets
					continue
				}
				for _, target := range targets {
					is.Equal(owners[target] == id, slices.Contains(assigned, target))
				}
			}
		}
		is.Equal(seen, daemons)
		is.Equal(l.ID("unknown"), 0)
	}
}
