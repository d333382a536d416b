package prefix

import (
	"testing"

	"github.com/matryer/is"
)

func hashes(from, n uint64) []uint64 {
	out := make([]uint64, n)
	for i := range out {
		out[i] = (from + uint64(i) + 1) * 0x9e3779b97f4a7c15
	}
	return out
}

func TestLookupIncludesTargetsWithShorterPrefixes(t *testing.T) {
	is := is.New(t)
	x := New()
	prompt := hashes(0, 40)
	x.Store(1, prompt[:8])
	x.Store(2, prompt[:32])
	targets, depths := x.Lookup(prompt, nil, nil)
	is.Equal(targets, []int32{2, 1})
	is.Equal(depths, []int{32, 8})
	x.Remove(2, prompt[:32])
	targets, depths = x.Lookup(prompt, nil, nil)
	is.Equal(targets, []int32{1})
	is.Equal(depths, []int{8})
	x.RemoveTarget(1)
	targets, _ = x.Lookup(prompt, nil, nil)
	is.Equal(len(targets), 0)
}

// Every prompt has blocks that no other prompt shares. They must not displace shared
// blocks that are looked up all the time.
func TestSharedBlocksOutliveUnsharedOnes(t *testing.T) {
	is := is.New(t)
	x := New()
	shared := hashes(0, 16)
	x.Store(1, shared)
	for i := range uint64(200) {
		x.Lookup(shared, nil, nil)
		x.Store(2, hashes(1000+i*1000, 1000))
	}
	targets, depths := x.Lookup(shared, nil, nil)
	is.Equal(targets[0], int32(1))
	is.True(depths[0] >= 1)
}
