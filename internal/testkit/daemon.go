// Package testkit provides fakes and helpers shared by the tests of several packages.
package testkit

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/loopback"
	"github.com/fireflypath/fireflypath/pkg/settings"
)

// Token is the bearer token of the team in Config.
const Token = "token-of-team-a"

// Model is the model that the engine pool in Config serves.
const Model = "m"

// Config returns a configuration with one team, three tiers, the engine pool
// "engines" with targets e0, e1, ..., and the service pool "packets" with targets
// s0, s1, .... The arguments are the addresses of the targets.
func Config(engines, services []string) *fireflypath.Config {
	sum := sha256.Sum256([]byte(Token))
	cfg := &fireflypath.Config{
		Generation: 1,
		Tiers: []fireflypath.Tier{
			{Name: "gold", Rank: 0, Deadline: fireflypath.Duration(time.Minute)},
			{Name: "silver", Rank: 1, Deadline: fireflypath.Duration(time.Minute)},
			{Name: "bronze", Rank: 2, Deadline: fireflypath.Duration(time.Minute)},
		},
		Teams: []fireflypath.Team{{
			Name: "a", Tiers: []string{"gold", "silver", "bronze"},
			Keys: []fireflypath.Key{{Hash: hex.EncodeToString(sum[:])}},
		}},
		Pools: []fireflypath.Pool{
			{Name: "engines", Kind: fireflypath.KindEngine, Models: []string{Model}},
			{Name: "packets", Kind: fireflypath.KindService},
		},
	}
	cfg.Targets = append(targets("e", "engines", engines), targets("s", "packets", services)...)
	return cfg
}

func targets(prefix, pool string, addrs []string) []fireflypath.Target {
	var out []fireflypath.Target
	for i, a := range addrs {
		out = append(out, fireflypath.Target{
			Name: prefix + string(rune('0'+i)), Pool: pool, Addr: a, Domain: "d0",
		})
	}
	return out
}

// Settings returns the settings of a single daemon without peers that listens on free ports.
func Settings(cfg *fireflypath.Config) settings.Settings {
	return settings.Settings{
		Name: "d0", Domain: "d0", Initial: cfg,
		Listen: settings.Listen{Callers: loopback.ListenAddr(), Operators: loopback.Addr() + ":0"},
	}
}
