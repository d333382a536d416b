// Package demo runs daemons, stand-ins and callers in one process and checks what callers received against what targets counted.
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

// Options choose a demo.
type Options struct {
	Mix mix.Mix
	// Daemons is the number started, Kill how many of them are killed on the way.
	Daemons int
	Kill    int
	// Rate is in requests a second before the burst.
	Rate float64
	// For is how long requests arrive.
	For  time.Duration
	Seed uint64
	// Quiet leaves the faults and the burst out.
	Quiet bool
}

// Demo is a running demo. The steps fill its fields in their order.
type Demo struct {
	o     Options
	clock clockwork.Clock
	run   string

	platform *platform.Fake
	engines  []*engine.Engine
	services []*service.Service
	daemons  []*daemon.Daemon
	callers  *callers
	tally    *load.Tally
	leaving  leaving
	work     conc.WaitGroup
}

// step is one part of a demo.
type step struct {
	name string
	run  func(context.Context) error
}

// New returns a demo that has not started.
func New(o Options, clock clockwork.Clock) *Demo {
	return &Demo{o: o, clock: clock, run: ulid.Make().String(), tally: load.NewTally(o.Mix)}
}

// Run starts everything, sends the work with the faults on the way, and
// compares what callers received with what targets counted.
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

// Close ends everything.
func (d *Demo) Close() error {
	var all error
	for _, x := range d.daemons {
		x.Kill()
	}
	d.work.Wait()
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

// send runs the arrivals and the faults side by side, and waits for all answers.
func (d *Demo) send(ctx context.Context) error {
	o := mix.Options{Seed: d.o.Seed, Rate: d.o.Rate, Duration: d.o.For}
	if !d.o.Quiet {
		o.Bursts = []mix.Burst{d.burst()}
	}
	var faults conc.WaitGroup
	if !d.o.Quiet {
		faults.Go(func() { d.strike(ctx) })
	}
	d.callers = newCallers(d)
	load.Run(ctx, d.clock, d.o.Mix.Arrivals(o), d.callers, d.tally)
	faults.Wait()
	return ctx.Err()
}
