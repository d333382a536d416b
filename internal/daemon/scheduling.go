package daemon

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
	"github.com/fireflypath/fireflypath/internal/route/pools"
)

// defaultWaiting is a minute of the peak's 57 requests a second and daemon at
// 32 KB each, an eighth of a small host's memory.
const defaultWaiting = 128 << 20

// scheduling makes the pools and keeps them as the configuration says.
type scheduling struct{}

func (scheduling) String() string { return "scheduling" }

func (scheduling) Run(ctx context.Context, d *Daemon) error {
	if d.deps.Scheduler == nil {
		d.deps.Scheduler = d.scheduler
	}
	waiting := d.cfg.Limits.Waiting
	if waiting == 0 {
		waiting = defaultWaiting
	}
	d.pools = pools.New(d.deps.Clock, d.deps.Relief, d.deps.Scheduler)
	d.pools.SetMaxWaitingBytes(waiting)
	d.evidence = evidence.New(d.heardLeaving, d.heardBack)
	d.pools.Apply(d.deps.Configs.Current())
	d.work.Go(func() { d.pools.Follow(d.ctx, d.deps.Configs) })
	return nil
}

// scheduler is the shipped one. The seed differs between daemons, so that
// equal views do not send everything to the same target.
func (d *Daemon) scheduler(p fireflypath.Pool) fireflypath.Scheduler {
	return sched.New(sched.Config{Pool: p, Seed: xxhash.Sum64String(d.cfg.Name + "/" + p.Name)})
}

func (scheduling) Stop(ctx context.Context, d *Daemon) error {
	d.pools.Stop(stopping)
	return nil
}
