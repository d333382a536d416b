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
	// defaultSilence is many times the pause between two tokens and short
	// against a minute, the usual patience of callers.
	defaultSilence = 10 * time.Second
	// serviceSilence is how many times longer a plain service may be silent: it
	// cannot be asked again, so a wrong guess loses an answer.
	serviceSilence = 12
	// defaultBuffer holds the largest event seen in completions APIs many times.
	defaultBuffer = 256 << 10
)

// backends makes the clients towards targets.
type backends struct{}

func (backends) String() string { return "backends" }

func (backends) Run(ctx context.Context, d *Daemon) error {
	silence := d.cfg.Limits.IdleTimeout.Std()
	if silence == 0 {
		silence = defaultSilence
	}
	buffer := d.cfg.Limits.Buffer
	if buffer == 0 {
		buffer = defaultBuffer
	}
	d.engine = engine.New(d.deps.Clock, silence, buffer)
	d.service = service.New(d.deps.Clock, serviceSilence*silence)
	return nil
}

func (backends) Stop(ctx context.Context, d *Daemon) error {
	d.engine.Close()
	d.service.Close()
	return nil
}

// heardLeaving ends new work to a target here and tells the peers.
func (d *Daemon) heardLeaving(target, why string) {
	d.deps.Log.Info("target leaves", zap.String("target", target), zap.String("why", why))
	d.pools.TargetLeaving(target, why)
	if d.deps.Leaving != nil && why != string(evidence.SourcePeers) {
		d.deps.Leaving(target, why)
	}
}

func (d *Daemon) heardBack(target string) {
	d.deps.Log.Info("target is back", zap.String("target", target))
	d.pools.TargetStaying(target)
	if d.deps.Back != nil {
		d.deps.Back(target)
	}
}

// sawDead tells the peers that a target took no connection. Here the scheduler
// keeps away from it by its own failures.
func (d *Daemon) sawDead(target string) {
	if d.board != nil {
		d.board.ReportDead(target, "takes no connection")
	}
}

func (d *Daemon) sawAnswer(target string) {
	if d.board != nil {
		d.board.ReportAlive(target)
	}
}

func (d *Daemon) suspects() map[string]bool {
	if d.board == nil {
		return nil
	}
	return d.board.SuspectedDead()
}

// polling reads the state of targets and hosts.
type polling struct{}

// readers is the number of daemons that read the same targets, with this one.
func (d *Daemon) readers() int {
	if d.members == nil {
		return 1
	}
	return d.mates()
}

func (polling) String() string { return "polling" }

func (polling) Run(ctx context.Context, d *Daemon) error {
	p := poll.New(poll.Deps{
		Clock:   d.deps.Clock,
		Configs: d.deps.Configs,
		Watchers: map[fireflypath.Kind]fireflypath.Watcher{
			fireflypath.KindEngine:  d.engine,
			fireflypath.KindService: d.service,
		},
		Hosts:         d.deps.Hosts,
		Serves:        d.pools.Serves,
		ActiveTargets: d.pools.ActiveTargets,
		Readers:       d.readers,
		Observe:       d.pools.Observe,
		Evidence:      d.evidence,
		Unreachable:   d.sawDead,
		Reachable:     d.sawAnswer,
		Suspects:      d.suspects,
	})
	d.work.Go(func() { p.Run(d.ctx) })
	return nil
}

func (polling) Stop(context.Context, *Daemon) error { return nil }
