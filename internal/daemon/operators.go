package daemon

import (
	"context"

	"github.com/gofiber/fiber/v3"

	"github.com/fireflypath/fireflypath"
	registry "github.com/fireflypath/fireflypath/internal/configuration"
	"github.com/fireflypath/fireflypath/internal/operator"
	"github.com/fireflypath/fireflypath/internal/operator/forward"
	"github.com/fireflypath/fireflypath/internal/query/eval"
	"github.com/fireflypath/fireflypath/internal/record"
)

// records keeps the stories of requests.
type records struct{}

func (records) String() string { return "records" }

func (records) Run(ctx context.Context, d *Daemon) error {
	if d.deps.Recorder == nil && !d.deps.Unrecorded {
		d.deps.Recorder = record.New(d.cfg.Records.Bytes)
	}
	return nil
}

func (records) Stop(context.Context, *Daemon) error { return nil }

// operators answers commands and queries; the operator endpoint serves it.
type operators struct{}

func (operators) String() string { return "operators" }

func (operators) Run(ctx context.Context, d *Daemon) error {
	committer, members := d.deps.Committer, d.deps.Members
	if committer == nil {
		// Without the platform's service it refuses every change by name.
		committer = registry.New(nil, d.cfg.Initial, d.cfg.Name, d.deps.Clock, d.scope, d.deps.Log)
	}
	if members == nil {
		members = alone{d}
	}
	secure, err := towards(d.cfg.Listen.OperatorsTLS)
	if err != nil {
		return err
	}
	deps := operator.Deps{
		Sources: eval.Sources{
			Name: d.cfg.Name, Configs: d.deps.Configs, Members: members,
			Recorder: d.deps.Recorder, Committer: committer,
			Views: d.pools.Views, Demands: d.pools.Demands, Open: d.pools.OpenRequests, Clock: d.deps.Clock,
		},
		Orderer:   d.deps.Orderer,
		Forwarder: forward.New(secure),
		Scope:     d.scope,
	}
	if d.quarantine != nil {
		deps.Quarantine = d.quarantine
	}
	api := operator.New(deps)
	d.deps.Operator = append(d.deps.Operator, func(app *fiber.App) { api.Register(app) })
	return nil
}

func (operators) Stop(context.Context, *Daemon) error { return nil }

// alone is the membership of a daemon without peers.
type alone struct{ d *Daemon }

// Live is this daemon.
func (a alone) Live() []fireflypath.Member {
	return []fireflypath.Member{{
		Name: a.d.cfg.Name, Domain: a.d.cfg.Domain,
		Caller: a.d.CallerAddr(), Operator: a.d.OperatorAddr(),
	}}
}
