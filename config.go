package fireflypath

import (
	"strconv"
	"strings"
	"time"
)

// Config is the configuration that operators set. One value is in force at a time. It is not
// modified after it has been published.
type Config struct {
	// Generation grows by one with each accepted change; 0 is the empty configuration.
	Generation uint64 `json:"generation"`
	// Tiers have distinct names and distinct ranks.
	Tiers []Tier `json:"tiers" validate:"dive"`
	// Teams have distinct names.
	Teams []Team `json:"teams" validate:"dive"`
	// AllowsAnonymous is true if callers of routes need no key. It is true only where the
	// configuration says so: teams without keys, or no teams, admit nobody.
	AllowsAnonymous bool `json:"-"`
	// Pools have distinct names.
	Pools []Pool `json:"pools" validate:"dive"`
	// Targets have distinct names and refer to existing pools.
	Targets []Target `json:"targets" validate:"dive"`
	// Rollouts is what is known of ordered roll-outs. It comes from the store beside the
	// configuration.
	Rollouts []Rollout `json:"-"`
	// Rules are evaluated in order; the first one that matches decides.
	Rules []Rule `json:"rules,omitempty" validate:"dive"`
	// Operators hold the keys for queries, configuration changes and orders.
	Operators []Operator `json:"operators,omitempty" validate:"dive"`
	// Routes have distinct names and distinct pairs of host and prefix.
	Routes []Route `json:"routes,omitempty" validate:"dive"`
	// Bounds limit the callers of routes.
	Bounds Bounds `json:"bounds,omitzero"`
	// Version is the operator's version number of the configuration; 0 if there is none.
	Version uint64 `json:"version,omitempty"`
}

// Tier is a class of service.
type Tier struct {
	Name string `json:"name" validate:"required,max=64"`
	// Rank orders the tiers; 0 is the highest.
	Rank int `json:"rank" validate:"min=0,max=15"`
	// Deadline applies to requests without a deadline.
	Deadline Duration `json:"deadline" validate:"gt=0"`
}

// Team is a group of callers that share keys, weight and limits.
type Team struct {
	Name string `json:"name" validate:"required,max=64"`
	// Tiers lists the tiers that the team may use by name; the first is the default.
	Tiers []string `json:"tiers" validate:"min=1"`
	// Pools lists the pools that the team may use by name; empty means all.
	Pools []string `json:"pools,omitempty"`
	// Weight is the team's weight relative to other teams of a tier; 0 counts as 1.
	Weight int `json:"weight,omitempty" validate:"min=0,max=1000"`
	// Keys holds the hashes of the team's bearer tokens. There are several during a rotation.
	Keys []Key `json:"keys,omitempty" validate:"dive"`
	// Rank, if set, takes precedence over the ranks of routes.
	Rank *int `json:"rank,omitempty" validate:"omitempty,min=0,max=15"`
	// Quota, if set, limits the team's usage.
	Quota *Quota `json:"quota,omitempty"`
}

// Key is a hashed bearer token.
type Key struct {
	// Hash is the lower-case hexadecimal SHA-256 of the token. Tokens are 32 random bytes, so
	// a slow hash would add cost without adding security.
	Hash string `json:"hash" validate:"len=64,hexadecimal"`
	// Until is when the key expires; zero means never.
	Until time.Time `json:"until,omitzero"`
}

// Role defines what an operator's key allows.
type Role string

const (
	// RoleAsk allows queries.
	RoleAsk Role = "ask"
	// RoleChange allows queries and configuration changes.
	RoleChange Role = "change"
	// RoleOrder allows queries, changes and orders to targets.
	RoleOrder Role = "order"
)

// Operator is a person or program that administers the system.
type Operator struct {
	Name string `json:"name" validate:"required,max=64"`
	Role Role   `json:"role" validate:"oneof=ask change order"`
	Keys []Key  `json:"keys" validate:"min=1,dive"`
}

// PoolKind is the protocol of a pool's targets.
type PoolKind string

