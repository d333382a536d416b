package lend

import (
	"slices"
	"time"
)

const (
	// startDelay is how long the waiting work of a cell must be expected to wait for its own slots
	// before the cell asks others. It is well above a round trip between cells, and moments in which
	// a few requests wait occur under any load.
	startDelay = 100 * time.Millisecond
	// defaultSlotTime is how long a request is assumed to occupy a slot before any has ended.
	defaultSlotTime = 400 * time.Millisecond
	// idleTime is how long no work must wait before a borrower returns what it holds.
	idleTime = 400 * time.Millisecond
	// probesPerRound is how many cells are asked in addition to those that lend.
	probesPerRound = 2
	// refusalRest is how long a cell that refused is not asked again.
	refusalRest = time.Second
	// maxRecords bounds the lenders: those of a round's probes may be added to MaxLenders.
	maxRecords = MaxLenders + probesPerRound
	// maxCells bounds the number of cells whose refusals are remembered.
	maxCells = 256
)

// Need describes a cell that may have to borrow.
type Need struct {
	// Waiting is the number of requests that wait, by rank.
	Waiting [MaxRanks]int
	// Slots is the number of slots of the cell's own targets, SlotTime how long a request occupies one.
	Slots    int
	SlotTime time.Duration
	// Used is the number of requests at borrowed targets, by lender and rank.
	Used []Use
	// Lent is true if slots of the cell count as lent. It does not borrow then.
	Lent bool
}

// Use is what the borrower's work occupies at the targets of one lender.
type Use struct {
	Cell   int
	ByRank [MaxRanks]int
}

// Call is a request that is due to another cell.
type Call struct {
	Cell int
	Ask  Ask
}

// lender is a cell that lends, or at whose targets work still runs.
type lender struct {
	cell, granted int
	version       uint64
	until         time.Time
}

// Borrower decides whom a cell asks for slots. It is not safe for concurrent use.
type Borrower struct {
	lenders []lender
	// rest holds until when each cell is not asked.
	rest      [maxCells]time.Time
	rotation  int
	active    bool
	idleSince time.Time
	nextRound time.Time
	sequence  int64
	need      [maxRecords + probesPerRound][MaxRanks]int
}

// Active reports whether the cell asks for slots.
func (b *Borrower) Active() bool { return b.active }

// Granted returns how many slots the cell holds and from how many cells.
func (b *Borrower) Granted(now time.Time) (slots, lenders int) {
	for i := range b.lenders {
		if l := &b.lenders[i]; l.granted > 0 && now.Before(l.until) {
			slots, lenders = slots+l.granted, lenders+1
		}
	}
	return slots, lenders
}

// Plan appends the requests that are due. Their slices are valid until the next call. cells is the
// number of cells and self this one; the identifiers of cells are cells to 2*cells-1.
func (b *Borrower) Plan(now time.Time, n *Need, cells, self int, calls []Call) []Call {
	waiting := 0
	for _, w := range n.Waiting {
		waiting += w
	}
	b.updateActive(now, n, waiting)
	b.addUsed(n)
	if now.Before(b.nextRound) || !b.active && len(b.lenders) == 0 {
		return calls
	}
	b.nextRound = now.Add(RenewInterval)
	b.sequence = max(b.sequence+1, now.UnixMicro())
	remaining := n.Waiting
	for i := range b.lenders {
		l := &b.lenders[i]
		take(&remaining, l.idle(now, n))
	}
	first := len(calls)
	for i := range b.lenders {
		l := &b.lenders[i]
		c := Call{Cell: l.cell, Ask: Ask{Cell: self, Sequence: b.sequence}}
		if l.granted == 0 || now.Before(l.until) {
			c.Ask.Version = l.version
		}
		if b.active && !now.Before(b.restEnd(l.cell)) {
			b.need[i] = remaining
			addNeed(&b.need[i], n.useOf(l.cell), l.idle(now, n), n)
			c.Ask.Need = trim(b.need[i][:])
		}
		calls = append(calls, c)
	}
	if b.active {
		calls = b.probe(now, remaining, cells, self, calls, first)
	}
	return calls
}

// updateActive decides whether the cell asks for slots.
func (b *Borrower) updateActive(now time.Time, n *Need, waiting int) {
	slotTime := n.SlotTime
	if slotTime <= 0 {
		slotTime = defaultSlotTime
	}
	if waiting > 0 {
		b.idleSince = now
	}
	switch {
	case n.Lent:
		b.active = false
	case !b.active:
		b.active = time.Duration(waiting)*slotTime >= startDelay*time.Duration(max(n.Slots, 1)) && waiting > 0
	case now.Sub(b.idleSince) >= idleTime:
		b.active = false
	}
}

