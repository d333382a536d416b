// Package table finds a request's route and a key's team without walking the configuration.
package table

import (
	"cmp"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/fireflypath/fireflypath"
)

// Table is the index of one configuration. It is never changed.
type Table struct {
	hosts map[string][]*fireflypath.Route
	teams map[[sha256.Size]byte]*fireflypath.Team
	pools map[string]*fireflypath.Pool
}

// New indexes the configuration.
func New(cfg *fireflypath.Config) *Table {
	t := &Table{
		hosts: map[string][]*fireflypath.Route{},
		teams: map[[sha256.Size]byte]*fireflypath.Team{},
		pools: map[string]*fireflypath.Pool{},
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, list := range t.hosts {
		slices.SortStableFunc(list, func(a, b *fireflypath.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range cfg.Pools {
		t.pools[cfg.Pools[i].Name] = &cfg.Pools[i]
	}
	for i := range cfg.Teams {
		t.addTeam(&cfg.Teams[i])
	}
	return t
}

func (t *Table) addTeam(team *fireflypath.Team) {
	for _, k := range team.Keys {
		var hash [sha256.Size]byte
		if n, err := hex.Decode(hash[:], []byte(k.Hash)); err == nil && n == len(hash) {
			t.teams[hash] = team
		}
	}
}

// Route is the route of the host with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *fireflypath.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Keyed is true if the configuration knows teams, so that requests carry keys.
func (t *Table) Keyed() bool {
	return len(t.teams) > 0
}

// Team is the team that holds the key, or nil. The map finds a candidate by the
// hash, of which a caller can choose no byte; the whole is compared in constant
// time.
func (t *Table) Team(key string) *fireflypath.Team {
	sum := sha256.Sum256([]byte(key))
	team := t.teams[sum]
	if team == nil {
		return nil
	}
	for _, k := range team.Keys {
		if subtle.ConstantTimeCompare([]byte(k.Hash), []byte(hex.EncodeToString(sum[:]))) == 1 {
			return team
		}
	}
	return nil
}

// Pool is the pool of the name, or nil.
func (t *Table) Pool(name string) *fireflypath.Pool {
	return t.pools[name]
}

// Cache holds the table of the configuration in force.
type Cache struct {
	last atomic.Pointer[entry]
}

type entry struct {
	cfg   *fireflypath.Config
	table *Table
}

// For is the configuration's table. The first request after a change builds it;
// a change of targets alone takes over the table.
func (c *Cache) For(cfg *fireflypath.Config) *Table {
	last := c.last.Load()
	if last != nil && (last.cfg == cfg || same(last.cfg, cfg)) {
		return last.table
	}
	t := New(cfg)
	c.last.Store(&entry{cfg: cfg, table: t})
	return t
}

// same is true for two generations that differ in their targets only.
func same(a, b *fireflypath.Config) bool {
	return a.Version == b.Version && a.Version != 0
}
