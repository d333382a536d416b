// Package cell lays a fleet of daemons out in small groups that share the same
// targets, so that what one daemon exchanges does not grow with the fleet.
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

// maxMates bounds the mean size of a cell. Nine daemons, the size of today, are
// one cell. At 370 daemons 32 cells of 11 or 12 send 12 beats a second each,
// which fits in 3 KB/s; cells twice as large would not.
const maxMates = 12

// Layout is the cells of one set of daemons. Daemons with the same set make the
// same layout. It is never changed.
//
// A daemon's cell follows from the first bits of its name's hash, and a far link
// from the hash of the two names, so that a daemon that joins or goes moves no
// other one. Cut by rank, each join made a good part of 370 daemons connect
// anew, and a fleet that started at once never came to rest.
type Layout struct {
	// order holds the names by hash, so that failure domains are mixed.
	order  []string
	hashes []uint64
	bits   int
}

// New lays out the daemons of those names.
func New(names []string) *Layout {
	l := &Layout{order: byHash(names)}
	for _, n := range l.order {
		l.hashes = append(l.hashes, xxhash.Sum64String(n))
	}
	for len(names) > maxMates<<l.bits {
		l.bits++
	}
	return l
}

func byHash(names []string) []string {
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

// Cells is the number of cells, a power of two.
func (l *Layout) Cells() int { return 1 << l.bits }

// rank is the place of a name in the order, or -1.
func (l *Layout) rank(name string) int { return slices.Index(l.order, name) }

// span is the places of the daemons whose hashes agree with that at place i in
// the first bits.
func (l *Layout) span(i, bits int) (from, to int) {
	if bits == 0 {
		return 0, len(l.order)
	}
	cell := l.hashes[i] >> (64 - bits)
	from = sort.Search(len(l.hashes), func(j int) bool { return l.hashes[j]>>(64-bits) >= cell })
	to = sort.Search(len(l.hashes), func(j int) bool { return l.hashes[j]>>(64-bits) > cell })
	return from, to
}

// Mates are the daemons of a cell, self among them.
func (l *Layout) Mates(self string) []string {
	i := l.rank(self)
	if i < 0 {
		return nil
	}
	from, to := l.span(i, l.bits)
	return l.order[from:to]
}

// farLinks is the mean number of far links of a daemon in the largest fleet of
// a number of cells. Half of it in the smallest still joins each cell to most
// others, so that news cross the fleet in three or four steps.
const farLinks = 2

// Links are the daemons that self keeps a connection with: its mates, and a few
// others, by which news cross all cells in few steps. Links are mutual.
func (l *Layout) Links(self string) []string {
	i := l.rank(self)
	if i < 0 {
		return nil
	}
	from, to := l.span(i, l.bits)
	var out []string
	// A pair is linked if its hash is among the first of all; the bound depends
	// on the number of cells and not on that of daemons.
	bound := uint64(math.MaxUint64) / uint64(maxMates<<l.bits) * farLinks
	for j, n := range l.order {
		mate := j >= from && j < to
		if j != i && (mate || pair(l.hashes[i], l.hashes[j]) < bound || l.neighbours(i, j)) {
			out = append(out, n)
		}
	}
	return out
}

// pair hashes two daemons, the same both ways.
func pair(a, b uint64) uint64 {
	var buf [16]byte
	binary.BigEndian.PutUint64(buf[:], min(a, b))
	binary.BigEndian.PutUint64(buf[8:], max(a, b))
	return xxhash.Sum64(buf[:])
}

// neighbours reports daemons on both sides of a cell's edge. Far links are
// drawn by lot; these make sure that no cell is left without.
func (l *Layout) neighbours(i, j int) bool {
	n := len(l.order)
	return (i+1)%n == j || (j+1)%n == i
}

// cut is where part i of k equal parts of n begins.
func cut(n, i, k int) int { return n * i / k }

// minTargets is the least number of a pool's targets that a cell serves; with
// fewer a slow target would weigh on a whole cell.
const minTargets = 4

// Serves gives the targets of one pool that self sends work to, and the daemons
// that do the same. A cell gets targets in proportion to its daemons. A pool
// with few targets is shared by several cells, all of them if need be.
func (l *Layout) Serves(self string, targets []string) (mine, mates []string) {
	i := l.rank(self)
	if i < 0 {
		return nil, nil
	}
	bits := l.bits
	for bits > 0 && len(targets) < minTargets<<bits {
		bits--
	}
	from, to := l.span(i, bits)
	ts := byHash(targets)
	return ts[cut(len(ts), from, len(l.order)):cut(len(ts), to, len(l.order))], l.order[from:to]
}
