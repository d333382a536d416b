// Package prefix records which targets have which prompt prefixes in their caches.
//
// Without it, requests with a common prefix are prefilled again on every target, and each
// target's small cache holds a bit of everything.
package prefix

import "slices"

const (
	// tableSize is the number of entries; at about 24 bytes each they take under 2 MB.
	tableSize = 1 << 16
	// maxTargets is how many targets are recorded per block. More would only add a choice
	// between targets that all have the block cached.
	maxTargets = 4
	none       = int32(-1)
)

// Index maps block hashes to targets. It is a table of fixed size in which a new block
// replaces an older one. Blocks that an engine evicts without notice need no removal: a
// stale entry costs one prefill. Most blocks belong to a single prompt and are never
// looked up again, so an entry that was found survives the first attempt to replace it.
type Index struct {
	entries []entry
}

type entry struct {
	hash    uint64
	targets [maxTargets]int32
	// recentlyFound is true if the entry was found since the last attempt to replace it.
	recentlyFound bool
}

// New returns an empty Index.
func New() *Index {
	return &Index{}
}

// Store records that a target has the blocks.
func (x *Index) Store(target int32, hashes []uint64) {
	if x.entries == nil {
		x.entries = make([]entry, tableSize)
	}
	for _, h := range hashes {
		e := &x.entries[h%tableSize]
		if e.hash == h {
			e.addTarget(target)
			continue
		}
		if e.recentlyFound {
			e.recentlyFound = false
			continue
		}
		*e = entry{hash: h, targets: [maxTargets]int32{target, none, none, none}}
	}
}

// Remove records that a target no longer has the blocks.
func (x *Index) Remove(target int32, hashes []uint64) {
	if x.entries == nil {
		return
	}
	for _, h := range hashes {
		e := &x.entries[h%tableSize]
		if e.hash != h {
			continue
		}
		for i := range e.targets {
			if e.targets[i] == target {
				e.targets[i] = none
			}
		}
	}
}

// RemoveTarget removes a target that was replaced from all entries.
func (x *Index) RemoveTarget(target int32) {
	for i := range x.entries {
		for j := range x.entries[i].targets {
			if x.entries[i].targets[j] == target {
				x.entries[i].targets[j] = none
			}
		}
	}
}

// Lookup appends the targets that probably have the beginning of the prompt, and for each
// the number of blocks. The longest known prefix is found by binary search, as a prompt
// may have thousands of blocks. Targets with half of it, a quarter and so on follow, since
// one of them may be idle while the best is busy.
func (x *Index) Lookup(hashes []uint64, targets []int32, depths []int) ([]int32, []int) {
	if x.entries == nil {
		return targets, depths
	}
	for n := x.longestPrefix(hashes); n > 0 && len(targets) < maxTargets; n /= 2 {
		e := &x.entries[hashes[n-1]%tableSize]
		if e.hash != hashes[n-1] {
			continue
		}
		e.recentlyFound = true
		for _, t := range e.targets {
			if t != none && !slices.Contains(targets, t) {
				targets = append(targets, t)
				depths = append(depths, n)
			}
		}
	}
	return targets, depths
}

// longestPrefix is the number of blocks in the longest known prefix.
func (x *Index) longestPrefix(hashes []uint64) int {
	low, high := 0, len(hashes)
	for low < high {
		mid := (low + high + 1) / 2
		if x.contains(hashes[mid-1]) {
			low = mid
		} else {
			high = mid - 1
		}
	}
	return low
}

func (x *Index) contains(h uint64) bool {
	e := &x.entries[h%tableSize]
	if e.hash != h {
		return false
	}
	for _, t := range e.targets {
		if t != none {
			return true
		}
	}
	return false
}

func (e *entry) addTarget(target int32) {
	free := 0
	for i, t := range e.targets {
		if t == target {
			return
		}
		if t == none {
			free = i
		}
	}
	if e.targets[free] != none {
		copy(e.targets[1:], e.targets[:maxTargets-1])
		free = 0
	}
	e.targets[free] = target
}
