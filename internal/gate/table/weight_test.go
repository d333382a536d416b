package table

import (
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/teamshare"
)

// A team with a large usual load must get a share in proportion to it, no team less than its configured
// weight, and quotas that cannot be compared must not be.
func TestWeightFollowsQuota(t *testing.T) {
	is := is.New(t)
	quota := func(unit fireflypath.Unit, rate float64) *fireflypath.Quota {
		return &fireflypath.Quota{Unit: unit, Rate: rate}
	}
	low := 2
	teams := []fireflypath.Team{
		{Name: "least", Quota: quota(fireflypath.UnitRequests, 10)},
		{Name: "large", Quota: quota(fireflypath.UnitRequests, 53)},
		{Name: "heavy", Weight: 3, Quota: quota(fireflypath.UnitRequests, 20)},
		{Name: "unlimited"},
		{Name: "zero", Quota: quota(fireflypath.UnitRequests, 0)},
		{Name: "tokens", Quota: quota(fireflypath.UnitTokens, 90_000)},
		{Name: "low", Rank: &low, Quota: quota(fireflypath.UnitRequests, 1)},
		{Name: "low-huge", Rank: &low, Quota: quota(fireflypath.UnitRequests, 1e9)},
	}
	table := New(&fireflypath.Config{Teams: teams})
	want := []int{10, 53, 60, 10, 10, 10, 10, maxQuotaFactor * 10}
	for i := range teams {
		is.Equal(table.Weight(&teams[i]), want[i])
		is.True(table.Weight(&teams[i]) >= teamshare.DefaultWeight)
	}
	is.Equal(table.Weight(nil), teamshare.DefaultWeight)
}
