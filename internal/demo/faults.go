package demo

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/fake/fault"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// leavingLimit is how soon a leaving target gets no new work (issue 3).
const leavingLimit = 3 * time.Second

// leaving watches the target that leaves.
type leaving struct {
	target *engine.Engine
	// before is the number of its dispatches at the limit; -1 if the demo ended earlier.
	before int
}

// blow is a fault at its place on the way, as a part of the time in which
// requests arrive.
type blow struct {
	at     float64
	strike func() error
}

func (d *Demo) part(f float64) time.Duration {
	return time.Duration(f * float64(d.o.For))
}

// burst is one large team's sudden work.
func (d *Demo) burst() mix.Burst {
	return mix.Burst{Start: d.part(0.4), Duration: d.part(0.15), Team: d.o.Mix.Teams[1].Name, Factor: 25}
}

// strike shows the faults one after the other.
func (d *Demo) strike(ctx context.Context) {
	d.leaving.before = -1
	start := d.clock.Now()
	for _, b := range d.blows() {
		if !d.sleep(ctx, d.part(b.at)-d.clock.Since(start)) {
			return
		}
		// A fault that cannot be shown has hit a stand-in that is gone.
		_ = b.strike()
	}
	if d.sleep(ctx, leavingLimit) {
		d.leaving.before = sum(d.leaving.target.Counts().Dispatches)
	}
}

func (d *Demo) blows() []blow {
	all := []blow{
		// Connections to one engine go silent for good, in the middle of streams.
		{0.15, show(d.engines[1], fault.Fault{Name: fault.Silent})},
		// Streams of others break or end too early, and can be resumed.
		{0.20, show(d.engines[2], fault.Fault{Name: fault.Break, Count: 3, After: 2})},
		{0.20, show(d.engines[3], fault.Fault{Name: fault.Truncate, Count: 3, After: 2})},
		{0.25, show(d.engines[4], fault.Fault{Name: fault.WrongID, Count: 2})},
		// A service reads a delivery and closes: nobody can tell whether it ran.
		{0.25, show(d.services[0], fault.Fault{Name: fault.ReadClose, Count: 1})},
		{0.30, show(d.services[1], fault.Fault{Name: fault.Break, Count: 1})},
		// A claim is written and its answer is lost; then the platform is down.
		{0.10, show(d.platform, fault.Fault{Name: fault.LoseAnswer, Count: 2})},
		{0.60, show(d.platform, fault.Fault{Name: fault.Outage})},
		{0.75, show(d.platform, fault.Fault{Name: fault.Outage, Off: true})},
		{0.35, show(d.engines[0], fault.Fault{Name: fault.Die})},
		{0.40, show(d.engines[5], fault.Fault{Name: fault.Slow, Factor: 8})},
		{0.70, show(d.engines[5], fault.Fault{Name: fault.Slow, Off: true})},
	}
	for i := range d.o.Kill {
		x := d.daemons[i]
		all = append(all, blow{0.5 + 0.1*float64(i)/float64(d.o.Kill), func() error {
			d.work.Go(x.Kill)
			return nil
		}})
	}
	d.leaving.target = d.engines[6]
	all = append(all, blow{0.50, show(d.engines[6], fault.Fault{Name: fault.Draining})})
	slices.SortStableFunc(all, func(a, b blow) int { return cmp.Compare(a.at, b.at) })
	return all
}

func (d *Demo) sleep(ctx context.Context, dt time.Duration) bool {
	t := d.clock.NewTimer(max(0, dt))
	defer t.Stop()
	select {
	case <-t.Chan():
		return true
	case <-ctx.Done():
		return false
	}
}

func sum(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// stand is a stand-in that can show faults.
type stand interface {
	Fault(fault.Fault) error
}

func show(s stand, f fault.Fault) func() error {
	return func() error { return s.Fault(f) }
}
