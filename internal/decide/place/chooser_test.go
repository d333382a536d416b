package place

import (
	"testing"

	"github.com/matryer/is"
)

// Nine daemons hold the same stale report. With one best target all would send
// their work there; unlike prompts must spread over equals, and like ones meet.
func TestScoredSpreadsPromptsOverEqualTargets(t *testing.T) {
	is := is.New(t)
	opts := make([]Option, 12)
	for i := range opts {
		opts[i] = Option{Target: int32(i), Hash: Mix(uint64(i) + 77), Score: 1}
	}
	opts[3].Score = 0.99
	opts[5].Score = 9
	var hits [12]int
	for prompt := range uint64(1200) {
		a := New(Scored, 1).Choose(Mix(prompt+1), opts)
		is.Equal(a, New(Scored, 2).Choose(Mix(prompt+1), opts)) // another daemon
		hits[a]++
	}
	is.Equal(hits[5], 0)
	for i, n := range hits {
		if i != 5 {
			is.True(n > 60 && n < 200) // 109 each
		}
	}
}

func TestBaselines(t *testing.T) {
	opts := []Option{
		{Target: 4, Hash: 1, Requests: 3, Score: 3},
		{Target: 2, Hash: 2, Requests: 1, Score: 1},
		{Target: 9, Hash: 3, Requests: 2, Score: 2},
	}
	tests := []struct {
		name string
		kind Kind
		want []int
	}{
		{"round robin in order of number", RoundRobin, []int{1, 0, 2, 1}},
		{"least outstanding", Least, []int{1, 1, 1, 1}},
		{"ranking in rotation, renewed after half", Ranking, []int{1, 2, 1, 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := New(tt.kind, 1)
			for _, want := range tt.want {
				is.Equal(c.Choose(0, opts), want)
			}
		})
	}
}
