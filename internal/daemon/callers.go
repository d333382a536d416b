package daemon

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/caller"
	"github.com/fireflypath/fireflypath/internal/caller/disconnect"
	"github.com/fireflypath/fireflypath/internal/caller/listener"
)

const (
	// defaultMaxConnections is about the number of connections that a load balancer's pools
	// hold to one entry host at 100 times the current request rate.
	defaultMaxConnections = 8192
	// flushTimeout is the time for writing refusals at the end of a planned stop.
	flushTimeout = time.Second
)

// callerListener starts the server for callers.
type callerListener struct{}

func (callerListener) String() string { return "caller listener" }

func (callerListener) Run(ctx context.Context, d *Daemon) error {
	ln, err := d.listen(d.cfg.Listen.Callers, d.cfg.Listen.CallersTLS, bound{receiveBuffer: ownReceiveBuffer})
	if err != nil {
		return err
	}
	limit := d.cfg.Limits.Connections
	if limit == 0 {
		limit = defaultMaxConnections
	}
	d.callerListener = listener.New(ln, limit, caller.RefuseConnection)
	d.disconnects = disconnect.New(d.deps.Clock)
	d.callerServer = caller.New(d.route, d.disconnects, d.cfg.Limits)
	d.background.Go(func() { d.disconnects.Run(d.ctx) })
	d.background.Go(func() { _ = d.callerServer.Serve(d.callerListener) })
	return nil
}

// stopRefusal is the refusal of requests that still wait when a planned stop ends.
var stopRefusal = fireflypath.Refusal{
	Code: fireflypath.ReasonStopping, Detail: "the daemon stops", RetryAfter: flushTimeout,
}

// Stop finishes the requests that the daemon holds. When the context ends, waiting requests are
// refused. Requests that still run after flushTimeout are cut off, so that their callers notice
// that the answer is incomplete.
func (callerListener) Stop(ctx context.Context, d *Daemon) error {
	done := make(chan error, 1)
	go func() { done <- d.callerServer.Shutdown(context.WithoutCancel(ctx)) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
	}
	d.deps.Log.Info("planned stop timed out", zap.Int("connections", d.callerListener.OpenConns()))
	d.pools.Stop(stopRefusal)
	d.claims.Abort()
	select {
	case err := <-done:
		return err
	case <-d.deps.Clock.After(flushTimeout):
	}
	err := d.callerListener.Kill()
	d.disconnects.DisconnectAll()
	return err
}
