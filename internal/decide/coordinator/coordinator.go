// Package coordinator chooses the daemons that coordinate fleet-wide state.
package coordinator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

type candidate struct {
	hash   uint64
	member fireflypath.Member
}

func (c candidate) compare(other candidate) int {
	return cmp.Or(c.member.CompareCapacity(other.member), cmp.Compare(c.hash, other.hash))
}

// Choose returns up to n of the given live daemons, those on the strongest hosts and, among
// equals, with the lowest hashes of their names; daemons that are leaving are skipped. A
// coordinator receives calls of the whole fleet, for which the link of a small host may be too
// slow. Daemons with the same view of the fleet choose the same ones in the same order, and a
// daemon that joins or leaves does not change the relative order of the others.
func Choose(members []fireflypath.Member, n int) []fireflypath.Member {
	chosen := make([]candidate, 0, n+1)
	for _, m := range members {
		if m.Leaving {
			continue
		}
		c := candidate{xxhash.Sum64String(m.Name), m}
		if len(chosen) == n && c.compare(chosen[n-1]) >= 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(chosen, c, candidate.compare)
		chosen = slices.Insert(chosen, i, c)[:min(len(chosen)+1, n)]
	}
	out := make([]fireflypath.Member, 0, len(chosen))
	for _, c := range chosen {
		out = append(out, c.member)
	}
	return out
}