const (
	// KindEngine is a model engine with the completions API.
	KindEngine PoolKind = "engine"
	// KindService is a plain HTTP service.
	KindService PoolKind = "service"
)

// Pool is a set of interchangeable targets.
type Pool struct {
	Name string   `json:"name" validate:"required,max=64"`
	Kind PoolKind `json:"kind" validate:"oneof=engine service"`
	// Models lists the models that the pool serves; engine pools have at least one.
	Models []string `json:"models,omitempty"`
	// Requests limits the number of waiting requests of one daemon; 0 means the default.
	Requests int `json:"requests,omitempty" validate:"min=0"`
	// Bytes limits the waiting bytes of one daemon; 0 means the default.
	Bytes int `json:"bytes,omitempty" validate:"min=0"`
	// Conns limits the connections that all callers together may hold to one target; 0 means
	// no limit.
	Conns int `json:"conns,omitempty" validate:"min=0"`
	// Stride is the number of tokens in one event of a stream; 0 if unknown.
	Stride int `json:"stride,omitempty" validate:"min=0"`
}

// Target is one backend server.
type Target struct {
	Name string `json:"name" validate:"required,max=64"`
	Pool string `json:"pool" validate:"required"`
	// Addr is an IP address and a port.
	Addr string `json:"addr" validate:"required,hostname_port"`
	// Domain is the failure domain of the target.
	Domain string `json:"domain" validate:"required"`
	// Version is the version of the target's software; empty if unknown.
	Version string `json:"version,omitempty"`
	// Incarnation grows with each start under the same name; 0 if the target does not report
	// one.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Sequence counts the writes of the registration, of which the last one holds. It is not part of
	// the view of the targets, since it says nothing about them.
	Sequence int64 `json:"sequence,omitempty"`
	// Window limits the tokens that may be in flight at the target; 0 means that the limit is
	// learned.
	Window int `json:"window,omitempty" validate:"min=0"`
	// Slots is the number of requests that the target runs concurrently; 0 if unknown.
	Slots int `json:"slots,omitempty" validate:"min=0"`
	// Drained is true while the operator or the target itself has excluded it from new work.
	Drained bool `json:"drained,omitempty"`
	// Fenced is true if the target rejects orders with an outdated fencing number.
	Fenced bool `json:"fenced,omitempty"`
}

// Identity identifies one incarnation of a target. Work, connections and learned state belong
// to an incarnation and end with it, because the next one under the same name has none of them.
func (t Target) Identity() string {
	if t.Incarnation == 0 {
		return t.Name
	}
	return t.Name + "@" + strconv.FormatUint(t.Incarnation, 10)
}

// NameOfIdentity returns the name of the target with an identity that holds an incarnation.
func NameOfIdentity(identity string) string {
	if i := strings.LastIndexByte(identity, '@'); i >= 0 {
		return identity[:i]
	}
	return identity
}

// RuleAction is what a rule does with matching work.
type RuleAction string

const (
	// RuleAdmit admits the work without evaluating further rules.
	RuleAdmit RuleAction = "admit"
	// RuleRefuse refuses the work as not run.
	RuleRefuse RuleAction = "refuse"
	// RuleLimit refuses work above Limit tokens per second.
	RuleLimit RuleAction = "limit"
)

// Rule is an admission rule of an operator. Empty fields match everything.
type Rule struct {
	Name string     `json:"name" validate:"required,max=64"`
	Act  RuleAction `json:"act" validate:"oneof=admit refuse limit"`
	Team string     `json:"team,omitempty"`
	Tier string     `json:"tier,omitempty"`
	Pool string     `json:"pool,omitempty"`
	// Above matches work with more estimated tokens than this.
	Above int `json:"above,omitempty" validate:"min=0"`
	// Limit is in estimated tokens per second, summed over all daemons.
	Limit int `json:"limit,omitempty" validate:"min=0"`
}

// Duration is a time.Duration that is encoded as text, such as "1.5s".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalText implements encoding.TextMarshaler in the format of time.ParseDuration.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
