package daemon

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/sched"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
	"github.com/fireflypath/fireflypath/internal/route/pools"
)

// defaultMaxWaitingBytes fits one minute of the peak rate of 57 requests per second and daemon at
// 32 KB each, and is an eighth of the memory of a small host.
const defaultMaxWaitingBytes = 128 << 20

// scheduling creates the pools and applies configuration changes to them.
type scheduling struct{}

func (scheduling) String() string { return "scheduling" }

func (scheduling) Run(ctx context.Context, d *Daemon) error {
	if d.deps.Scheduler == nil {
		d.deps.Scheduler = d.scheduler
	}
	maxWaitingBytes := d.cfg.Limits.Waiting
	if maxWaitingBytes == 0 {
		maxWaitingBytes = defaultMaxWaitingBytes
	}
	d.pools = pools.New(d.deps.Clock, d.deps.Relief, d.deps.Scheduler)
	d.pools.SetMaxWaitingBytes(maxWaitingBytes)
	d.evidence = evidence.New(d.onTargetLeaving, d.onTargetStaying)
	d.pools.Apply(d.deps.Configs.Current())
	d.background.Go(func() { d.pools.Follow(d.ctx, d.deps.Configs) })
	return nil
}

// scheduler returns the default scheduler of a pool. The seed differs between daemons, so that
// daemons with the same view do not all choose the same target.
func (d *Daemon) scheduler(p fireflypath.Pool) fireflypath.Scheduler {
	return sched.New(sched.Config{Pool: p, Seed: xxhash.Sum64String(d.cfg.Name + "/" + p.Name)})
}

func (scheduling) Stop(ctx context.Context, d *Daemon) error {
	d.pools.Stop(stopRefusal)
	return nil
}
