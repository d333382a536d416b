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

// Limits of a configuration. They allow for more than the specified 29,000 teams, 2,700
// targets, 7 models and 3 tiers, and prevent a mistake, such as a script in a loop, from
// filling the memory of every daemon.
const (
	MaxTiers     = 16
	MaxTeams     = 40_000
	MaxPools     = 256
	MaxTargets   = 4_000
	MaxRules     = 256
	MaxOperators = 256
	MaxKeys      = 8
	// MaxNames is the maximum length of a list of names, such as a team's pools.
	MaxNames = 64
	// MaxBytes limits the size of the configuration as JSON. 29,000 teams of about 200
	// bytes take 6 MB, and a daemon has 32 MB for its whole control plane.
	MaxBytes = 12 << 20
)

var validate = validator.New(validator.WithRequiredStructEnabled())

// Config checks the next configuration. If old, the configuration in force, is not nil,
// Config also refuses changes that would lock out all callers or operators. It returns a
// Problems value with everything it found, or nil.
func Config(old, next *fireflypath.Config) error {
	c := &checker{cfg: next}
	c.checkFields(old)
	c.checkSizes()
	c.checkTiers()
	c.checkPools()
	c.checkTeams()
	c.checkTargets()
	c.checkRules()
	c.checkOperators()
	if old != nil {
		c.checkLockout(old)
	}
	return c.problems.Err()
}

// checker checks one configuration and collects the problems.
type checker struct {
	cfg       *fireflypath.Config
	problems  Problems
	tierNames nameSet
	poolNames nameSet
	teamNames nameSet
}

// nameSet contains the names of all elements of one kind.
type nameSet map[string]struct{}

func (n nameSet) has(name string) bool {
	_, ok := n[name]
	return ok
}

// collectNames returns the names of a list and reports duplicates.
func collectNames[T any](c *checker, kind string, list []T, name func(*T) string) nameSet {
	set := make(nameSet, len(list))
	for i := range list {
		s := name(&list[i])
		if set.has(s) {
			c.problems.Add(kind+" "+s, "is defined twice")
		}
		set[s] = struct{}{}
	}
	return set
}

func (c *checker) checkSizes() {
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
	if n := c.encodedSize(); n > MaxBytes {
		c.problems.Add("configuration", "is about %d bytes, above the limit of %d", n, MaxBytes)
	}
}

