package check

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"

	"github.com/go-playground/validator/v10"

	"github.com/fireflypath/fireflypath"
)

// Bounds of a configuration. The letter names 29,000 teams, 2,700 targets, 7
// models and 3 tiers; the bounds leave room above that and keep a mistake, such
// as a script in a loop, from filling every daemon's memory.
const (
	MaxTiers     = 16
	MaxTeams     = 40_000
	MaxPools     = 256
	MaxTargets   = 4_000
	MaxRules     = 256
	MaxOperators = 256
	MaxKeys      = 8
	MaxNames     = 64
	// MaxBytes bounds the whole configuration as JSON: 29,000 teams of some 200
	// bytes are 6 MB, and a daemon has 32 MB for all of control.
	MaxBytes = 12 << 20
)

var validate = validator.New(validator.WithRequiredStructEnabled())

// Config checks the next configuration against itself and, for what would lock
// people out, against the one in force; old may be nil. It returns Problems
// that hold everything found, or nil.
func Config(old, next *fireflypath.Config) error {
	c := &checker{cfg: next}
	c.fields(old)
	c.sizes()
	c.tiers()
	c.pools()
	c.teams()
	c.targets()
	c.rules()
	c.operators()
	if old != nil {
		c.lockout(old)
	}
	return c.problems.Err()
}

type checker struct {
	cfg      *fireflypath.Config
	problems Problems
	tierSet  names
	poolSet  names
	teamSet  names
}

// names is a set of the names of one kind.
type names map[string]struct{}

func (n names) has(name string) bool {
	_, ok := n[name]
	return ok
}

// collect reads the names of a kind and reports those given twice.
func collect[T any](c *checker, kind string, list []T, name func(*T) string) names {
	set := make(names, len(list))
	for i := range list {
		s := name(&list[i])
		if set.has(s) {
			c.problems.Add(kind+" "+s, "is defined twice")
		}
		set[s] = struct{}{}
	}
	return set
}

func (c *checker) sizes() {
	bounds := []struct {
		kind   string
		n, max int
	}{
		{"tiers", len(c.cfg.Tiers), MaxTiers},
		{"teams", len(c.cfg.Teams), MaxTeams},
		{"pools", len(c.cfg.Pools), MaxPools},
		{"targets", len(c.cfg.Targets), MaxTargets},
		{"rules", len(c.cfg.Rules), MaxRules},
		{"operators", len(c.cfg.Operators), MaxOperators},
	}
	for _, b := range bounds {
		if b.n > b.max {
			c.problems.Add(b.kind, "are %d, above the limit of %d", b.n, b.max)
		}
	}
	if n := c.bytes(); n > MaxBytes {
		c.problems.Add("configuration", "is about %d bytes, above the limit of %d", n, MaxBytes)
	}
}

// bytes is the length of the configuration as JSON, written element by element:
// a buffer for all of it would be most of the memory that a check takes.
func (c *checker) bytes() int {
	var n counter
	enc := json.NewEncoder(&n)
	err := errors.Join(
		encode(enc, c.cfg.Tiers), encode(enc, c.cfg.Teams), encode(enc, c.cfg.Pools),
		encode(enc, c.cfg.Targets), encode(enc, c.cfg.Rules), encode(enc, c.cfg.Operators),
	)
	if err != nil {
		c.problems.Add("configuration", "cannot be written: %v", err)
	}
	return int(n)
}

func encode[T any](enc *json.Encoder, list []T) error {
	for i := range list {
		if err := enc.Encode(&list[i]); err != nil {
			return err
		}
	}
	return nil
}

// counter is a writer that keeps only the length.
type counter int

func (n *counter) Write(p []byte) (int, error) {
	*n += counter(len(p))
	return len(p), nil
}

func (c *checker) tiers() {
	c.tierSet = collect(c, "tier", c.cfg.Tiers, func(t *fireflypath.Tier) string { return t.Name })
	ranks := make(map[int]string, len(c.cfg.Tiers))
	for _, t := range c.cfg.Tiers {
		if other, taken := ranks[t.Rank]; taken && other != t.Name {
			c.problems.Add("tier "+t.Name, "has rank %d, which tier %s has", t.Rank, other)
		}
		ranks[t.Rank] = t.Name
	}
}

