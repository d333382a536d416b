package daemon

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"

	"github.com/fireflypath/fireflypath/internal/caller/door"
)

const (
	// operatorBody holds the longest command, 16 KiB, with every byte escaped in JSON.
	operatorBody = 128 << 10
	// operatorRead ends a call that trickles in; operatorIdle is above the
	// seconds between two calls of a living view or a scraper.
	operatorRead = 10 * time.Second
	operatorIdle = time.Minute
)

// operatorEndpoint serves health, metrics, queries and commands.
type operatorEndpoint struct{}

func (operatorEndpoint) String() string { return "operator endpoint" }

func (operatorEndpoint) Run(ctx context.Context, d *Daemon) error {
	ln, err := d.listen(d.cfg.Listen.Operators, d.cfg.Listen.OperatorsTLS)
	if err != nil {
		return err
	}
	d.back = door.New(ln, 0, nil)
	d.operator = fiber.New(fiber.Config{
		BodyLimit: operatorBody, ReadTimeout: operatorRead, IdleTimeout: operatorIdle,
	})
	d.operator.Get("/healthz", func(c fiber.Ctx) error { return c.SendString("ok\n") })
	d.operator.Get("/readyz", d.readyz)
	for _, add := range d.deps.Operator {
		add(d.operator)
	}
	d.work.Go(func() {
		_ = d.operator.Listener(d.back, fiber.ListenConfig{DisableStartupMessage: true})
	})
	return nil
}

func (operatorEndpoint) Stop(ctx context.Context, d *Daemon) error {
	return d.back.Kill()
}

func (d *Daemon) readyz(c fiber.Ctx) error {
	if !d.Ready() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

// readiness is the last thing up and the first down.
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
	if notice := d.cfg.Stop.ReadinessDelay.Std(); notice > 0 {
		select {
		case <-d.deps.Clock.After(notice):
		case <-ctx.Done():
		}
	}
	return nil
}
