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

// leavingGrace is the time after which a leaving target must get no new work.
const leavingGrace = 3 * time.Second

// leavingTarget tracks the target that leaves.
type leavingTarget struct {
	target *engine.Engine
	// dispatchesAtLimit is the number of requests dispatched to it by the end of
	// leavingGrace; -1 if the demo ended earlier.
	dispatchesAtLimit int
}

// scheduledFault is a fault and its time, as a fraction of the time in which requests
// arrive.
type scheduledFault struct {
	at     float64
	inject func() error
}

func (d *Demo) fractionOfRun(f float64) time.Duration {
	return time.Duration(f * float64(d.options.Duration))
}

// burst returns a sudden increase in the requests of one large team.
func (d *Demo) burst() mix.Burst {
	return mix.Burst{Start: d.fractionOfRun(0.4), Duration: d.fractionOfRun(0.15), Team: d.options.Mix.Teams[1].Name, Factor: 25}
}

// injectFaults injects the scheduled faults one after the other.
func (d *Demo) injectFaults(ctx context.Context) {
	d.leaving.dispatchesAtLimit = -1
	start := d.clock.Now()
	for _, b := range d.faultSchedule() {
		if !d.sleep(ctx, d.fractionOfRun(b.at)-d.clock.Since(start)) {
			return
		}
		// Injection fails if the fake has stopped; the other faults still apply.
		_ = b.inject()
	}
	if d.sleep(ctx, leavingGrace) {
		d.leaving.dispatchesAtLimit = sumCounts(d.leaving.target.Counts().Dispatches)
	}
}

func (d *Demo) faultSchedule() []scheduledFault {
	all := []scheduledFault{
		// Connections to one engine stay silent from the middle of their streams on.
		{0.15, inject(d.engines[1], fault.Fault{Name: fault.Silent})},
		// Streams of others break or end too early and can be resumed.
		{0.20, inject(d.engines[2], fault.Fault{Name: fault.Break, Count: 3, After: 2})},
		{0.20, inject(d.engines[3], fault.Fault{Name: fault.Truncate, Count: 3, After: 2})},
		{0.25, inject(d.engines[4], fault.Fault{Name: fault.WrongID, Count: 2})},
		// A service reads a delivery and closes the connection: its outcome is unknown.
		{0.25, inject(d.services[0], fault.Fault{Name: fault.ReadClose, Count: 1})},
		{0.30, inject(d.services[1], fault.Fault{Name: fault.Break, Count: 1})},
		// A claim is written but its answer is lost; later the platform is down.
		{0.10, inject(d.platform, fault.Fault{Name: fault.LoseAnswer, Count: 2})},
		{0.60, inject(d.platform, fault.Fault{Name: fault.Outage})},
		{0.75, inject(d.platform, fault.Fault{Name: fault.Outage, Off: true})},
		{0.35, inject(d.engines[0], fault.Fault{Name: fault.Die})},
		{0.40, inject(d.engines[5], fault.Fault{Name: fault.Slow, Factor: 8})},
		{0.70, inject(d.engines[5], fault.Fault{Name: fault.Slow, Off: true})},
	}
	for i := range d.options.Kill {
		x := d.daemons[i]
		all = append(all, scheduledFault{0.5 + 0.1*float64(i)/float64(d.options.Kill), func() error {
			d.kills.Go(x.Kill)
			return nil
		}})
	}
	d.leaving.target = d.engines[6]
	all = append(all, scheduledFault{0.50, inject(d.engines[6], fault.Fault{Name: fault.Draining})})
	slices.SortStableFunc(all, func(a, b scheduledFault) int { return cmp.Compare(a.at, b.at) })
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

func sumCounts(m map[string]int) int {
	n := 0
	for _, v := range m {
		n += v
	}
	return n
}

// faultInjector is a fake that can simulate faults.
type faultInjector interface {
	Fault(fault.Fault) error
}

func inject(s faultInjector, f fault.Fault) func() error {
	return func() error { return s.Fault(f) }
}
