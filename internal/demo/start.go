package demo

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/daemon"
	"github.com/fireflypath/fireflypath/internal/fake/engine"
	"github.com/fireflypath/fireflypath/internal/fake/platform"
	"github.com/fireflypath/fireflypath/internal/fake/service"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/internal/mix"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

const (
	// The sizes of a first user's installation.
	failureDomains  = 3
	engineTargets   = 12
	serviceTargets  = 3
	platformLag     = time.Second
	reportLag       = 200 * time.Millisecond
	serviceDelay    = 20 * time.Millisecond
	loseCacheEvents = 10
	// OperatorToken is the operator key of a demo that keeps running.
	OperatorToken = "demo-operator"
)

// engineConfigs differ in speed, and are about five times as fast as real engines so
// that the longest requests of a mix end within the demo.
var engineConfigs = []engine.Config{
	{Batch: 16, Prefill: 60_000, Decode: 250, Cache: 128 << 10},
	{Batch: 16, Prefill: 40_000, Decode: 200, Cache: 64 << 10},
	{Batch: 8, Prefill: 30_000, Decode: 150, Cache: 64 << 10},
	{Batch: 4, Prefill: 15_000, Decode: 100, Cache: 32 << 10},
}

func (d *Demo) startPlatform(context.Context) error {
	d.platform = platform.New(platform.Config{Lag: platformLag}, d.clock)
	return d.platform.Listen(loopback.ListenAddr())
}

func (d *Demo) startTargets(context.Context) error {
	for i := range engineTargets {
		cfg := engineConfigs[i%len(engineConfigs)]
		cfg.Lag, cfg.DropEvery = reportLag, loseCacheEvents
		e, err := engine.New(cfg, d.clock)
		if err != nil {
			return err
		}
		d.engines = append(d.engines, e)
	}
	for range serviceTargets {
		s, err := service.New(service.Config{Delay: serviceDelay}, d.clock)
		if err != nil {
			return err
		}
		d.services = append(d.services, s)
	}
	var hosts []fireflypath.Host
	for _, t := range d.config().Targets {
		hosts = append(hosts, fireflypath.Host{Addr: t.Addr, Domain: t.Domain, State: fireflypath.HostLive})
	}
	d.platform.SetHosts(hosts...)
	return nil
}

func (d *Demo) startDaemons(ctx context.Context) error {
	for i := range d.options.Daemons {
		x, err := daemon.New(d.settings(i), daemon.Deps{Clock: d.clock})
		if err != nil {
			return err
		}
		if err := x.Start(ctx); err != nil {
			return err
		}
		d.daemons = append(d.daemons, x)
	}
	return nil
}

func failureDomain(i int) string {
	return string(rune('a' + i%failureDomains))
}

func (d *Demo) settings(i int) settings.Settings {
	free := loopback.ListenAddr()
	return settings.Settings{
		Name:     fmt.Sprintf("entry%d", i+1),
		Domain:   failureDomain(i),
		Listen:   settings.Listen{Callers: free, Operators: free, Peers: free},
		Platform: settings.Platform{Addr: d.platform.Addr()},
		Peers:    settings.Peers{AllowPlaintext: true},
		// Faults make streams go silent; a short timeout keeps callers from waiting
		// long.
		Limits:  settings.Limits{IdleTimeout: fireflypath.Duration(2 * time.Second)},
		Initial: d.config(),
	}
}

// config returns the initial configuration.
func (d *Demo) config() *fireflypath.Config {
	cfg := &fireflypath.Config{
		Generation: 1,
		Tiers:      d.options.Mix.Tiers,
		Pools: []fireflypath.Pool{
			{Name: mix.Models, Kind: fireflypath.KindEngine, Models: []string{mix.Model}},
			{Name: mix.Packets, Kind: fireflypath.KindService},
		},
		Operators: []fireflypath.Operator{{Name: "demo", Role: fireflypath.RoleOrder, Keys: hashedKeys(OperatorToken)}},
	}
	for _, t := range d.options.Mix.Teams {
		t.Keys = hashedKeys(mix.Token(t.Name))
		cfg.Teams = append(cfg.Teams, t)
	}
	for i, e := range d.engines {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{
			Name: fmt.Sprintf("engine%d", i+1), Pool: mix.Models, Addr: e.Addr(), Domain: failureDomain(i), Fenced: true,
		})
	}
	for i, s := range d.services {
		cfg.Targets = append(cfg.Targets, fireflypath.Target{
			Name: fmt.Sprintf("service%d", i+1), Pool: mix.Packets, Addr: s.Addr(), Domain: failureDomain(i),
		})
	}
	return cfg
}

func hashedKeys(token string) []fireflypath.Key {
	sum := sha256.Sum256([]byte(token))
	return []fireflypath.Key{{Hash: hex.EncodeToString(sum[:])}}
}
