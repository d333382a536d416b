package daemon

import (
	"context"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/claim"
	"github.com/fireflypath/fireflypath/internal/claim/memory"
	"github.com/fireflypath/fireflypath/internal/route"
	"github.com/fireflypath/fireflypath/internal/route/evidence"
	"github.com/fireflypath/fireflypath/internal/route/meter"
)

// claims creates the claims of idempotency keys in the platform's store, or in memory without it.
type claims struct{}

func (claims) String() string { return "claims" }

func (claims) Run(ctx context.Context, d *Daemon) error {
	store := d.deps.Store
	if store == nil {
		store = memory.New()
	}
	d.claims = claim.New(store, d.deps.Clock)
	return nil
}

func (claims) Stop(ctx context.Context, d *Daemon) error {
	d.claims.Close(ctx)
	return nil
}

// routeStep creates the route, which handles the requests of callers.
type routeStep struct{}

func (routeStep) String() string { return "route" }

func (routeStep) Run(ctx context.Context, d *Daemon) error {
	d.route = route.New(route.Deps{
		Name:    d.cfg.Name,
		Clock:   d.deps.Clock,
		Configs: d.deps.Configs,
		Pools:   d.pools,
		Backends: map[fireflypath.PoolKind]fireflypath.Backend{
			fireflypath.KindEngine:  d.engine,
			fireflypath.KindService: d.service,
		},
		Claims:   d.claims,
		Meter:    meter.New(d.scope),
		Log:      d.deps.Log,
		Members:  d.deps.Members,
		Rules:    &d.rules,
		Recorder: d.deps.Recorder,
		Leaving: func(target string) {
			d.evidence.ReportLeaving(target, evidence.SourceTarget, d.deps.Clock.Now())
		},
		Unreachable: d.reportUnreachable,
	})
	return nil
}

func (routeStep) Stop(context.Context, *Daemon) error { return nil }
