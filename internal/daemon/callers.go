package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/caller"
	"github.com/fireflypath/fireflypath/internal/caller/departures"
	"github.com/fireflypath/fireflypath/internal/caller/door"
)

const (
	// defaultConnections is about the connections of a balancer's pools at 100
	// times today's rate for one entry host.
	defaultConnections = 8192
	// flush is for writing the refusals at the end of a planned stop.
	flush = time.Second
)

// callerListener lets requests in.
type callerListener struct{}

func (callerListener) String() string { return "caller listener" }

func (callerListener) Run(ctx context.Context, d *Daemon) error {
	ln, err := d.listen(d.cfg.Listen.Callers, d.cfg.Listen.CallersTLS)
	if err != nil {
		return err
	}
	limit := d.cfg.Limits.Connections
	if limit == 0 {
		limit = defaultConnections
	}
	d.front = door.New(ln, limit, caller.RefuseConnection)
	d.gone = departures.New(d.deps.Clock)
	d.callers = caller.New(d.route, d.gone, d.cfg.Limits)
	d.work.Go(func() { d.gone.Run(d.ctx) })
	d.work.Go(func() { _ = d.callers.Serve(d.front) })
	return nil
}

// stopping is the refusal of what still waits when a planned stop ends.
var stopping = fireflypath.Refusal{
	Code: fireflypath.ReasonStopping, Detail: "the daemon stops", RetryAfter: flush,
}

// Stop finishes the requests held. What still waits when the context ends is
// refused, and what still runs is cut, so that its caller sees the cut.
func (callerListener) Stop(ctx context.Context, d *Daemon) error {
	done := make(chan error, 1)
	go func() { done <- d.callers.Shutdown(context.WithoutCancel(ctx)) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	d.deps.Log.Info("planned stop at its limit", zap.Int("connections", d.front.OpenConns()))
	d.pools.Stop(stopping)
	d.claims.Abort()
	select {
	case err := <-done:
		return err
	case <-d.deps.Clock.After(flush):
	}
	err := d.front.Kill()
	d.gone.DisconnectAll()
	return err
}
