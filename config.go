package fireflypath

import (
	"strconv"
	"time"
)

// Config is the configuration that operators set. One value is in force at a
// time; it is never changed after it has been published.
type Config struct {
	// Generation grows by one with each accepted change; 0 is the empty configuration.
	Generation uint64 `json:"generation"`
	// Tiers have distinct names and distinct ranks.
	Tiers []Tier `json:"tiers" validate:"dive"`
	// Teams have distinct names.
	Teams []Team `json:"teams" validate:"dive"`
	// Pools have distinct names.
	Pools []Pool `json:"pools" validate:"dive"`
	// Targets have distinct names and name an existing pool.
	Targets []Target `json:"targets" validate:"dive"`
	// Rules apply in the order given; the first that matches decides.
	Rules []Rule `json:"rules,omitempty" validate:"dive"`
	// Operators hold the keys that may ask, change and order.
	Operators []Operator `json:"operators,omitempty" validate:"dive"`
	// Routes have distinct names, and distinct pairs of host and prefix.
	Routes []Route `json:"routes,omitempty" validate:"dive"`
	// Bounds hold for the callers of routes.
	Bounds Bounds `json:"bounds,omitzero"`
	// Version is the operator's own number of the configuration; 0 if it has none.
	Version uint64 `json:"version,omitempty"`
}

// Tier is a class of service.
type Tier struct {
	Name string `json:"name" validate:"required,max=64"`
	// Rank orders the tiers; 0 is the highest.
	Rank int `json:"rank" validate:"min=0,max=15"`
	// Deadline is given to requests that name none.
	Deadline Duration `json:"deadline" validate:"gt=0"`
}

// Team is a group of callers that share keys, weight and limits.
type Team struct {
	Name string `json:"name" validate:"required,max=64"`
	// Tiers may be asked for by name; the first is the default.
	Tiers []string `json:"tiers" validate:"min=1"`
	// Pools may be used by name; empty means all.
	Pools []string `json:"pools,omitempty"`
	// Weight is the share against other teams of a tier; 0 counts as 1.
	Weight int `json:"weight,omitempty" validate:"min=0,max=1000"`
	// Keys are the hashes of the team's bearer tokens; several while one is rotated.
	Keys []Key `json:"keys,omitempty" validate:"dive"`
	// Rank, if set, orders teams before the ranks of routes do.
	Rank *int `json:"rank,omitempty" validate:"omitempty,min=0,max=15"`
	// Quota, if set, bounds what the team uses.
	Quota *Quota `json:"quota,omitempty"`
}

// Key is a hashed bearer token.
type Key struct {
	// Hash is the lower-case hexadecimal SHA-256 of the token. Tokens are 32
	// random bytes, so a slow hash would add cost and no safety.
	Hash string `json:"hash" validate:"len=64,hexadecimal"`
	// Until ends the key's use; zero means no end.
	Until time.Time `json:"until,omitzero"`
}

// Role is what an operator's key allows.
type Role string

const (
	// RoleAsk allows queries.
	RoleAsk Role = "ask"
	// RoleChange allows queries and configuration changes.
	RoleChange Role = "change"
	// RoleOrder allows queries, changes and orders to targets.
	RoleOrder Role = "order"
)

// Operator is a person or program that drives the system.
type Operator struct {
	Name string `json:"name" validate:"required,max=64"`
	Role Role   `json:"role" validate:"oneof=ask change order"`
	Keys []Key  `json:"keys" validate:"min=1,dive"`
}

// Kind is the protocol that a pool's targets speak.
type Kind string

const (
	// KindEngine is a model engine with the completions API.
	KindEngine Kind = "engine"
	// KindService is a plain HTTP service.
	KindService Kind = "service"
)

// Pool is a set of targets that can run the same work.
type Pool struct {
	Name string `json:"name" validate:"required,max=64"`
	Kind Kind   `json:"kind" validate:"oneof=engine service"`
	// Models are served by the pool; engine pools have at least one.
	Models []string `json:"models,omitempty"`
	// Requests bounds the waiting requests of one daemon; 0 takes the default.
	Requests int `json:"requests,omitempty" validate:"min=0"`
	// Bytes bounds the waiting bytes of one daemon; 0 takes the default.
	Bytes int `json:"bytes,omitempty" validate:"min=0"`
	// Conns bounds the connections that all callers together may hold to one
	// target; 0 is no bound.
	Conns int `json:"conns,omitempty" validate:"min=0"`
	// Stride is how many tokens one event of a stream holds; 0 if unknown.
	Stride int `json:"stride,omitempty" validate:"min=0"`
}

// Target is one back end.
type Target struct {
	Name string `json:"name" validate:"required,max=64"`
	Pool string `json:"pool" validate:"required"`
	// Addr is an IP number and a port.
	Addr string `json:"addr" validate:"required,hostname_port"`
	// Domain is the failure domain.
	Domain string `json:"domain" validate:"required"`
	// Incarnation grows with each start under the same name; 0 if the target does
	// not tell its lives apart.
	Incarnation uint64 `json:"incarnation,omitempty"`
	// Window bounds the tokens the target may hold at once; 0 lets it be learned.
	Window int `json:"window,omitempty" validate:"min=0"`
	// Slots is how many requests the target runs at once, if it is known.
	Slots int `json:"slots,omitempty" validate:"min=0"`
	// Drained is true while the operator, or the target itself, wants no new work there.
	Drained bool `json:"drained,omitempty"`
	// Fenced is true if the target refuses orders with an old fencing number.
	Fenced bool `json:"fenced,omitempty"`
}

// Identity names one life of a target. Work, connections and all that was learned
// belong to a life and end with it: the next one under the same name holds and
// knows nothing of them.
func (t Target) Identity() string {
	if t.Incarnation == 0 {
		return t.Name
	}
	return t.Name + "@" + strconv.FormatUint(t.Incarnation, 10)
}

// RuleAction is what a rule does with the work it matches.
type RuleAction string

const (
	// RuleAdmit lets the work in and ends the list.
	RuleAdmit RuleAction = "admit"
	// RuleRefuse refuses the work as not run.
	RuleRefuse RuleAction = "refuse"
	// RuleLimit refuses what goes above Limit tokens a second.
	RuleLimit RuleAction = "limit"
)

// Rule is an operator's rule for admission; empty fields match everything.
type Rule struct {
	Name string     `json:"name" validate:"required,max=64"`
	Act  RuleAction `json:"act" validate:"oneof=admit refuse limit"`
	Team string     `json:"team,omitempty"`
	Tier string     `json:"tier,omitempty"`
	Pool string     `json:"pool,omitempty"`
	// Above matches work of more estimated tokens than this.
	Above int `json:"above,omitempty" validate:"min=0"`
	// Limit is in estimated tokens a second over all daemons.
	Limit int `json:"limit,omitempty" validate:"min=0"`
}

// Duration is a time.Duration written as text, like "1.5s".
type Duration time.Duration

// Std is the standard form.
func (d Duration) Std() time.Duration {
	return time.Duration(d)
}

// MarshalText writes the form that time.ParseDuration reads.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText reads the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}
