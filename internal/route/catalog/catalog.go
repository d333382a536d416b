// Package catalog finds things in a configuration without walking it.
package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath"
)

// Catalog is the index of one configuration. It is never changed.
type Catalog struct {
	Config *fireflypath.Config
	teams  map[[sha256.Size]byte]entry
	tiers  map[string]*fireflypath.Tier
	pools  map[string]*fireflypath.Pool
	models map[string]*fireflypath.Pool
}

type entry struct {
	hash  [sha256.Size]byte
	team  *fireflypath.Team
	until time.Time
}

// New indexes the configuration.
func New(cfg *fireflypath.Config) *Catalog {
	c := &Catalog{
		Config: cfg,
		teams:  make(map[[sha256.Size]byte]entry, len(cfg.Teams)),
		tiers:  make(map[string]*fireflypath.Tier, len(cfg.Tiers)),
		pools:  make(map[string]*fireflypath.Pool, len(cfg.Pools)),
		models: map[string]*fireflypath.Pool{},
	}
	for i := range cfg.Tiers {
		c.tiers[cfg.Tiers[i].Name] = &cfg.Tiers[i]
	}
	for i := range cfg.Pools {
		c.addPool(&cfg.Pools[i])
	}
	for i := range cfg.Teams {
		c.addTeam(&cfg.Teams[i])
	}
	return c
}

func (c *Catalog) addPool(p *fireflypath.Pool) {
	c.pools[p.Name] = p
	for _, m := range p.Models {
		c.models[m] = p
	}
}

func (c *Catalog) addTeam(t *fireflypath.Team) {
	for _, k := range t.Keys {
		e := entry{team: t, until: k.Until}
		if n, err := hex.Decode(e.hash[:], []byte(k.Hash)); err == nil && n == len(e.hash) {
			c.teams[e.hash] = e
		}
	}
}

// Team is the team whose key hashes from the token, or nil.
//
// The map finds a candidate by the hash, of which a caller can choose no byte;
// the comparison of the whole hash takes the same time for every token.
func (c *Catalog) Team(token string, now time.Time) *fireflypath.Team {
	sum := sha256.Sum256([]byte(token))
	e := c.teams[sum]
	if subtle.ConstantTimeCompare(e.hash[:], sum[:]) != 1 {
		return nil
	}
	if !e.until.IsZero() && !now.Before(e.until) {
		return nil
	}
	return e.team
}

// Tier is the tier of the name, or nil.
func (c *Catalog) Tier(name string) *fireflypath.Tier {
	return c.tiers[name]
}

// Pool is the pool of the name, or nil.
func (c *Catalog) Pool(name string) *fireflypath.Pool {
	return c.pools[name]
}

// Model is the pool that serves the model, or nil.
func (c *Catalog) Model(name string) *fireflypath.Pool {
	return c.models[name]
}

// Cache holds the catalog of the configuration in force.
type Cache struct {
	last atomic.Pointer[Catalog]
}

// For is the configuration's catalog. Requests pay two atomic loads; the first
// one after a change builds the index.
func (c *Cache) For(cfg *fireflypath.Config) *Catalog {
	if cat := c.last.Load(); cat != nil && cat.Config == cfg {
		return cat
	}
	cat := New(cfg)
	c.last.Store(cat)
	return cat
}
