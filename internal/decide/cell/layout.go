// Package cell divides a fleet of daemons into small groups that share the same
// targets, so that the traffic between daemons does not grow with the fleet.
package cell

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxMeanSize bounds the mean size of a cell. Nine daemons, the current fleet, form
// one cell. At 370 daemons 32 cells of 11 or 12 daemons send 12 heartbeats per
// second each, which fits in 3 KB/s; cells twice as large would not.
const maxMeanSize = 12

// Layout is the immutable assignment of a set of daemons to cells. Daemons with the
// same set compute the same layout.
//
// A daemon's cell is given by the first bits of the hash of its name, and its
// connections to other cells by the hashes of pairs of names, so that a daemon that
// joins or leaves moves no other. With cells cut by rank, each join made a good
// part of 370 daemons reconnect, and a fleet whose daemons all started at once
// never settled.
type Layout struct {
	// names is sorted by hash, which mixes failure domains.
	names      []string
	hashes     []uint64
	prefixBits int
}

// New returns the layout of the daemons with the given names.
func New(names []string) *Layout {
	l := &Layout{names: sortByHash(names)}
	for _, n := range l.names {
		l.hashes = append(l.hashes, xxhash.Sum64String(n))
	}
	for len(names) > maxMeanSize<<l.prefixBits {
		l.prefixBits++
	}
	return l
}

// sortByHash returns the names in the order of their hashes.
func sortByHash(names []string) []string {
	type hashed struct {
		name string
		hash uint64
	}
	hs := make([]hashed, len(names))
	for i, n := range names {
		hs[i] = hashed{n, xxhash.Sum64String(n)}
	}
	slices.SortFunc(hs, func(a, b hashed) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return strings.Compare(a.name, b.name)
	})
	out := make([]string, len(names))
	for i, h := range hs {
		out[i] = h.name
	}
	return out
}

// CellCount returns the number of cells, a power of two.
func (l *Layout) CellCount() int { return 1 << l.prefixBits }

// index returns the position of a name in l.names, or -1.
func (l *Layout) index(name string) int { return slices.Index(l.names, name) }

// hashRange returns the range of positions whose hashes have the same first bits as
// the one at index.
func (l *Layout) hashRange(index, bits int) (from, to int) {
	if bits == 0 {
		return 0, len(l.names)
	}
	prefix := l.hashes[index] >> (64 - bits)
	from = sort.Search(len(l.hashes), func(j int) bool { return l.hashes[j]>>(64-bits) >= prefix })
	to = sort.Search(len(l.hashes), func(j int) bool { return l.hashes[j]>>(64-bits) > prefix })
	return from, to
}

// Members returns the daemons in the cell of self, including self.
func (l *Layout) Members(self string) []string {
	i := l.index(self)
	if i < 0 {
		return nil
	}
	from, to := l.hashRange(i, l.prefixBits)
	return l.names[from:to]
}

// ID returns the identifier of the cell of a daemon, or 0 if the daemon is unknown. Identifiers are
// CellCount to 2*CellCount-1, so that none means another cell in a layout with more cells.
func (l *Layout) ID(name string) int {
	i := l.index(name)
	if i < 0 {
		return 0
	}
	return l.idAt(i)
}

func (l *Layout) idAt(i int) int {
	if l.prefixBits == 0 {
		return 1
	}
	return 1<<l.prefixBits + int(l.hashes[i]>>(64-l.prefixBits))
}

// MembersOf returns the daemons in the cell with the identifier.
func (l *Layout) MembersOf(id int) []string {
	from := sort.Search(len(l.hashes), func(j int) bool { return l.idAt(j) >= id })
	to := sort.Search(len(l.hashes), func(j int) bool { return l.idAt(j) > id })
	return l.names[from:to]
}

// Owners returns the identifier of the cell that each of a pool's targets is assigned to, or nothing if
// cells share targets.
func (l *Layout) Owners(targets []string) map[string]int {
	out := make(map[string]int, len(targets))
	if l.sharingBits(len(targets)) < l.prefixBits {
		return out
	}
	ts := sortByHash(targets)
	for from := 0; from < len(l.names); {
		_, to := l.hashRange(from, l.prefixBits)
		for _, t := range ts[partitionStart(len(ts), from, len(l.names)):partitionStart(len(ts), to, len(l.names))] {
			out[t] = l.idAt(from)
		}
		from = to
	}
	return out
}

// meanFarNeighbours is the mean number of neighbours in other cells at the largest
// fleet size for a number of cells. At the smallest size it is half of that, which
// still connects each cell to most others, so that updates reach the whole fleet in
// three or four hops.
const meanFarNeighbours = 2

// Neighbours returns the daemons that self keeps a connection to: the others of its
// cell, and a few in other cells, through which updates reach all cells in few hops.
// Connections are mutual.
func (l *Layout) Neighbours(self string) []string {
	i := l.index(self)
	if i < 0 {
		return nil
	}
	from, to := l.hashRange(i, l.prefixBits)
	var out []string
	// Pairs with a hash below the bound are neighbours. The bound depends on the
	// number of cells, not on the number of daemons.
	maxPairHash := uint64(math.MaxUint64) / uint64(maxMeanSize<<l.prefixBits) * meanFarNeighbours
	for j, n := range l.names {
		sameCell := j >= from && j < to
		if j != i && (sameCell || pairHash(l.hashes[i], l.hashes[j]) < maxPairHash || l.adjacent(i, j)) {
			out = append(out, n)
		}
	}
	return out
}

// pairHash returns the hash of a pair of daemons, independent of their order.
func pairHash(a, b uint64) uint64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:], min(a, b))
	binary.BigEndian.PutUint64(buf[8:], max(a, b))
	return xxhash.Sum64(buf[:])
}

// adjacent reports whether two daemons are next to each other in hash order, which
// connects each cell to the next. The other connections between cells are random
// and might leave a cell without any.
func (l *Layout) adjacent(i, j int) bool {
	n := len(l.names)
	return (i+1)%n == j || (j+1)%n == i
}

// partitionStart returns where part i of k equal parts of n begins.
func partitionStart(n, i, k int) int { return n * i / k }

// minTargetsPerCell is the minimum number of a pool's targets that a cell serves.
// With fewer, one slow target would affect the whole cell.
const minTargetsPerCell = 4

// AssignedTargets returns the targets of one pool that self dispatches to, and the
// daemons that share them, including self. A cell receives targets in proportion to
// its daemons. A pool with few targets is shared by several cells, if necessary by
// all.
func (l *Layout) AssignedTargets(self string, targets []string) (assigned, sharedWith []string) {
	i := l.index(self)
	if i < 0 {
		return nil, nil
	}
	from, to := l.hashRange(i, l.sharingBits(len(targets)))
	ts := sortByHash(targets)
	return ts[partitionStart(len(ts), from, len(l.names)):partitionStart(len(ts), to, len(l.names))], l.names[from:to]
}

// Sharing returns the daemons that dispatch to the same targets of a pool as self,
// including self, if the pool has the given number of targets.
func (l *Layout) Sharing(self string, targets int) []string {
	i := l.index(self)
	if i < 0 {
		return nil
	}
	from, to := l.hashRange(i, l.sharingBits(targets))
	return l.names[from:to]
}

// sharingBits returns the number of hash bits that daemons sharing the targets of a
// pool have in common.
func (l *Layout) sharingBits(targets int) int {
	bits := l.prefixBits
	for bits > 0 && targets < minTargetsPerCell<<bits {
		bits--
	}
	return bits
}
