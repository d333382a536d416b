package daemon

import (
	"context"

	"github.com/fireflypath/fireflypath/internal/origins"
)

// originsStep creates the registry of the versions at which streams began.
type originsStep struct{}

func (originsStep) String() string { return "origins of streams" }

func (originsStep) Run(_ context.Context, d *Daemon) error {
	deps := origins.Deps{
		Self: d.cfg.Name, Configs: d.deps.Configs, Freshness: d.directory,
		Clock: d.deps.Clock, Scope: d.scope, Log: d.deps.Log,
	}
	if d.members != nil {
		deps.Peers, deps.Members = d.peers, d.members
	}
	d.origins = origins.New(deps)
	d.background.Go(func() { d.origins.Run(d.ctx) })
	return nil
}

func (originsStep) Stop(context.Context, *Daemon) error { return nil }
