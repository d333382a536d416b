package daemon

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/fireflypath/fireflypath/internal/caller/listener"
)

const (
	// maxOperatorBody fits the longest command, 16 KiB, with every byte escaped in JSON.
	maxOperatorBody = 128 << 10
	// operatorReadTimeout ends calls whose bytes arrive too slowly. operatorIdleTimeout is
	// above the seconds between two calls of an auto-refreshing view or a metrics scraper.
	operatorReadTimeout = 10 * time.Second
	operatorIdleTimeout = time.Minute
)

// operatorEndpoint serves health checks, metrics, queries and commands.
type operatorEndpoint struct{}

func (operatorEndpoint) String() string { return "operator endpoint" }

func (operatorEndpoint) Run(ctx context.Context, d *Daemon) error {
	ln, err := d.listen(d.cfg.Listen.Operators, d.cfg.Listen.OperatorsTLS, bound{maxOperatorConnections, operatorReceiveBuffer})
	if err != nil {
		return err
	}
	d.operatorListener = listener.New(ln, 0, nil)
	d.operatorApp = fiber.New(fiber.Config{
		BodyLimit: maxOperatorBody, ReadTimeout: operatorReadTimeout, IdleTimeout: operatorIdleTimeout,
	})
	d.operatorApp.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	d.operatorApp.Get("/readyz", d.readyz)
	for _, add := range d.deps.OperatorRoutes {
		add(d.operatorApp)
	}
	d.background.Go(func() {
		_ = d.operatorApp.Listener(d.operatorListener, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

func (operatorEndpoint) Stop(ctx context.Context, d *Daemon) error {
	return d.operatorListener.Kill()
}

func (d *Daemon) readyz(c fiber.Ctx) error {
	if !d.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// readiness marks the daemon as ready. It is the last step to start and the first to stop.
type readiness struct{}

func (readiness) String() string { return "readiness" }

func (readiness) Run(ctx context.Context, d *Daemon) error {
	if d.members != nil {
		d.members.SetAddresses(d.CallerAddr(), d.OperatorAddr())
	}
	d.ready.Store(true)
	return nil
}

func (readiness) Stop(ctx context.Context, d *Daemon) error {
	d.ready.Store(false)
	if d.members != nil {
		d.members.SetLeaving()
	}
	if delay := d.cfg.Stop.ReadinessDelay.Std(); delay > 0 {
		select {
		case <-d.deps.Clock.After(delay):
		case <-ctx.Done():
		}
	}
	return nil
}
