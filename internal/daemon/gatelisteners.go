package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/gate/callerconn"
	"github.com/fireflypath/fireflypath/internal/logs"
)

const (
	// maxHeaderBytes and headerTimeout limit the header of a request. They are no stricter
	// than the platform's own limits.
	maxHeaderBytes = 32 << 10
	headerTimeout  = 10 * time.Second
	// callerIdleTimeout closes idle connections if the configuration does not tell when.
	callerIdleTimeout = 90 * time.Second
	// noticeFraction is the fraction of the grace period in which a stopping daemon still
	// accepts requests. The load balancer needs two checks, one second apart, before it sends
	// callers elsewhere. Requests accepted later could not be finished.
	noticeFraction = 0.33
	// refuseFraction is the fraction of the grace period after which a stopping daemon refuses
	// requests that still wait for a target. Their callers then have time to get an answer
	// from another daemon.
	refuseFraction = 0.5
	// flushFraction is the fraction that is reserved for writing the last answers.
	flushFraction = 0.06
)

// gateListener starts the server for callers.
type gateListener struct{}

func (gateListener) String() string { return "caller listener" }

func (gateListener) Run(_ context.Context, d *Daemon) error {
	ln, limited, err := d.listenLimited(d.cfg.Listen.Callers, d.cfg.Listen.CallersTLS, bound{d.maxCallerConnections(), callerconn.ReceiveBuffer})
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %s", d.cfg.Listen.Callers)
	}
	d.gateServer = &http.Server{
		Handler:           d.gate,
		ConnContext:       callerconn.Context,
		ConnState:         callerconn.SetState,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
	d.callerConns = limited
	d.background.Go(d.sweepConnections)
	d.gateAddr = ln.Addr().String()
	d.background.Go(func() {
		if err := d.gateServer.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.deps.Log.Error("caller listener failed", logs.Err(err))
		}
	})
	return nil
}

// Stop keeps accepting requests for a while, because the load balancer has to notice first, and
// tells each caller to reconnect elsewhere. Then it finishes the requests that the daemon holds.
// Those that wait for a target are refused as not run while there is time to get an answer from
// another daemon. Those that still run at the end of the grace period are cut off, so that their
// callers notice that the answer is incomplete.
func (gateListener) Stop(ctx context.Context, d *Daemon) error {
	grace := d.cfg.Gate.TerminationGrace.Std()
	d.waitFraction(ctx, grace, noticeFraction)
	limit := time.Duration((1 - noticeFraction - flushFraction) * float64(grace))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d.background.Go(func() {
		d.waitFraction(ctx, grace, refuseFraction-noticeFraction)
		d.pools.Stop(drainRefusal)
	})
	if err := d.gateServer.Shutdown(ctx); err != nil {
		d.deps.Log.Info("planned stop timed out", logs.Err(err))
	}
	if d.tunnel != nil {
		d.tunnel.Drain(ctx)
	}
	return d.gateServer.Close()
}

// drainRefusal is the refusal of requests that still wait for a target during a planned stop.
var drainRefusal = fireflypath.Refusal{
	Code: fireflypath.ReasonStopping, Detail: "the daemon stops", RetryAfter: 50 * time.Millisecond,
}

// waitFraction waits for a fraction of the grace period.
func (d *Daemon) waitFraction(ctx context.Context, grace time.Duration, fraction float64) {
	select {
	case <-d.deps.Clock.After(time.Duration(fraction * float64(grace))):
	case <-ctx.Done():
	}
}

// readyListener tells the load balancer whether to send callers to this daemon.
type readyListener struct{}

func (readyListener) String() string { return "ready listener" }

func (readyListener) Run(_ context.Context, d *Daemon) error {
	if d.cfg.Listen.Ready == "" {
		return nil
	}
	ln, err := d.listen(d.cfg.Listen.Ready, nil, bound{maxReadyConnections, readyReceiveBuffer})
	if err != nil {
		return errors.Wrapf(err, "listen for the balancer on %s", d.cfg.Listen.Ready)
	}
	srv := &http.Server{
		ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, ErrorLog: zap.NewStdLog(zap.NewNop()),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			d.awaitInForce()
			if !d.canServe() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
	}
	d.readyServer = srv
	d.background.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.deps.Log.Error("readiness listener failed", logs.Err(err))
		}
	})
	return nil
}

// readyHold is how long the answer to a load balancer waits for the first configuration. A balancer that
// reads "not ready" sends no callers until its next check.
const readyHold = 250 * time.Millisecond

// awaitInForce waits up to readyHold until the first configuration is in force.
func (d *Daemon) awaitInForce() {
	select {
	case <-d.inForce:
	case <-d.ctx.Done():
	case <-d.deps.Clock.After(readyHold):
	}
}

// Stop runs after the last answer, so that the load balancer reads "not ready" until then. If it did
// not close the listener, the process would not end until it is killed.
func (readyListener) Stop(_ context.Context, d *Daemon) error {
	if d.readyServer == nil {
		return nil
	}
	return errors.Wrap(d.readyServer.Close(), "close the balancer's listener")
}

// canServe reports whether the daemon can serve callers: it has routes, targets and a view that is
// recent enough to accept keys.
func (d *Daemon) canServe() bool {
	if !d.Ready() {
		return false
	}
	cfg := d.deps.Configs.Current()
	if len(cfg.Routes) == 0 || len(cfg.Targets) == 0 {
		return false
	}
	return d.directory.Age() < d.cfg.Gate.RevocationDelay.Std()-viewAgeMargin
}
