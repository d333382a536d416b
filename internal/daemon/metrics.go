package daemon

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/gofiber/fiber/v3/middleware/adaptor"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	reporter "github.com/uber-go/tally/v4/prometheus"
)

// metricsInterval is the maximum age of a scraped value. Scrapes are less frequent.
const metricsInterval = time.Second

// metrics creates the metrics scope and the handler for scrapes.
type metrics struct{}

func (metrics) String() string { return "metrics" }

func (metrics) Run(ctx context.Context, d *Daemon) error {
	reg := prometheus.NewRegistry()
	r := reporter.NewReporter(reporter.Options{
		Registerer: reg, Gatherer: reg,
		// Without it, two components that register one name with different labels would
		// crash the process. With it, the second metric is dropped.
		OnRegisterError: func(error) {},
	})
	d.scope, d.metricsCloser = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fireflypath", CachedReporter: r, Separator: reporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	handler := adaptor.HTTPHandler(r.HTTPHandler())
	d.deps.OperatorRoutes = append(d.deps.OperatorRoutes, func(app *fiber.App) { app.Get("/metrics", handler) })
	return nil
}

func (metrics) Stop(ctx context.Context, d *Daemon) error {
	return d.metricsCloser.Close()
}