func (c *checker) pools() {
	c.poolSet = collect(c, "pool", c.cfg.Pools, func(p *fireflypath.Pool) string { return p.Name })
	served := make(map[string]string)
	for _, p := range c.cfg.Pools {
		if p.Kind == fireflypath.KindEngine && len(p.Models) == 0 {
			c.problems.Add("pool "+p.Name, "is of kind engine and has no models")
		}
		if p.Kind == fireflypath.KindService && len(p.Models) > 0 {
			c.problems.Add("pool "+p.Name, "is of kind service and has models")
		}
		c.list("pool "+p.Name, "models", len(p.Models), MaxNames)
		for _, m := range p.Models {
			if other, taken := served[m]; taken && other != p.Name {
				c.problems.Add("pool "+p.Name, "serves model %s, which pool %s serves", m, other)
			}
			served[m] = p.Name
		}
	}
}

func (c *checker) teams() {
	c.teamSet = collect(c, "team", c.cfg.Teams, func(t *fireflypath.Team) string { return t.Name })
	owners := make(map[string]string)
	for i := range c.cfg.Teams {
		t := &c.cfg.Teams[i]
		subject := "team " + t.Name
		c.named(subject, "tier", t.Tiers, c.tierSet)
		c.named(subject, "pool", t.Pools, c.poolSet)
		c.list(subject, "tiers", len(t.Tiers), MaxNames)
		c.list(subject, "pools", len(t.Pools), MaxNames)
		c.keys(subject, t.Keys, owners)
	}
}

// keys finds keys held twice: two owners of one key could not be told apart.
func (c *checker) keys(subject string, keys []fireflypath.Key, owners map[string]string) {
	c.list(subject, "keys", len(keys), MaxKeys)
	for _, k := range keys {
		if other, taken := owners[k.Hash]; taken {
			c.problems.Add(subject, "has a key that %s has", other)
		}
		owners[k.Hash] = subject
	}
}

func (c *checker) targets() {
	collect(c, "target", c.cfg.Targets, func(t *fireflypath.Target) string { return t.Name })
	addrs := make(map[string]string, len(c.cfg.Targets))
	for _, t := range c.cfg.Targets {
		subject := "target " + t.Name
		if !c.poolSet.has(t.Pool) {
			c.problems.Add(subject, "names pool %s, which does not exist", t.Pool)
		}
		if !numeric(t.Addr) {
			c.problems.Add(subject, "has the address %q, which is not an IP number and a port", t.Addr)
		}
		if other, taken := addrs[t.Addr]; taken && other != t.Name {
			c.problems.Add(subject, "has the address of target %s", other)
		}
		addrs[t.Addr] = t.Name
	}
}

// numeric refuses host names: a daemon resolves none (brief: TCP by IP numbers).
func numeric(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		return false
	}
	_, err = netip.ParseAddr(host)
	return err == nil
}

func (c *checker) rules() {
	collect(c, "rule", c.cfg.Rules, func(r *fireflypath.Rule) string { return r.Name })
	for _, r := range c.cfg.Rules {
		subject := "rule " + r.Name
		c.named(subject, "team", some(r.Team), c.teamSet)
		c.named(subject, "tier", some(r.Tier), c.tierSet)
		c.named(subject, "pool", some(r.Pool), c.poolSet)
		if r.Act == fireflypath.RuleLimit && r.Limit == 0 {
			c.problems.Add(subject, "limits and names no limit")
		}
		if r.Act != fireflypath.RuleLimit && r.Limit != 0 {
			c.problems.Add(subject, "names a limit and does not limit")
		}
	}
}

func some(name string) []string {
	if name == "" {
		return nil
	}
	return []string{name}
}

func (c *checker) operators() {
	collect(c, "operator", c.cfg.Operators, func(o *fireflypath.Operator) string { return o.Name })
	owners := make(map[string]string)
	for _, o := range c.cfg.Operators {
		c.keys("operator "+o.Name, o.Keys, owners)
	}
}

func (c *checker) named(subject, kind string, list []string, known names) {
	for _, name := range list {
		if !known.has(name) {
			c.problems.Add(subject, "names %s %s, which does not exist", kind, name)
		}
	}
}

func (c *checker) list(subject, what string, n, limit int) {
	if n > limit {
		c.problems.Add(subject, "has %s, above the limit of %d", fmt.Sprint(n, " ", what), limit)
	}
}
