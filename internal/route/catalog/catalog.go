// Package catalog indexes a configuration for lookups by key, name and model.
package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"sync/atomic"
	"time"

	"github.com/fireflypath/fireflypath"
)

// Catalog is an immutable index of one configuration.
type Catalog struct {
	Config       *fireflypath.Config
	teamsByKey   map[[sha256.Size]byte]keyEntry
	tiers        map[string]*fireflypath.Tier
	pools        map[string]*fireflypath.Pool
	poolsByModel map[string]*fireflypath.Pool
}

// keyEntry is a team's key, by its hash, with the time from which it is no longer
// valid.
type keyEntry struct {
	hash      [sha256.Size]byte
	team      *fireflypath.Team
	expiresAt time.Time
}

// New returns the index of the configuration.
func New(cfg *fireflypath.Config) *Catalog {
	c := &Catalog{
		Config:       cfg,
		teamsByKey:   make(map[[sha256.Size]byte]keyEntry, len(cfg.Teams)),
		tiers:        make(map[string]*fireflypath.Tier, len(cfg.Tiers)),
		pools:        make(map[string]*fireflypath.Pool, len(cfg.Pools)),
		poolsByModel: map[string]*fireflypath.Pool{},
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
		c.poolsByModel[m] = p
	}
}

func (c *Catalog) addTeam(t *fireflypath.Team) {
	for _, k := range t.Keys {
		e := keyEntry{team: t, expiresAt: k.Until}
		if n, err := hex.Decode(e.hash[:], []byte(k.Hash)); err == nil && n == len(e.hash) {
			c.teamsByKey[e.hash] = e
		}
	}
}

// TeamByToken returns the team that the token is a valid key of, or nil.
//
// The map lookup by hash leaks no usable timing, because a caller cannot choose any
// byte of the hash. The full hashes are compared in constant time.
func (c *Catalog) TeamByToken(token string, now time.Time) *fireflypath.Team {
	sum := sha256.Sum256([]byte(token))
	e := c.teamsByKey[sum]
	if subtle.ConstantTimeCompare(e.hash[:], sum[:]) != 1 {
		return nil
	}
	if !e.expiresAt.IsZero() && !now.Before(e.expiresAt) {
		return nil
	}
	return e.team
}

// Tier returns the tier with the name, or nil.
func (c *Catalog) Tier(name string) *fireflypath.Tier {
	return c.tiers[name]
}

// Pool returns the pool with the name, or nil.
func (c *Catalog) Pool(name string) *fireflypath.Pool {
	return c.pools[name]
}

// PoolByModel returns the pool that serves the model, or nil.
func (c *Catalog) PoolByModel(name string) *fireflypath.Pool {
	return c.poolsByModel[name]
}

// Cache holds the catalog of the current configuration.
type Cache struct {
	current atomic.Pointer[Catalog]
}

// Get returns the catalog of the configuration. With reading the current
// configuration it costs a request two atomic loads; the first call after a change
// builds the index.
func (c *Cache) Get(cfg *fireflypath.Config) *Catalog {
	if cat := c.current.Load(); cat != nil && cat.Config == cfg {
		return cat
	}
	cat := New(cfg)
	c.current.Store(cat)
	return cat
}
