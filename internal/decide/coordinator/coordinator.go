// Package coordinator chooses the daemons that coordinate fleet-wide state.
package coordinator

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

// Choose returns up to n of the given live daemons, those with the lowest hashes of
// their names; daemons that are leaving are skipped. Daemons with the same view of the
// fleet choose the same ones in the same order, and a daemon that joins or leaves does not
// change the relative order of the others.
func Choose(members []fireflypath.Member, n int) []fireflypath.Member {
	type candidate struct {
		hash   uint64
		member fireflypath.Member
	}
	candidates := make([]candidate, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			candidates = append(candidates, candidate{xxhash.Sum64String(m.Name), m})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	out := make([]fireflypath.Member, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		out = append(out, c.member)
	}
	return out
}
