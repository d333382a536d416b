package fireflypath

import (
	"context"
	"slices"
	"strings"
	"time"
)

// Configs is the configuration in force at this daemon.
type Configs interface {
	// Current is one atomic load; the value is never nil and never changes.
	Current() *Config
	// Changed is closed when a newer generation than the given one is in force.
	Changed(generation uint64) <-chan struct{}
}

// Change is a step from one configuration to the next.
type Change struct {
	// ID is the command's id: a change with an id already in the trail is not done again.
	ID string
	// Operator is the operator's name, Words the command as given.
	Operator string
	Command  string
	// Base is the generation the command was written against; 0 means any.
	Base uint64
	// Apply returns the next configuration; it may be called several times and
	// must not change its argument.
	Apply func(old *Config) (*Config, error)
}

// Commit is the fate of a change.
type Commit struct {
	ID string `json:"id"`
	// Generation is in force if the change was accepted.
	Generation uint64 `json:"generation"`
	// ConflictingID names the change that was committed first, for a refused one.
	ConflictingID string `json:"lost,omitempty"`
	// Repeated is true if the id had been committed before.
	Repeated bool `json:"repeated,omitempty"`
}

// Committer makes changes. ErrUnknown means that the id must be asked for later.
type Committer interface {
	Commit(ctx context.Context, c Change) (Commit, error)
	// FindCommit looks an id up in the trail, or ErrNotFound if it was not done.
	FindCommit(ctx context.Context, id string) (Commit, error)
	// Trail reads the audit trail, newest first, at most n lines.
	Trail(ctx context.Context, n int) ([]AuditLine, error)
	// AppendAudit appends a line without a change: orders and refused changes.
	AppendAudit(ctx context.Context, l AuditLine) error
}

// AuditLine is one line of the trail.
type AuditLine struct {
	ID       string    `json:"id"`
	At       time.Time `json:"at"`
	Operator string    `json:"who"`
	Command  string    `json:"words"`
	// From and To are generations; they are equal for orders and refusals.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Result is done, or the reason of the refusal.
	Result string `json:"result"`
}

// Member is a daemon as its peers see it.
type Member struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Peer, Caller and Operator are the addresses it listens on.
	Peer     string `json:"peer"`
	Caller   string `json:"caller"`
	Operator string `json:"operator"`
	// Incarnation grows with each start under the same name.
	Incarnation uint64 `json:"incarnation"`
	// Generation is the configuration in force there, as last heard.
	Generation uint64 `json:"generation"`
	// Leaving is true from the start of a planned stop.
	Leaving bool `json:"leaving,omitempty"`
}

// Members are the daemons that are alive, this one among them.
type Members interface {
	// Live is one atomic load of a slice ordered by name; it is not to be changed.
	Live() []Member
}

// FindMember finds a daemon by its name among members ordered by name.
func FindMember(ms []Member, name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(ms, name, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	if !ok {
		return Member{}, false
	}
	return ms[i], true
}

// Relief asks the other daemons to give up lower waiting work.
type Relief interface {
	// Ask joins the pool's round for the rank, or starts one. It returns the
	// tokens freed, 0 only after every live peer has said that it holds none.
	Ask(ctx context.Context, pool string, rank, tokens int) (int, error)
}

// Cluster is what a daemon's peers see of it and tell it. The daemon's route
// implements it; the peer layer calls it.
type Cluster interface {
	// Demands summarises all pools of this daemon.
	Demands() []Demand
	// Relieve gives up waiting work of lower tiers and returns the tokens freed.
	Relieve(pool string, rank, tokens int) int
	// ApplyShare puts this daemon's new part of a pool's windows in force.
	ApplyShare(pool string, s Share)
	// TargetLeaving and TargetStaying spread first-hand evidence.
	TargetLeaving(target, why string)
	TargetStaying(target string)
}
