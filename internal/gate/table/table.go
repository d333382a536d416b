// Package table indexes a configuration for lookups of routes by host and path and of teams
// by key.
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

// Table is the index of one configuration. It is immutable.
type Table struct {
	routesByHost   map[string][]*fireflypath.Route
	teamsByKeyHash map[[sha256.Size]byte]*fireflypath.Team
	poolsByName    map[string]*fireflypath.Pool
	// leastQuota is the smallest quota of each group of comparable ones.
	leastQuota map[quotaGroup]float64
}

// New builds the index of a configuration.
func New(cfg *fireflypath.Config) *Table {
	t := &Table{
		routesByHost:   map[string][]*fireflypath.Route{},
		teamsByKeyHash: map[[sha256.Size]byte]*fireflypath.Team{},
		poolsByName:    map[string]*fireflypath.Pool{},
		leastQuota:     smallestQuotas(cfg.Teams),
	}
	for i := range cfg.Routes {
		r := &cfg.Routes[i]
		t.routesByHost[r.Host] = append(t.routesByHost[r.Host], r)
	}
	for _, list := range t.routesByHost {
		slices.SortStableFunc(list, func(a, b *fireflypath.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range cfg.Pools {
		t.poolsByName[cfg.Pools[i].Name] = &cfg.Pools[i]
	}
	for i := range cfg.Teams {
		t.addTeam(&cfg.Teams[i])
	}
	return t
}

// addTeam indexes the team by its keys; hashes that do not decode are ignored.
func (t *Table) addTeam(team *fireflypath.Team) {
	for _, k := range team.Keys {
		var hash [sha256.Size]byte
		if n, err := hex.Decode(hash[:], []byte(k.Hash)); err == nil && n == len(hash) {
			t.teamsByKeyHash[hash] = team
		}
	}
}

// Route returns the host's route with the longest prefix of the path, or nil.
func (t *Table) Route(host, path string) *fireflypath.Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Team returns the team that holds the key, or nil. The empty key is that of a request without one,
// and no team holds it. The map lookup compares hashes, whose
// bytes a caller cannot choose; the full hash is then compared in constant time.
func (t *Table) Team(key string) *fireflypath.Team {
	if key == "" {
		return nil
	}
	sum := sha256.Sum256([]byte(key))
	team := t.teamsByKeyHash[sum]
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

// Pool returns the pool with the name, or nil.
func (t *Table) Pool(name string) *fireflypath.Pool {
	return t.poolsByName[name]
}

// Cache holds the table of the current configuration. It is safe for concurrent use.
type Cache struct {
	current atomic.Pointer[cacheEntry]
}

type cacheEntry struct {
	cfg   *fireflypath.Config
	table *Table
}

// For returns the table of the configuration. The first request after a change builds it;
// a change of targets alone keeps the table, which does not depend on them.
func (c *Cache) For(cfg *fireflypath.Config) *Table {
	last := c.current.Load()
	if last != nil && (last.cfg == cfg || sameVersion(last.cfg, cfg)) {
		return last.table
	}
	t := New(cfg)
	c.current.Store(&cacheEntry{cfg: cfg, table: t})
	return t
}

// sameVersion reports whether two configurations differ at most in their targets: they have the same
// routes and teams in memory. A version alone may have been given out twice.
// Version 0 stands for no version and equals nothing.
func sameVersion(a, b *fireflypath.Config) bool {
	return a.Version == b.Version && a.Version != 0 && isSameSlice(a.Routes, b.Routes) && isSameSlice(a.Teams, b.Teams)
}

// isSameSlice reports whether two slices are the same elements in memory.
func isSameSlice[T any](a, b []T) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
