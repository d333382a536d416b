package table

import (
	"cmp"
	"math"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

// quotaGroup identifies quotas that can be compared: those of teams of the same rank in the same unit.
type quotaGroup struct {
	unit fireflypath.Unit
	// rank is the rank of the teams, or -1 if the routes decide.
	rank int
}

// groupOf returns the group of the team's quota. It reports false if the team has no quota.
func groupOf(team *fireflypath.Team) (quotaGroup, bool) {
	if team.Quota == nil || team.Quota.Rate <= 0 {
		return quotaGroup{}, false
	}
	g := quotaGroup{unit: team.Quota.Unit, rank: -1}
	if team.Rank != nil {
		g.rank = *team.Rank
	}
	return g, true
}

// smallestQuotas returns the smallest quota of each group.
func smallestQuotas(teams []fireflypath.Team) map[quotaGroup]float64 {
	out := map[quotaGroup]float64{}
	for i := range teams {
		g, ok := groupOf(&teams[i])
		if !ok {
			continue
		}
		if least, known := out[g]; !known || teams[i].Quota.Rate < least {
			out[g] = teams[i].Quota.Rate
		}
	}
	return out
}

// maxQuotaFactor bounds by how much a quota raises a team's weight, so that one tiny quota does not make
// the weights of teams without quota meaningless.
const maxQuotaFactor = 100

// Weight returns the weight of the team in units of 1/teamshare.DefaultWeight: its configured weight,
// raised by the ratio of its quota to the smallest one. Quotas are set in proportion to the usual load.
// With equal weights, a team with a large usual load would lose most of it as soon as another team sends
// too much.
func (t *Table) Weight(team *fireflypath.Team) int {
	if team == nil {
		return teamshare.DefaultWeight
	}
	factor := 1.0
	if g, ok := groupOf(team); ok {
		factor = min(max(team.Quota.Rate/t.leastQuota[g], 1), maxQuotaFactor)
	}
	return int(math.Round(float64(cmp.Or(team.Weight, 1)) * factor * teamshare.DefaultWeight))
}
