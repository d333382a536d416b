package mix_test

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/fireflypath/fireflypath/internal/mix"
)

func TestArrivals(t *testing.T) {
	for _, m := range []mix.Mix{mix.Pozo(), mix.Meelwerk()} {
		t.Run(m.Name, func(t *testing.T) {
			is := is.New(t)
			o := mix.Options{Seed: 1, Rate: 100, Duration: time.Minute}
			got := slices.Collect(m.Arrivals(o))
			is.Equal(got, slices.Collect(m.Arrivals(o))) // same seed, same arrivals
			is.True(len(got) > 5600 && len(got) < 6400)  // expected 6000, standard deviation 77
			teams, tiers := map[string]bool{}, map[int]bool{}
			shortest, longest, firstBlocks := got[0].Cost.Prompt, 0, map[uint64]int{}
			for i, a := range got {
				is.Equal(a.Seq, i)
				teams[a.Team], tiers[a.Rank] = true, true
				shortest, longest = min(shortest, a.Cost.Prompt), max(longest, a.Cost.Prompt)
				if b := a.Blocks(); len(b) > 0 {
					firstBlocks[b[0]]++
				}
			}
			is.Equal(len(teams), 5)
			is.Equal(len(tiers), 3)
			is.True(longest > 80*shortest && longest <= 100*shortest)
			is.True(len(firstBlocks) < len(got)/2) // most prompts share their first block with another
		})
	}
}

func TestPromptMatchesBlocks(t *testing.T) {
	is := is.New(t)
	var first *mix.Arrival
	for a := range mix.Pozo().Arrivals(mix.Options{Seed: 2, Rate: 10, Duration: time.Hour}) {
		is.Equal(len(a.Prompt()), a.Cost.Prompt*mix.TokenBytes)
		if a.SharedBlocks < 2 {
			continue
		}
		if first == nil {
			first = &a
			continue
		}
		if a.DocumentSeed != first.DocumentSeed {
			continue
		}
		n := min(a.SharedBlocks, first.SharedBlocks)
		size := n * mix.BlockTokens * mix.TokenBytes
		is.Equal(a.Blocks()[:n], first.Blocks()[:n])
		is.Equal(a.Prompt()[:size], first.Prompt()[:size])
		return
	}
	t.Fatal("no two prompts of one document")
}

func TestBurst(t *testing.T) {
	is := is.New(t)
	o := mix.Options{Seed: 3, Rate: 100, Duration: time.Minute}
	o.Bursts = []mix.Burst{{Start: 20 * time.Second, Duration: 20 * time.Second, Team: "traders", Factor: 5}}
	var counts [3]int
	for a := range mix.Meelwerk().Arrivals(o) {
		if a.Team == "traders" {
			counts[a.At/(20*time.Second)]++
		}
	}
	is.True(counts[1] > 4*counts[0] && counts[1] > 4*counts[2])
}
