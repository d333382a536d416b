package daemon

import (
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/follow"
)

// startReportLimit is how long after its start a daemon without a dispatcher reports what it has.
const startReportLimit = 2 * time.Second

// reportStart puts the first configuration in force in all parts of the daemon, admits the requests that
// wait for it, and logs when each step of the start ended. The parts follow the configuration by
// themselves as well, but in no order: a request that is admitted before this daemon knows its share of
// the targets would be placed as if no other daemon used them.
func (d *Daemon) reportStart() {
	startedAt := d.deps.Clock.Now()
	select {
	case <-d.ctx.Done():
		return
	case <-d.deps.Configs.Changed(0):
	}
	cfg := d.deps.Configs.Current()
	d.pools.Apply(cfg)
	if d.dispatch != nil {
		d.dispatch.Apply(cfg)
		d.applyShares(cfg)
	}
	close(d.inForce)
	inForce := d.deps.Clock.Since(startedAt)
	if d.dispatch == nil {
		return
	}
	attached := true
	select {
	case <-d.ctx.Done():
		return
	case <-d.dispatch.FirstAttached():
	case <-d.deps.Clock.After(startReportLimit - inForce):
		attached = false
	}
	var read follow.Start
	if d.feed != nil {
		read, _ = d.feed.Start()
	}
	d.deps.Log.Info("ready to serve", zap.Duration("records", read.Records), zap.Duration("view", read.View),
		zap.String("source", read.Source), zap.Duration("in_force", inForce), zap.Bool("attached", attached),
		zap.Duration("took", d.deps.Clock.Since(startedAt)), zap.Int("members", len(d.members.Live())), zap.Int64("held", d.gate.HeldAtStart()))
}
