package teamshare

import (
	"cmp"
	"slices"
	"time"
)

// Share is what a team has recently used of a rank's capacity.
type Share struct {
	Team string
	Rank int
	// Used is the fraction of the rank's recent use. Due is the team's part of the weights of
	// all teams with requests.
	Used, Due float64
	// Waiting and InFlight count the team's requests.
	Waiting, InFlight int
}

// Limited reports whether the team has used its share while other teams have requests.
func (s Share) Limited() bool { return s.Due < 1 && s.Used >= s.Due }

// Share returns the share of the account.
func (l *Ledger) Share(now time.Time, h Handle) Share {
	a := &l.accounts[h]
	r := &l.ranks[a.rank]
	s := Share{Team: a.team, Rank: int(a.rank), Waiting: int(a.waiting), InFlight: int(a.inFlight)}
	if all := r.recent * decay(now, r.updated); all > 0 {
		s.Used = min(a.recent*decay(now, a.updated)/all, 1)
	}
	if r.weight > 0 {
		s.Due = a.weight / r.weight
	}
	return s
}

// Busiest appends the accounts with the most recent use, at most n of them, the busiest first.
// Teams without requests are not included.
func (l *Ledger) Busiest(now time.Time, n int, out []Share) []Share {
	first := len(out)
	for i := range l.accounts {
		if a := &l.accounts[i]; a.waiting+a.inFlight == 0 {
			continue
		}
		s := l.Share(now, Handle(i))
		if at, _ := slices.BinarySearchFunc(out[first:], s, compareShares); at < n {
			out = slices.Insert(out, first+at, s)
			out = out[:min(len(out), first+n)]
		}
	}
	return out
}

// compareShares orders by recent use, largest first.
func compareShares(a, b Share) int {
	return cmp.Or(cmp.Compare(b.Used, a.Used), cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Team, b.Team))
}
