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

// reportEvery is how old a scraped figure may be; scrapes are rarer.
const reportEvery = time.Second

// metrics makes the scope that all parts count in.
type metrics struct{}

func (metrics) String() string { return "metrics" }

func (metrics) Run(ctx context.Context, d *Daemon) error {
	reg := prometheus.NewRegistry()
	r := reporter.NewReporter(reporter.Options{
		Registerer: reg, Gatherer: reg,
		// Two parts that give one name different tags would crash the process
		// without it; the second is left out instead.
		OnRegisterError: func(error) {},
	})
	d.scope, d.reports = tally.NewRootScope(tally.ScopeOptions{
		Prefix: "fireflypath", CachedReporter: r, Separator: reporter.DefaultSeparator,
		OmitCardinalityMetrics: true,
	}, reportEvery)
	page := adaptor.HTTPHandler(r.HTTPHandler())
	d.deps.Operator = append(d.deps.Operator, func(app *fiber.App) { app.Get("/metrics", page) })
	return nil
}

func (metrics) Stop(ctx context.Context, d *Daemon) error {
	return d.reports.Close()
}
