package sim

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/lend"
)

// lendingInterval is how often dispatchers check whether they have to ask another cell for slots.
const lendingInterval = 50 * time.Millisecond

// LendingCounts counts what cells lent each other.
type LendingCounts struct {
	// Asks is the number of requests to other cells, Bytes that of the bytes of these and their
	// answers as JSON.
	Asks, Bytes int
	// Placed is the number of requests placed at borrowed targets.
	Placed int
	// MostExcess is by how many requests an engine's slots were exceeded at most, counted when a
	// request arrives.
	MostExcess int
}

// exchangeLoans has the dispatchers of cells ask each other for slots, as package lending does.
func (w *world) exchangeLoans() {
	w.loop.After(lendingInterval, w.exchangeLoans)
	if w.cells.CellCount() == 1 {
		return
	}
	for _, d := range w.daemons {
		k := d.dispatcher
		if k == nil || k.Lender() == nil || len(k.Sessions()) == 0 {
			continue
		}
		for _, c := range k.Lender().PlanBorrowing(w.loop.Now(), w.cells.CellCount(), w.cells.ID(d.name), false, w.ownerOf(d), nil) {
			c.Ask.Need, c.Ask.Used = slices.Clone(c.Ask.Need), slices.Clone(c.Ask.Used)
			k.ask(c)
		}
	}
}

// ownerOf returns a function that finds the cell of a target of another cell than the daemon's.
func (w *world) ownerOf(d *daemon) func(string) int {
	return func(target string) int {
		names := make([]string, 0, len(w.targets))
		for _, t := range w.targets {
			names = append(names, t.Name)
		}
		if owner := w.cells.Owners(names)[target]; owner != w.cells.ID(d.name) {
			return owner
		}
		return 0
	}
}

// ask sends a request to the dispatcher of another cell.
func (k *dispatcherNode) ask(c lend.Call) {
	w := k.d.w
	sentAt, delay := w.loop.Now(), w.options.Fleet.Hop.Duration()+messageOverhead
	w.lending.Asks++
	w.lending.Bytes += jsonSize(c.Ask)
	w.loop.After(delay, func() {
		to := w.dispatcherOf(c.Cell)
		if to == nil {
			return
		}
		g := to.AnswerAsk(w.loop.Now(), k.d.name, &c.Ask, false)
		to.pushDecisions()
		w.lending.Bytes += jsonSize(g)
		w.loop.After(delay, func() {
			if k.incarnation != k.d.incarnation {
				return
			}
			k.ApplyGrant(w.loop.Now(), c.Cell, sentAt.Add(g.Lease.Std()), &g)
			k.pushDecisions()
		})
	})
}

func jsonSize(v any) int {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return len(b)
}

// dispatcherOf returns the dispatcher of the cell, or nil.
func (w *world) dispatcherOf(cell int) *dispatcherNode {
	for _, d := range w.daemons {
		if d.dispatcher != nil && d.dispatcher.Lender() != nil && w.cells.ID(d.name) == cell && len(d.dispatcher.Sessions()) > 0 {
			return d.dispatcher
		}
	}
	return nil
}

// countBorrowed counts the decisions for targets of other cells.
func (k *dispatcherNode) countBorrowed(decisions []fireflypath.Decision) {
	for i := range decisions {
		if decisions[i].Within > 0 {
			k.d.w.lending.Placed++
		}
	}
}

// recordOccupancy records by how many requests the engine's slots are exceeded.
func (w *world) recordOccupancy(t *target) {
	if t == nil || t.Stopped() {
		return
	}
	w.lending.MostExcess = max(w.lending.MostExcess, t.Live()-t.Slots)
}
