package plan

import (
	"fmt"
	"slices"

	"github.com/fireflypath/fireflypath"
)

// breakingChanges lists what works under the old configuration but not under the next.
func breakingChanges(old, next *fireflypath.Config) []string {
	var out []string
	out = append(out, poolsWithoutTargets(old, next)...)
	out = append(out, unservedModels(old, next)...)
	out = append(out, restrictedTeams(old, next)...)
	return out
}

// poolsWithoutTargets finds pools that lose their last usable target.
func poolsWithoutTargets(old, next *fireflypath.Config) []string {
	var out []string
	for _, p := range next.Pools {
		if countUsable(old, p.Name) > 0 && countUsable(next, p.Name) == 0 {
			out = append(out, fmt.Sprintf("pool %s would have no target that takes work: its requests wait and are refused at their deadlines", p.Name))
		}
	}
	return out
}

func countUsable(cfg *fireflypath.Config, pool string) int {
	n := 0
	for _, t := range cfg.Targets {
		if t.Pool == pool && !t.Drained {
			n++
		}
	}
	return n
}

func unservedModels(old, next *fireflypath.Config) []string {
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

// restrictedTeams finds teams that are removed or lose their last key, a tier or a pool.
func restrictedTeams(old, next *fireflypath.Config) []string {
	nextByName := byName(next.Teams)
	var out []string
	for i := range old.Teams {
		oldTeam := &old.Teams[i]
		nextTeam := nextByName[oldTeam.Name]
		if nextTeam == nil {
			out = append(out, fmt.Sprintf("team %s would be gone: its requests are refused", oldTeam.Name))
			continue
		}
		if len(oldTeam.Keys) > 0 && len(nextTeam.Keys) == 0 {
			out = append(out, fmt.Sprintf("team %s would have no key: its requests are refused", oldTeam.Name))
		}
		for _, tier := range oldTeam.Tiers {
			if !slices.Contains(nextTeam.Tiers, tier) {
				out = append(out, fmt.Sprintf("team %s could no longer ask for tier %s", oldTeam.Name, tier))
			}
		}
		out = append(out, revokedPools(oldTeam, nextTeam, old)...)
	}
	return out
}

func revokedPools(oldTeam, nextTeam *fireflypath.Team, old *fireflypath.Config) []string {
	if len(nextTeam.Pools) == 0 {
		return nil
	}
	allowed := oldTeam.Pools
	if len(allowed) == 0 {
		for _, p := range old.Pools {
			allowed = append(allowed, p.Name)
		}
	}
	var out []string
	for _, pool := range allowed {
		if !slices.Contains(nextTeam.Pools, pool) {
			out = append(out, fmt.Sprintf("team %s could no longer use pool %s", oldTeam.Name, pool))
		}
	}
	return out
}
