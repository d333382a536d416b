package fireflypath

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"
)

// Configs provides the configuration in force at this daemon.
type Configs interface {
	// Current returns the configuration in force. It is one atomic load. The value is never
	// nil and is never modified.
	Current() *Config
	// Changed returns a channel that is closed when a generation newer than the given one is
	// in force.
	Changed(generation uint64) <-chan struct{}
}

// Change is a transition from one configuration to the next.
type Change struct {
	// ID is the ID of the command. A change whose ID is already in the trail is not applied
	// again.
	ID string
	// Operator is the operator's name, Command the text of the command as it was entered.
	Operator string
	Command  string
	// Base is the generation that the command was written against; 0 matches any.
	Base uint64
	// Apply returns the next configuration. It may be called several times and must not
	// modify its argument.
	Apply func(old *Config) (*Config, error)
}

// Commit is the outcome of a change.
type Commit struct {
	ID string `json:"id"`
	// Generation is the generation in force if the change was accepted.
	Generation uint64 `json:"generation"`
	// ConflictingID is the ID of the change that was committed first, if this one was refused
	// because of it.
	ConflictingID string `json:"lost,omitempty"`
	// Repeated is true if the ID had been committed before.
	Repeated bool `json:"repeated,omitempty"`
}

// Committer commits changes of the configuration.
type Committer interface {
	// Commit commits a change. After ErrUnknown the change may or may not have been
	// committed; FindCommit tells which.
	Commit(ctx context.Context, c Change) (Commit, error)
	// FindCommit looks up a change by its ID in the trail. It returns ErrNotFound if the
	// change was not committed.
	FindCommit(ctx context.Context, id string) (Commit, error)
	// Trail reads at most n lines of the audit trail, newest first.
	Trail(ctx context.Context, n int) ([]AuditLine, error)
	// AppendAudit appends a line for something that does not change the configuration: an
	// order or a refused change.
	AppendAudit(ctx context.Context, l AuditLine) error
}

// AuditLine is one line of the audit trail.
type AuditLine struct {
	ID       string    `json:"id"`
	At       time.Time `json:"at"`
	Operator string    `json:"who"`
	Command  string    `json:"words"`
	// From and To are generations. They are equal for orders and refusals.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Result is "done" or the reason for the refusal.
	Result string `json:"result"`
}

// Member describes a daemon to its peers.
type Member struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// PeerAddr, CallerAddr and OperatorAddr are the addresses that it listens on.
	PeerAddr     string `json:"peer"`
	CallerAddr   string `json:"caller"`
	OperatorAddr string `json:"operator"`
	// Incarnation grows with each start under the same name.
	Incarnation uint64 `json:"incarnation"`
	// Generation is the last configuration generation that the daemon reported as in force.
	Generation uint64 `json:"generation"`
	// CPU is the processor time of its host, in cores; 0 if unknown.
	CPU float64 `json:"cpu,omitempty"`
	// Link is the bandwidth of its host's link in Mbit/s; 0 if unknown.
	Link float64 `json:"link,omitempty"`
	// Leaving is true from the start of a planned stop.
	Leaving bool `json:"leaving,omitempty"`
	// Unconfirmed is true if this daemon knows the member only from its record in the store,
	// which may be of an earlier start. It is not sent to others.
	Unconfirmed bool `json:"-"`
}

// CompareCapacity orders members by what their hosts can carry, the strongest first. Duties for
// many daemons go to the first ones.
func (m Member) CompareCapacity(other Member) int {
	return cmp.Or(cmp.Compare(other.Link, m.Link), cmp.Compare(other.CPU, m.CPU))
}

// Members provides the live daemons, including this one.
type Members interface {
	// Live returns the members ordered by name. It is one atomic load. The caller must not
	// modify the slice.
	Live() []Member
}

// FindMember finds a daemon by name among members that are ordered by name.
func FindMember(ms []Member, name string) (Member, bool) {
	i, ok := slices.BinarySearchFunc(ms, name, func(m Member, name string) int { return strings.Compare(m.Name, name) })
	if !ok {
		return Member{}, false
	}
	return ms[i], true
}

// Relief asks the other daemons to give up waiting work of lower tiers.
type Relief interface {
	// Ask asks for work of lower tiers than rank in the pool's next round, which starts at
	// once if none is running. It returns the number of tokens freed, and 0 only if every live
	// peer has reported that it has no such work.
	Ask(ctx context.Context, pool string, rank, tokens int) (int, error)
}

// Cluster is the part of a daemon that its peers read and call.
type Cluster interface {
	// Demands summarises all pools of this daemon.
	Demands() []Demand
	// Relieve gives up waiting work of lower tiers and returns the number of tokens freed.
	Relieve(pool string, rank, tokens int) int
	// ApplyShare puts this daemon's new share of a pool's windows in force.
	ApplyShare(pool string, s Share)
	// TargetLeaving reports first-hand evidence that a target is leaving; TargetStaying
	// withdraws it.
	TargetLeaving(target, why string)
	TargetStaying(target string)
}
