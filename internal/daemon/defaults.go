package daemon

import (
	"context"

	"github.com/jonboulle/clockwork"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath/internal/platform"
)

// defaults sets the clock and the logger if they were not given.
type defaults struct{}

func (defaults) String() string { return "basics" }

func (defaults) Run(ctx context.Context, d *Daemon) error {
	if d.deps.Clock == nil {
		d.deps.Clock = clockwork.NewRealClock()
	}
	if d.deps.Log == nil {
		d.deps.Log = zap.NewNop()
	}
	return nil
}

func (defaults) Stop(context.Context, *Daemon) error { return nil }

// platformClient creates the client of the store and the host list.
type platformClient struct{}

func (platformClient) String() string { return "platform client" }

func (platformClient) Run(ctx context.Context, d *Daemon) error {
	if d.cfg.Platform.Addr == "" || d.deps.Store != nil {
		return nil
	}
	c := platform.New(d.cfg.Platform.Addr, d.cfg.Platform.Timeout.Std())
	d.deps.Store = c
	if d.deps.Hosts == nil {
		d.deps.Hosts = c
	}
	return nil
}

func (platformClient) Stop(context.Context, *Daemon) error { return nil }
