// Package keeper chooses the daemons that keep what one place of a fleet has to know.
package keeper

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
)

// Coordinators are up to n live daemons with the lowest hashes of their names, those that leave
// left out. All daemons that know the same fleet choose the same ones in the same order,
// and one that comes or goes changes no other's place before the next.
func Coordinators(live []fireflypath.Member, n int) []fireflypath.Member {
	type hashed struct {
		hash   uint64
		member fireflypath.Member
	}
	all := make([]hashed, 0, len(live))
	for _, m := range live {
		if !m.Leaving {
			all = append(all, hashed{xxhash.Sum64String(m.Name), m})
		}
	}
	slices.SortFunc(all, func(a, b hashed) int { return cmp.Compare(a.hash, b.hash) })
	out := make([]fireflypath.Member, 0, n)
	for _, h := range all[:min(n, len(all))] {
		out = append(out, h.member)
	}
	return out
}
