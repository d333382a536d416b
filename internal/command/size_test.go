package command_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/command"
	"github.com/fireflypath/fireflypath/internal/plan"
)

// largeConfig has the proportions of the largest planned fleet: 3 tiers, 7 models and
// one target for every eleven teams.
func largeConfig(teams int) *fireflypath.Config {
	cfg := &fireflypath.Config{Generation: 1}
	for rank, name := range []string{"gold", "silver", "bronze"} {
		cfg.Tiers = append(cfg.Tiers, fireflypath.Tier{Name: name, Rank: rank, Deadline: 1_000_000_000})
	}
	for i := range 7 {
		cfg.Pools = append(cfg.Pools, fireflypath.Pool{
			Name: fmt.Sprint("pool", i), Kind: fireflypath.KindEngine, Models: []string{fmt.Sprint("model", i)},
		})
	}
	for i := range teams {
		cfg.Teams = append(cfg.Teams, fireflypath.Team{
			Name: fmt.Sprint("team", i), Tiers: []string{"silver", "bronze"}, Weight: 1 + i%5,
			Keys: []fireflypath.Key{{Hash: fmt.Sprintf("%064x", i)}},
		})
	}
	for i := range teams * 27 / 290 {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{
			Name: fmt.Sprint("target", i), Pool: fmt.Sprint("pool", i%7),
			Addr: fmt.Sprintf("10.%d.%d.1:9000", i/256, i%256), Domain: "a",
		})
	}
	return cfg
}

// A configuration of 29,000 teams and 2,700 targets must be within the limits of package
// check, or a fleet of that size could not make any change.
func TestLargeConfigurationIsAllowed(t *testing.T) {
	is := is.New(t)
	s, err := command.Parse("drain target target2699")
	is.NoErr(err)
	next, err := s.Apply(largeConfig(29_000), now)
	is.NoErr(err)
	is.Equal(len(next.Targets), 2700)
}

// BenchmarkApply measures one change, from parsing the command to the checked configuration.
func BenchmarkApply(b *testing.B) {
	for _, teams := range []int{5, 2_900, 29_000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			old := largeConfig(teams)
			b.ReportAllocs()
			for b.Loop() {
				s, err := command.Parse("set team team1 weight 3")
				if err != nil {
					b.Fatal(err)
				}
				if _, err := s.Apply(old, now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkPlan measures the comparison of two configurations with one difference.
func BenchmarkPlan(b *testing.B) {
	for _, teams := range []int{5, 2_900, 29_000} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			old, next := largeConfig(teams), largeConfig(teams)
			next.Teams[2].Weight = 9
			for b.Loop() {
				plan.Compare(old, next)
			}
		})
	}
}
