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
	Config       *fireflypath.Config
	teamsByKey   map[[sha256.Size]byte]keyEntry
	tiers        map[string]*fireflypath.Tier
	pools        map[string]*fireflypath.Pool
	poolsByModel map[string]*fireflypath.Pool
}

type keyEntry struct {
	hash      [sha256.Size]byte
	team      *fireflypath.Team
	expiresAt time.Time
}

// New indexes the configuration.
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

// TeamByToken is the team whose key hashes from the token, or nil.
//
// The map finds a candidate by the hash, of which a caller can choose no byte;
// the comparison of the whole hash takes the same time for every token.
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

// Tier is the tier of the name, or nil.
func (c *Catalog) Tier(name string) *fireflypath.Tier {
	return c.tiers[name]
}

// Pool is the pool of the name, or nil.
func (c *Catalog) Pool(name string) *fireflypath.Pool {
	return c.pools[name]
}

// PoolByModel is the pool that serves the model, or nil.
func (c *Catalog) PoolByModel(name string) *fireflypath.Pool {
	return c.poolsByModel[name]
}

// Cache holds the catalog of the configuration in force.
type Cache struct {
	current atomic.Pointer[Catalog]
}

// Get is the configuration's catalog. Requests pay two atomic loads; the first
// one after a change builds the index.
func (c *Cache) Get(cfg *fireflypath.Config) *Catalog {
	if cat := c.current.Load(); cat != nil && cat.Config == cfg {
		return cat
	}
	cat := New(cfg)
	c.current.Store(cat)
	return cat
}
