// Package cell lays a fleet of daemons out in small groups that share the same
// targets, so that what one daemon exchanges does not grow with the fleet.
package cell

import (
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxMates bounds a cell. Nine daemons, the size of today, are one cell. At
// 370 daemons 32 cells of 11 or 12 send 12 beats a second each, which fits in
// 3 KB/s; cells twice as large would not.
const maxMates = 12

// Layout is the cells of one set of daemons. Daemons with the same set make the
// same layout. It is never changed.
type Layout struct {
	// order holds the names by hash, so that failure domains are mixed.
	order []string
	cells int
}

// New lays out the daemons of those names.
func New(names []string) *Layout {
	l := &Layout{order: byHash(names), cells: 1}
	for len(names) > maxMates*l.cells {
		l.cells *= 2
	}
	return l
}

func byHash(names []string) []string {
	out := slices.Clone(names)
	slices.SortFunc(out, func(a, b string) int {
		ha, hb := xxhash.Sum64String(a), xxhash.Sum64String(b)
		switch {
		case ha < hb:
			return -1
		case ha > hb:
			return 1
		}
		return strings.Compare(a, b)
	})
	return out
}

// Cells is the number of cells, a power of two.
func (l *Layout) Cells() int { return l.cells }

// rank is the place of a name in the order, or -1.
func (l *Layout) rank(name string) int { return slices.Index(l.order, name) }

// cut is where part i of k equal parts of n begins.
func cut(n, i, k int) int { return n * i / k }

// part is the one of k parts that place i of n falls in.
func part(n, i, k int) int {
	p := i * k / n
	for p+1 < k && cut(n, p+1, k) <= i {
		p++
	}
	return p
}

// Mates are the daemons of a cell, self among them.
func (l *Layout) Mates(self string) []string {
	return l.group(self, l.cells)
}

// group is the part of the order that self falls in if it is cut in k.
func (l *Layout) group(self string, k int) []string {
	i := l.rank(self)
	if i < 0 {
		return nil
	}
	c := part(len(l.order), i, k)
	return l.order[cut(len(l.order), c, k):cut(len(l.order), c+1, k)]
}

// Links are the daemons that self keeps a connection with: its mates, and one
// other in each direction at a distance of a half, a quarter, and so on of the
// fleet, by which news crosses all cells in few steps. Links are mutual.
func (l *Layout) Links(self string) []string {
	i := l.rank(self)
	if i < 0 {
		return nil
	}
	seen := map[string]bool{self: true}
	var out []string
	add := func(name string) {
		if !seen[name] {
			seen[name] = true
			out = append(out, name)
		}
	}
	for _, m := range l.Mates(self) {
		add(m)
	}
	if l.cells == 1 {
		return out
	}
	n := len(l.order)
	add(l.order[(i+l.stride(i))%n])
	for s := n / 2; s >= n/l.cells && s > 0; s /= 2 {
		if j := (i - s + n) % n; l.stride(j) == s {
			add(l.order[j])
		}
	}
	return out
}

// stride is the distance of the far link that begins at place i.
func (l *Layout) stride(i int) int {
	n, steps := len(l.order), 0
	for s := n / 2; s >= n/l.cells && s > 0; s /= 2 {
		steps++
	}
	return n / 2 >> (i % max(1, steps))
}

// minTargets is the least number of a pool's targets that a cell serves; with
// fewer a slow target would weigh on a whole cell.
const minTargets = 4

// Serves gives the targets of one pool that self sends work to, and the daemons
// that do the same. A pool with few targets is shared by several cells, all of
// them if need be.
func (l *Layout) Serves(self string, targets []string) (mine, mates []string) {
	k := l.cells
	for k > 1 && len(targets) < minTargets*k {
		k /= 2
	}
	i := l.rank(self)
	if i < 0 {
		return nil, nil
	}
	c := part(len(l.order), i, k)
	ts := byHash(targets)
	return ts[cut(len(ts), c, k):cut(len(ts), c+1, k)], l.group(self, k)
}
