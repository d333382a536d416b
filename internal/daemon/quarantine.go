package daemon

import (
	"context"
	"time"

	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/quarantine"
)

const (
	// defaultMinCrashes is the number of targets that crash before a request is quarantined,
	// and defaultHoldTime how long it is quarantined at first, unless the settings say
	// otherwise.
	defaultMinCrashes = 3
	defaultHoldTime   = time.Hour
)

// quarantineStep creates the quarantine of requests that crash targets.
type quarantineStep struct{}

func (quarantineStep) String() string { return "quarantine" }

func (quarantineStep) Run(_ context.Context, d *Daemon) error {
	cfg := d.cfg.Gate.Quarantine
	if cfg.Disabled {
		return nil
	}
	policy := poison.Config{MinCrashes: cfg.Targets, HoldTime: cfg.Duration.Std()}
	if policy.MinCrashes == 0 {
		policy.MinCrashes = defaultMinCrashes
	}
	if policy.HoldTime == 0 {
		policy.HoldTime = defaultHoldTime
	}
	deps := quarantine.Deps{
		Self: d.cfg.Name, Store: d.deps.Store, PoolSize: d.poolSize, Clock: d.deps.Clock, Scope: d.scope, Log: d.deps.Log,
	}
	if d.members != nil {
		deps.Peers, deps.Members = d.peers, d.members
	}
	d.quarantine = quarantine.New(policy, deps)
	return nil
}

// poolSize returns the number of targets of a pool.
func (d *Daemon) poolSize(pool string) int {
	n := 0
	for _, t := range d.deps.Configs.Current().Targets {
		if t.Pool == pool {
			n++
		}
	}
	return n
}

func (quarantineStep) Stop(context.Context, *Daemon) error { return nil }
