// Package demo runs daemons, fakes and callers in one process and compares what callers
// received with the counters of the targets.
package demo

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"github.com/sourcegraph/conc"

	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/fake/platform"
	"github.com/fireflypath/fireflypath/internal/fake/service"
	"github.com/fireflypath/fireflypath/internal/load"
	"github.com/fireflypath/fireflypath/internal/mix"
)

// Options configure a demo.
type Options struct {
	Mix mix.Mix
	// Daemons is the number of daemons to start, Kill how many of them are killed
	// during the run.
	Daemons int
	Kill    int
	// Rate is the number of requests per second before the burst.
	Rate float64
	// Duration is the duration over which requests arrive.
	Duration time.Duration
	Seed     uint64
	// NoFaults disables the faults and the burst.
	NoFaults bool
}

// Demo is a running demo. Its fields are set by the start steps in their order.
type Demo struct {
	options Options
	clock   clockwork.Clock
	run     string

	platform *platform.Fake
	engines  []*engine.Engine
	services []*service.Service
	daemons  []*daemon.Daemon
	callers  *callers
	tally    *load.Tally
	leaving  leavingTarget
	kills    conc.WaitGroup
}

// step is one step of a demo.
type step struct {
	name string
	run  func(context.Context) error
}

// New returns a demo that is not started yet.
func New(o Options, clock clockwork.Clock) *Demo {
	return &Demo{options: o, clock: clock, run: ulid.Make().String(), tally: load.NewTally(o.Mix)}
}

// Run starts the platform, targets and daemons, sends the requests while it injects
// faults, and compares what callers received with the counters of the targets.
func (d *Demo) Run(ctx context.Context) (Report, error) {
	steps := []step{
		{"start the platform", d.startPlatform},
		{"start the targets", d.startTargets},
		{"start the daemons", d.startDaemons},
		{"send the work", d.send},
	}
	for _, s := range steps {
		if err := s.run(ctx); err != nil {
			return Report{}, errors.Wrap(err, s.name)
		}
	}
	return d.audit(), nil
}

// Close stops everything.
func (d *Demo) Close() error {
	var all error
	for _, x := range d.daemons {
		x.Kill()
	}
	d.kills.Wait()
	for _, e := range d.engines {
		all = errors.CombineErrors(all, e.Close())
	}
	for _, s := range d.services {
		all = errors.CombineErrors(all, s.Close())
	}
	if d.platform != nil {
		all = errors.CombineErrors(all, d.platform.Close())
	}
	return all
}

// send sends the requests while it injects the faults, and waits for all answers.
func (d *Demo) send(ctx context.Context) error {
	o := mix.Options{Seed: d.options.Seed, Rate: d.options.Rate, Duration: d.options.Duration}
	if !d.options.NoFaults {
		o.Bursts = []mix.Burst{d.burst()}
	}
	var faults conc.WaitGroup
	if !d.options.NoFaults {
		faults.Go(func() { d.injectFaults(ctx) })
	}
	d.callers = newCallers(d)
	load.Run(ctx, d.clock, d.options.Mix.Arrivals(o), d.callers, d.tally)
	faults.Wait()
	return ctx.Err()
}
