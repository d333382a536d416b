package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/engine"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
	"github.com/fireflypath/fireflypath/internal/route/poll"
	"github.com/fireflypath/fireflypath/internal/service"
)

const (
	// defaultIdleTimeout is many times the pause between two tokens, and short compared
	// to the minute that callers usually wait.
	defaultIdleTimeout = 10 * time.Second
	// serviceIdleFactor is how many times longer a plain service may be silent. Its answer
	// cannot be resumed, so that a wrong guess loses it.
	serviceIdleFactor = 12
	// defaultBufferSize is many times the size of the largest event seen in completions APIs.
	defaultBufferSize = 256 << 10
)

// backends creates the clients of the targets.
type backends struct{}

func (backends) String() string { return "backends" }

func (backends) Run(ctx context.Context, d *Daemon) error {
	idleTimeout := d.cfg.Limits.IdleTimeout.Std()
	if idleTimeout == 0 {
		idleTimeout = defaultIdleTimeout
	}
	buffer := d.cfg.Limits.Buffer
	if buffer == 0 {
		buffer = defaultBufferSize
	}
	d.engine = engine.New(d.deps.Clock, idleTimeout, buffer)
	d.service = service.New(d.deps.Clock, serviceIdleFactor*idleTimeout)
	return nil
}

func (backends) Stop(ctx context.Context, d *Daemon) error {
	d.engine.Close()
	d.service.Close()
	return nil
}

// onTargetLeaving stops new work to a target and notifies the peers.
func (d *Daemon) onTargetLeaving(target, why string) {
	d.deps.Log.Info("target leaves", zap.String("target", target), zap.String("why", why))
	d.pools.TargetLeaving(target, why)
	if d.deps.BroadcastLeaving != nil && why != string(evidence.SourcePeers) {
		d.deps.BroadcastLeaving(target, why)
	}
}

func (d *Daemon) onTargetStaying(target string) {
	d.deps.Log.Info("target is back", zap.String("target", target))
	d.pools.TargetStaying(target)
	if d.deps.BroadcastStaying != nil {
		d.deps.BroadcastStaying(target)
	}
}

// reportUnreachable tells the peers that a target accepts no connections. In this daemon the
// scheduler avoids the target because of its own failures.
func (d *Daemon) reportUnreachable(target string) {
	if d.leavingTracker != nil {
		d.leavingTracker.ReportDead(target, "takes no connection")
	}
}

func (d *Daemon) reportReachable(target string) {
	if d.leavingTracker != nil {
		d.leavingTracker.ReportAlive(target)
	}
}

func (d *Daemon) suspectedDead() map[string]bool {
	if d.leavingTracker == nil {
		return nil
	}
	return d.leavingTracker.SuspectedDead()
}

// polling polls the state of targets and hosts.
type polling struct{}

// readerCount returns the number of daemons that poll the same targets, including this one.
func (d *Daemon) readerCount() int {
	if d.members == nil {
		return 1
	}
	return d.cellSize()
}

func (polling) String() string { return "polling" }

func (polling) Run(ctx context.Context, d *Daemon) error {
	p := poll.New(poll.Deps{
		Clock:   d.deps.Clock,
		Configs: d.deps.Configs,
		Watchers: map[fireflypath.PoolKind]fireflypath.Watcher{
			fireflypath.KindEngine:  d.engine,
			fireflypath.KindService: d.service,
		},
		Hosts:         d.deps.Hosts,
		Serves:        d.pools.Serves,
		ActiveTargets: d.pools.ActiveTargets,
		Readers:       d.readerCount,
		Observe:       d.pools.Observe,
		Evidence:      d.evidence,
		Unreachable:   d.reportUnreachable,
		Reachable:     d.reportReachable,
		Suspects:      d.suspectedDead,
	})
	d.background.Go(func() { p.Run(d.ctx) })
	return nil
}

func (polling) Stop(context.Context, *Daemon) error { return nil }
