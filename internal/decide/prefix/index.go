// Package prefix remembers which targets hold which prompt prefixes.
//
// It answers shared prompts. Without it requests that begin alike are prefilled
// again on every target, and each target's small cache holds a bit of
// everything.
package prefix

const (
	// blocks bounds the index; at about 24 bytes each it takes under 2 MB.
	blocks = 1 << 16
	// holders is how many targets are remembered for a block. More would only
	// offer the choice between targets that are all warm.
	holders = 4
	none    = int32(-1)
)

// Index maps block hashes to targets. It is a table of fixed size in which a
// new block takes the place of an older one, so it needs no removal for what
// engines dropped without telling: a stale entry costs one prefill.
type Index struct {
	rows []row
}

type row struct {
	hash    uint64
	targets [holders]int32
}

// New makes an empty Index.
func New() *Index {
	return &Index{}
}

// Store notes that a target holds the blocks.
func (x *Index) Store(target int32, hashes []uint64) {
	if x.rows == nil {
		x.rows = make([]row, blocks)
	}
	for _, h := range hashes {
		r := &x.rows[h%blocks]
		if r.hash != h {
			*r = row{hash: h, targets: [holders]int32{target, none, none, none}}
			continue
		}
		r.add(target)
	}
}

// Drop notes that a target dropped the blocks.
func (x *Index) Drop(target int32, hashes []uint64) {
	if x.rows == nil {
		return
	}
	for _, h := range hashes {
		r := &x.rows[h%blocks]
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

// Forget removes a target from all rows, for one that was replaced.
func (x *Index) Forget(target int32) {
	for i := range x.rows {
		for j := range x.rows[i].targets {
			if x.rows[i].targets[j] == target {
				x.rows[i].targets[j] = none
			}
		}
	}
}

// Find appends the targets that hold the longest known part of the prompt, and
// how many blocks that is. It looks from the longest prefix down by halves, so
// a prompt of thousands of blocks costs few steps.
func (x *Index) Find(hashes []uint64, out []int32) ([]int32, int) {
	if x.rows == nil {
		return out, 0
	}
	lo, hi := 0, len(hashes)
	for lo < hi {
		mid := (lo + hi + 1) / 2
		if x.known(hashes[mid-1]) {
			lo = mid
		} else {
			hi = mid - 1
		}
	}
	if lo == 0 {
		return out, 0
	}
	for _, t := range x.rows[hashes[lo-1]%blocks].targets {
		if t != none {
			out = append(out, t)
		}
	}
	return out, lo
}

func (x *Index) known(h uint64) bool {
	r := &x.rows[h%blocks]
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

func (r *row) add(target int32) {
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
		copy(r.targets[1:], r.targets[:holders-1])
		free = 0
	}
	r.targets[free] = target
}