// encodedSize returns the approximate size of the configuration as JSON. It encodes one
// element at a time, because a buffer for the whole would be most of the memory that a
// check uses.
func (c *checker) encodedSize() int {
	var n byteCounter
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

// byteCounter is an io.Writer that counts the bytes written.
type byteCounter int

func (n *byteCounter) Write(p []byte) (int, error) {
	*n += byteCounter(len(p))
	return len(p), nil
}

func (c *checker) checkTiers() {
	c.tierNames = collectNames(c, "tier", c.cfg.Tiers, func(t *fireflypath.Tier) string { return t.Name })
	ranks := make(map[int]string, len(c.cfg.Tiers))
	for _, t := range c.cfg.Tiers {
		if other, taken := ranks[t.Rank]; taken && other != t.Name {
			c.problems.Add("tier "+t.Name, "has rank %d, which tier %s has", t.Rank, other)
		}
		ranks[t.Rank] = t.Name
	}
}

func (c *checker) checkPools() {
	c.poolNames = collectNames(c, "pool", c.cfg.Pools, func(p *fireflypath.Pool) string { return p.Name })
	served := make(map[string]string)
	for _, p := range c.cfg.Pools {
		if p.Kind == fireflypath.KindEngine && len(p.Models) == 0 {
			c.problems.Add("pool "+p.Name, "is of kind engine and has no models")
		}
		if p.Kind == fireflypath.KindService && len(p.Models) > 0 {
			c.problems.Add("pool "+p.Name, "is of kind service and has models")
		}
		c.checkLength("pool "+p.Name, "models", len(p.Models), MaxNames)
		for _, m := range p.Models {
			if other, taken := served[m]; taken && other != p.Name {
				c.problems.Add("pool "+p.Name, "serves model %s, which pool %s serves", m, other)
			}
			served[m] = p.Name
		}
	}
}

func (c *checker) checkTeams() {
	c.teamNames = collectNames(c, "team", c.cfg.Teams, func(t *fireflypath.Team) string { return t.Name })
	owners := make(map[string]string)
	for i := range c.cfg.Teams {
		t := &c.cfg.Teams[i]
		subject := "team " + t.Name
		c.checkReferences(subject, "tier", t.Tiers, c.tierNames)
		c.checkReferences(subject, "pool", t.Pools, c.poolNames)
		c.checkLength(subject, "tiers", len(t.Tiers), MaxNames)
		c.checkLength(subject, "pools", len(t.Pools), MaxNames)
		c.checkKeys(subject, t.Keys, owners)
	}
}

// checkKeys reports keys that are used twice, because their owners could not be
// distinguished.
func (c *checker) checkKeys(subject string, keys []fireflypath.Key, owners map[string]string) {
	c.checkLength(subject, "keys", len(keys), MaxKeys)
	for _, k := range keys {
		if other, taken := owners[k.Hash]; taken {
			c.problems.Add(subject, "has a key that %s has", other)
		}
		owners[k.Hash] = subject
	}
}

func (c *checker) checkTargets() {
	collectNames(c, "target", c.cfg.Targets, func(t *fireflypath.Target) string { return t.Name })
	addrs := make(map[string]string, len(c.cfg.Targets))
	for _, t := range c.cfg.Targets {
		subject := "target " + t.Name
		if !c.poolNames.has(t.Pool) {
			c.problems.Add(subject, "names pool %s, which does not exist", t.Pool)
		}
		if !isNumericAddr(t.Addr) {
			c.problems.Add(subject, "has the address %q, which is not an IP number and a port", t.Addr)
		}
		if other, taken := addrs[t.Addr]; taken && other != t.Name {
			c.problems.Add(subject, "has the address of target %s", other)
		}
		addrs[t.Addr] = t.Name
	}
}

// isNumericAddr reports whether addr is an IP address and a port. Host names are not
// allowed, because daemons do not resolve names.
func isNumericAddr(addr string) bool {
	host, port, err := net.SplitHostPort(addr)
	if err != nil || port == "" {
		return false
	}
	_, err = netip.ParseAddr(host)
	return err == nil
}

func (c *checker) checkRules() {
	collectNames(c, "rule", c.cfg.Rules, func(r *fireflypath.Rule) string { return r.Name })
	for _, r := range c.cfg.Rules {
		subject := "rule " + r.Name
		c.checkReferences(subject, "team", optionalName(r.Team), c.teamNames)
		c.checkReferences(subject, "tier", optionalName(r.Tier), c.tierNames)
		c.checkReferences(subject, "pool", optionalName(r.Pool), c.poolNames)
		if r.Act == fireflypath.RuleLimit && r.Limit == 0 {
			c.problems.Add(subject, "limits and names no limit")
		}
		if r.Act != fireflypath.RuleLimit && r.Limit != 0 {
			c.problems.Add(subject, "names a limit and does not limit")
		}
	}
}

func optionalName(name string) []string {
	if name == "" {
		return nil
	}
	return []string{name}
}

func (c *checker) checkOperators() {
	collectNames(c, "operator", c.cfg.Operators, func(o *fireflypath.Operator) string { return o.Name })
	owners := make(map[string]string)
	for _, o := range c.cfg.Operators {
		c.checkKeys("operator "+o.Name, o.Keys, owners)
	}
}

func (c *checker) checkReferences(subject, kind string, list []string, known nameSet) {
	for _, name := range list {
		if !known.has(name) {
			c.problems.Add(subject, "names %s %s, which does not exist", kind, name)
		}
	}
}

func (c *checker) checkLength(subject, what string, n, limit int) {
	if n > limit {
		c.problems.Add(subject, "has %s, above the limit of %d", fmt.Sprint(n, " ", what), limit)
	}
}
