// Package prefix remembers which targets hold which prompt prefixes.
//
// It answers shared prompts. Without it requests that begin alike are prefilled
// again on every target, and each target's small cache holds a bit of
// everything.
package prefix

import "slices"

const (
	// tableSize bounds the index; at about 24 bytes each it takes under 2 MB.
	tableSize = 1 << 16
	// maxTargets is how many targets are remembered for a block. More would only
	// offer the choice between targets that are all warm.
	maxTargets = 4
	none       = int32(-1)
)

// Index maps block hashes to targets. It is a table of fixed size in which a
// new block takes the place of an older one, so it needs no removal for what
// engines dropped without telling: a stale entry costs one prefill. Most blocks
// belong to one prompt only and are never asked for again; a block that was
// found keeps its row against the first of them.
type Index struct {
	entries []entry
}

type entry struct {
	hash    uint64
	targets [maxTargets]int32
	// recentlyFound is true if the block was found since another one asked for the row.
	recentlyFound bool
}

// New makes an empty Index.
func New() *Index {
	return &Index{}
}

// Store notes that a target holds the blocks.
func (x *Index) Store(target int32, hashes []uint64) {
	if x.entries == nil {
		x.entries = make([]entry, tableSize)
	}
	for _, h := range hashes {
		r := &x.entries[h%tableSize]
		if r.hash == h {
			r.addTarget(target)
			continue
		}
		if r.recentlyFound {
			r.recentlyFound = false
			continue
		}
		*r = entry{hash: h, targets: [maxTargets]int32{target, none, none, none}}
	}
}

// Remove notes that a target dropped the blocks.
func (x *Index) Remove(target int32, hashes []uint64) {
	if x.entries == nil {
		return
	}
	for _, h := range hashes {
		r := &x.entries[h%tableSize]
		if r.hash != h {
			continue
		}
		for i := range r.targets {
			if r.targets[i] == target {
				r.targets[i] = none
			}
		}
	}
}

// RemoveTarget removes a target from all rows, for one that was replaced.
func (x *Index) RemoveTarget(target int32) {
	for i := range x.entries {
		for j := range x.entries[i].targets {
			if x.entries[i].targets[j] == target {
				x.entries[i].targets[j] = none
			}
		}
	}
}

// Lookup appends the targets that probably hold the beginning of the prompt, and
// for each how many blocks of it. The longest known prefix is found by halving,
// as a prompt may have thousands of blocks; holders of half, a quarter and so on
// follow, since one of them may be idle where the best is busy.
func (x *Index) Lookup(hashes []uint64, targets []int32, depths []int) ([]int32, []int) {
	if x.entries == nil {
		return targets, depths
	}
	for n := x.longestPrefix(hashes); n > 0 && len(targets) < maxTargets; n /= 2 {
		r := &x.entries[hashes[n-1]%tableSize]
		if r.hash != hashes[n-1] {
			continue
		}
		r.recentlyFound = true
		for _, t := range r.targets {
			if t != none && !slices.Contains(targets, t) {
				targets = append(targets, t)
				depths = append(depths, n)
			}
		}
	}
	return targets, depths
}

// longestPrefix is the number of blocks of the longest known prefix.
func (x *Index) longestPrefix(hashes []uint64) int {
	lo, hi := 0, len(hashes)
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if x.contains(hashes[mid-1]) {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	return lo
}

func (x *Index) contains(h uint64) bool {
	r := &x.entries[h%tableSize]
	if r.hash != h {
		return false
	}
	for _, t := range r.targets {
		if t != none {
			return true
		}
	}
	return false
}

func (r *entry) addTarget(target int32) {
	free := 0
	for i, t := range r.targets {
		if t == target {
			return
		}
		if t == none {
			free = i
		}
	}
	if r.targets[free] != none {
		copy(r.targets[1:], r.targets[:maxTargets-1])
		free = 0
	}
	r.targets[free] = target
}
