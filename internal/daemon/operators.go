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

// records creates the recorder of finished requests.
type records struct{}

func (records) String() string { return "records" }

func (records) Run(ctx context.Context, d *Daemon) error {
	if d.deps.Recorder == nil && !d.deps.NoRecorder {
		d.deps.Recorder = record.New(d.cfg.Records.Bytes)
	}
	return nil
}

func (records) Stop(context.Context, *Daemon) error { return nil }

// operators creates the handler of commands and queries, which operatorEndpoint serves.
type operators struct{}

func (operators) String() string { return "operators" }

func (operators) Run(ctx context.Context, d *Daemon) error {
	committer, members := d.deps.Committer, d.deps.Members
	if committer == nil {
		// Without the platform's store it refuses every change and gives the reason.
		committer = registry.New(nil, d.cfg.Initial, d.cfg.Name, d.deps.Clock, d.scope, d.deps.Log)
	}
	if members == nil {
		members = singleMember{d}
	}
	tlsConfig, err := clientTLS(d.cfg.Listen.OperatorsTLS)
	if err != nil {
		return err
	}
	deps := operator.Deps{
		Sources: eval.Sources{
			Name: d.cfg.Name, Configs: d.deps.Configs, Members: members,
			Recorder: d.deps.Recorder, Committer: committer,
			Views: d.pools.Views, Demands: d.pools.Demands, OpenRequests: d.pools.OpenRequests, Clock: d.deps.Clock,
		},
		Orderer:   d.deps.Orderer,
		Forwarder: forward.New(tlsConfig),
		Scope:     d.scope,
	}
	if d.quarantine != nil {
		deps.Quarantine = d.quarantine
	}
	api := operator.New(deps)
	d.deps.OperatorRoutes = append(d.deps.OperatorRoutes, func(app *fiber.App) { api.Register(app) })
	return nil
}

func (operators) Stop(context.Context, *Daemon) error { return nil }

// singleMember implements fireflypath.Members for a daemon without peers.
type singleMember struct{ d *Daemon }

// Live returns this daemon.
func (a singleMember) Live() []fireflypath.Member {
	return []fireflypath.Member{{
		Name: a.d.cfg.Name, Domain: a.d.cfg.Domain,
		CallerAddr: a.d.CallerAddr(), OperatorAddr: a.d.OperatorAddr(),
	}}
}
