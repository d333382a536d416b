package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/logs"
)

const (
	// headerBytes and headerTime bound a request's header; they are no stricter
	// than the platform's own limits.
	headerBytes = 32 << 10
	headerTime  = 10 * time.Second
	// idleCallers is above the idle time of any configuration, so that callers
	// close first.
	idleCallers = 90 * time.Second
	// noticePart is the part of the grace time in which a daemon that stops still
	// takes requests: the balancer needs two looks a second apart to send callers
	// elsewhere. What is taken later could not be finished.
	noticePart = 0.33
	// yieldPart is when a daemon that stops refuses what still waits for a
	// target: its caller has time to get an answer elsewhere.
	yieldPart = 0.5
	// flushPart is kept for the last answers.
	flushPart = 0.06
)

// gateListener lets callers in.
type gateListener struct{}

func (gateListener) String() string { return "caller listener" }

func (gateListener) Run(_ context.Context, d *Daemon) error {
	ln, err := d.listen(d.cfg.Listen.Callers, d.cfg.Listen.CallersTLS)
	if err != nil {
		return errors.Wrapf(err, "listen for callers on %s", d.cfg.Listen.Callers)
	}
	d.entry = &http.Server{
		Handler:           d.gate,
		MaxHeaderBytes:    headerBytes,
		ReadHeaderTimeout: headerTime,
		IdleTimeout:       idleCallers,
		ErrorLog:          zap.NewStdLog(zap.NewNop()),
	}
	d.entryAddr = ln.Addr().String()
	d.work.Go(func() {
		if err := d.entry.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.deps.Log.Error("no longer listening for callers", logs.Cause(err))
		}
	})
	return nil
}

// Stop takes requests for a while still, since the balancer has to notice
// first, and tells each caller to come back elsewhere. Then it finishes what it
// holds: what still waits for a target is refused as not run while there is time
// to get an answer elsewhere, and what runs at the end of the grace time is cut,
// so that its caller sees the cut.
func (gateListener) Stop(ctx context.Context, d *Daemon) error {
	grace := d.cfg.Gate.TerminationGrace.Std()
	d.pause(ctx, grace, noticePart)
	limit := time.Duration((1 - noticePart - flushPart) * float64(grace))
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d.work.Go(func() {
		d.pause(ctx, grace, yieldPart-noticePart)
		d.pools.Stop(moving)
	})
	if err := d.entry.Shutdown(ctx); err != nil {
		d.deps.Log.Info("planned stop at its limit", logs.Cause(err))
	}
	return d.entry.Close()
}

// moving is the refusal of what still waits when a planned stop goes on.
var moving = fireflypath.Refusal{
	Code: fireflypath.ReasonStopping, Detail: "the daemon stops", RetryAfter: 50 * time.Millisecond,
}

// pause waits for a part of the grace time.
func (d *Daemon) pause(ctx context.Context, grace time.Duration, part float64) {
	select {
	case <-d.deps.Clock.After(time.Duration(part * float64(grace))):
	case <-ctx.Done():
	}
}

// readyListener tells the balancer whether to send callers here.
type readyListener struct{}

func (readyListener) String() string { return "ready listener" }

func (readyListener) Run(_ context.Context, d *Daemon) error {
	if d.cfg.Listen.Ready == "" {
		return nil
	}
	ln, err := d.listen(d.cfg.Listen.Ready, nil)
	if err != nil {
		return errors.Wrapf(err, "listen for the balancer on %s", d.cfg.Listen.Ready)
	}
	srv := &http.Server{
		ReadHeaderTimeout: headerTime, IdleTimeout: idleCallers, ErrorLog: zap.NewStdLog(zap.NewNop()),
		Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !d.takes() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}),
	}
	d.readyServer = srv
	d.work.Go(func() {
		if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
			d.deps.Log.Error("no longer listening for the balancer", logs.Cause(err))
		}
	})
	return nil
}

// Stop comes after the last answer: until then the balancer reads "not ready". Left
// open, the listener would hold the process up until it is killed.
func (readyListener) Stop(_ context.Context, d *Daemon) error {
	if d.readyServer == nil {
		return nil
	}
	return errors.Wrap(d.readyServer.Close(), "close the balancer's listener")
}

// takes is true while the daemon can serve callers: it has routes and targets,
// and a view that is young enough to run keyed requests.
func (d *Daemon) takes() bool {
	if !d.Ready() {
		return false
	}
	cfg := d.deps.Configs.Current()
	if len(cfg.Routes) == 0 || len(cfg.Targets) == 0 {
		return false
	}
	return d.directory.Age() < d.cfg.Gate.RevocationDelay.Std()-viewMargin
}
