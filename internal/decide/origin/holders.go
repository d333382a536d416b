package origin

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/place"
)

const (
	// mediumFleet is the number of other daemons up to which all of them are asked for a stream: the one
	// that began it is among them. In a larger fleet maxCandidates are asked.
	mediumFleet   = 40
	maxCandidates = 8
	// smallFleet is the number of daemons up to which a record has smallFleetCopies; a larger fleet does
	// not lose most of its daemons at once.
	smallFleet       = 32
	smallFleetCopies = 3
	largeFleetCopies = 2
)

// Candidates returns the daemons that may hold records of the stream apart from this one, the first ones
// first. All daemons that know the same members find nearly the same ones.
func Candidates(members []fireflypath.Member, self string, key Key) []fireflypath.Member {
	type ranked struct {
		member fireflypath.Member
		weight uint64
	}
	all := make([]ranked, 0, len(members))
	for _, m := range members {
		if m.Name != self {
			all = append(all, ranked{m, place.Mix64(xxhash.Sum64String(m.Name) ^ uint64(key))})
		}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.member.Name, b.member.Name))
	})
	if len(all) > mediumFleet {
		all = all[:maxCandidates]
	}
	out := make([]fireflypath.Member, 0, len(all))
	for _, r := range all {
		out = append(out, r.member)
	}
	return spreadDomains(out)
}

// spreadDomains moves the first candidate of another failure domain than the first one to second place,
// so that no loss of one domain takes all copies.
func spreadDomains(candidates []fireflypath.Member) []fireflypath.Member {
	if len(candidates) < 2 {
		return candidates
	}
	i := slices.IndexFunc(candidates, func(m fireflypath.Member) bool { return m.Domain != candidates[0].Domain })
	if i > 1 {
		m := candidates[i]
		copy(candidates[2:i+1], candidates[1:i])
		candidates[1] = m
	}
	return candidates
}

// Copies returns how many other daemons a record is written to.
func Copies(members int) int {
	if members <= smallFleet {
		return smallFleetCopies
	}
	return largeFleetCopies
}
