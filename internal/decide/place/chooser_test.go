package place

import (
	"testing"

	"github.com/matryer/is"
)

// Nine daemons act on the same stale report. If they preferred a single best
// target, all would send their requests there. Different prompts must spread over
// the targets with about equal scores, and equal prompts must reach the same target
// from every daemon.
func TestScoredSpreadsPromptsAmongEqualTargets(t *testing.T) {
	is := is.New(t)
	candidates := make([]Candidate, 12)
	for i := range candidates {
		candidates[i] = Candidate{Target: int32(i), Hash: Mix64(uint64(i) + 77), Score: 1}
	}
	candidates[3].Score = 0.99
	candidates[5].Score = 9
	var hits [12]int
	for prompt := range uint64(1200) {
		chosen := New(Scored, 1).Choose(Mix64(prompt+1), candidates)
		is.Equal(chosen, New(Scored, 2).Choose(Mix64(prompt+1), candidates)) // another daemon
		hits[chosen]++
	}
	is.Equal(hits[5], 0)
	for i, n := range hits {
		if i != 5 {
			is.True(n > 60 && n < 200) // 109 expected
		}
	}
}

func TestBaselinePolicies(t *testing.T) {
	candidates := []Candidate{
		{Target: 4, Hash: 1, Requests: 3, Score: 3},
		{Target: 2, Hash: 2, Requests: 1, Score: 1},
		{Target: 9, Hash: 3, Requests: 2, Score: 2},
	}
	tests := []struct {
		name   string
		policy Policy
		want   []int
	}{
		{"round robin in order of target index", RoundRobin, []int{1, 0, 2, 1}},
		{"fewest outstanding requests", LeastRequests, []int{1, 1, 1, 1}},
		{"cached ranking, renewed after half", CachedRanking, []int{1, 2, 1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := New(tt.policy, 1)
			for _, want := range tt.want {
				is.Equal(c.Choose(0, candidates), want)
			}
		})
	}
}
