package daemon

import (
	"context"
	"time"

	decide "github.com/fireflypath/fireflypath/internal/decide/quarantine"
	"github.com/fireflypath/fireflypath/internal/quarantine"
)

const (
	// heldTargets is how many targets end before a request is held, heldTime for how
	// long it is at first, unless the settings say otherwise.
	heldTargets = 3
	heldTime    = time.Hour
)

// held makes the quarantine of requests that end targets.
type held struct{}

func (held) String() string { return "quarantine" }

func (held) Run(_ context.Context, d *Daemon) error {
	cfg := d.cfg.Gate.Quarantine
	if cfg.Disabled {
		return nil
	}
	out := decide.Config{MinCrashes: cfg.Targets, HoldTime: cfg.Duration.Std()}
	if out.MinCrashes == 0 {
		out.MinCrashes = heldTargets
	}
	if out.HoldTime == 0 {
		out.HoldTime = heldTime
	}
	deps := quarantine.Deps{
		Self: d.cfg.Name, Store: d.deps.Store, PoolSize: d.targetsOf, Clock: d.deps.Clock, Scope: d.scope, Log: d.deps.Log,
	}
	if d.members != nil {
		deps.Peers, deps.Members = d.peers, d.members
	}
	d.quarantine = quarantine.New(out, deps)
	return nil
}

// targetsOf counts the targets of a pool.
func (d *Daemon) targetsOf(pool string) int {
	n := 0
	for _, t := range d.deps.Configs.Current().Targets {
		if t.Pool == pool {
			n++
		}
	}
	return n
}

func (held) Stop(context.Context, *Daemon) error { return nil }