// addUsed adds the cells at whose targets work runs that an earlier dispatcher placed.
func (b *Borrower) addUsed(n *Need) {
	for i := range n.Used {
		if b.find(n.Used[i].Cell) == nil && len(b.lenders) < maxRecords {
			b.lenders = append(b.lenders, lender{cell: n.Used[i].Cell})
		}
	}
}

func (b *Borrower) find(cell int) *lender {
	for i := range b.lenders {
		if b.lenders[i].cell == cell {
			return &b.lenders[i]
		}
	}
	return nil
}

// probe asks cells that lend nothing yet, in turn.
func (b *Borrower) probe(now time.Time, remaining [MaxRanks]int, cells, self int, calls []Call, first int) []Call {
	asked := 0
	for range cells {
		if asked == probesPerRound || len(calls)-first >= MaxLenders || len(trim(remaining[:])) == 0 {
			break
		}
		b.rotation++
		// Cells begin at different ones, so that they do not all ask the same.
		cell := cells + (self+b.rotation)%cells
		if cell == self || b.find(cell) != nil || now.Before(b.restEnd(cell)) {
			continue
		}
		b.need[maxRecords+asked] = remaining
		calls = append(calls, Call{Cell: cell, Ask: Ask{Cell: self, Sequence: b.sequence, Need: trim(b.need[maxRecords+asked][:])}})
		asked++
	}
	return calls
}

// Knows reports whether the cell lends, or has not confirmed that nothing of its slots is in use.
func (b *Borrower) Knows(cell int) bool { return b.find(cell) != nil }

// restEnd returns until when the cell is not asked.
func (b *Borrower) restEnd(cell int) time.Time { return b.rest[cell%maxCells] }

// Apply records the answer of a cell. until is when the grant ends here. It reports false if the grant
// cannot be used.
func (b *Borrower) Apply(now time.Time, cell int, until time.Time, g *Grant) bool {
	l := b.find(cell)
	if l == nil && g.Version != 0 && len(b.lenders) < maxRecords {
		b.lenders = append(b.lenders, lender{cell: cell})
		l = &b.lenders[len(b.lenders)-1]
	}
	if l == nil {
		b.rest[cell%maxCells] = now.Add(refusalRest)
		return false
	}
	before := l.granted
	if !g.Same {
		l.granted = Total(g.Slots)
	}
	l.version, l.until = g.Version, until
	if l.granted == 0 {
		b.rest[cell%maxCells] = now.Add(refusalRest)
		if before > 0 {
			b.nextRound = now // tells the lender at once what is still in use
		}
	}
	if g.Counted == 0 {
		b.lenders = slices.DeleteFunc(b.lenders, func(l lender) bool { return l.cell == cell })
	}
	return true
}

// Failed records that a cell did not answer. One that lends is asked again in the next round.
func (b *Borrower) Failed(now time.Time, cell int) {
	if b.find(cell) == nil {
		b.rest[cell%maxCells] = now.Add(refusalRest)
	}
}

// Drop ends the use of all grants. The lenders count them until their leases have ended.
func (b *Borrower) Drop() {
	for i := range b.lenders {
		b.lenders[i].granted, b.lenders[i].version = 0, 0
	}
}

// idle returns how many granted slots have no work.
func (l *lender) idle(now time.Time, n *Need) int {
	if !now.Before(l.until) {
		return 0
	}
	used := 0
	if u := n.useOf(l.cell); u != nil {
		for _, c := range u.ByRank {
			used += c
		}
	}
	return max(l.granted-used, 0)
}

func (n *Need) useOf(cell int) *Use {
	for i := range n.Used {
		if n.Used[i].Cell == cell {
			return &n.Used[i]
		}
	}
	return nil
}

// take removes n requests, the highest ranks first: they get the slots that are free already.
func take(need *[MaxRanks]int, n int) {
	for r := range need {
		m := min(need[r], n)
		need[r], n = need[r]-m, n-m
	}
}

// addNeed adds the work that runs at the lender, and as many waiting requests as it has idle slots.
func addNeed(need *[MaxRanks]int, u *Use, idle int, n *Need) {
	if u != nil {
		for r, c := range u.ByRank {
			need[r] += c
		}
	}
	for r := 0; r < MaxRanks && idle > 0; r++ {
		m := min(n.Waiting[r], idle)
		need[r], idle = need[r]+m, idle-m
	}
}

// trim cuts the trailing zeros.
func trim(need []int) []int {
	n := len(need)
	for n > 0 && need[n-1] == 0 {
		n--
	}
	return need[:n]
}
