package plan

import (
	"fmt"
	"slices"

	"github.com/fireflypath/fireflypath"
)

// breaks lists what worked under old and does not under next.
func breaks(old, next *fireflypath.Config) []string {
	var out []string
	out = append(out, emptyPools(old, next)...)
	out = append(out, lostModels(old, next)...)
	out = append(out, lostTeams(old, next)...)
	return out
}

// emptyPools finds pools that lose their last target in use.
func emptyPools(old, next *fireflypath.Config) []string {
	var out []string
	for _, p := range next.Pools {
		if usable(old, p.Name) > 0 && usable(next, p.Name) == 0 {
			out = append(out, fmt.Sprintf("pool %s would have no target that takes work: its requests wait and are refused at their deadlines", p.Name))
		}
	}
	return out
}

func usable(cfg *fireflypath.Config, pool string) int {
	n := 0
	for _, t := range cfg.Targets {
		if t.Pool == pool && !t.Drained {
			n++
		}
	}
	return n
}

func lostModels(old, next *fireflypath.Config) []string {
	var served []string
	for _, p := range next.Pools {
		served = append(served, p.Models...)
	}
	var out []string
	for _, p := range old.Pools {
		for _, m := range p.Models {
			if !slices.Contains(served, m) {
				out = append(out, fmt.Sprintf("model %s would be served by no pool: requests for it are refused", m))
			}
		}
	}
	return out
}

// lostTeams finds teams that go, lose their last key, a tier or a pool.
func lostTeams(old, next *fireflypath.Config) []string {
	after := byName(next.Teams)
	var out []string
	for i := range old.Teams {
		was := &old.Teams[i]
		is := after[was.Name]
		if is == nil {
			out = append(out, fmt.Sprintf("team %s would be gone: its requests are refused", was.Name))
			continue
		}
		if len(was.Keys) > 0 && len(is.Keys) == 0 {
			out = append(out, fmt.Sprintf("team %s would have no key: its requests are refused", was.Name))
		}
		for _, tier := range was.Tiers {
			if !slices.Contains(is.Tiers, tier) {
				out = append(out, fmt.Sprintf("team %s could no longer ask for tier %s", was.Name, tier))
			}
		}
		out = append(out, lostPools(was, is, old)...)
	}
	return out
}

func lostPools(was, is *fireflypath.Team, old *fireflypath.Config) []string {
	if len(is.Pools) == 0 {
		return nil
	}
	had := was.Pools
	if len(had) == 0 {
		for _, p := range old.Pools {
			had = append(had, p.Name)
		}
	}
	var out []string
	for _, pool := range had {
		if !slices.Contains(is.Pools, pool) {
			out = append(out, fmt.Sprintf("team %s could no longer use pool %s", was.Name, pool))
		}
	}
	return out
}
