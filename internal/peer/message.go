package peer

import (
	"github.com/fireflypath/fireflypath"
)

// protocol is checked in the introduction; a daemon of another one is refused.
const protocol = 1

const (
	methodHello = "hello"
	methodBeat  = "b"
)

// hello introduces the daemons of a new connection to each other.
type hello struct {
	Protocol int                `json:"protocol"`
	Member   fireflypath.Member `json:"member"`
}

// Heartbeat is the heartbeat on a connection. It carries what spreads through the
// fleet; empty parts cost nothing.
type Heartbeat struct {
	// Generation is the configuration in force at the sender.
	Generation uint64 `json:"g,omitempty"`
	// ViewHash is a hash over the members as the sender sees them, or 0 if it is
	// the one told last.
	ViewHash uint32 `json:"v,omitempty"`
	// MemberUpdates are changes of members, each sent once on a connection.
	MemberUpdates []MemberUpdate `json:"n,omitempty"`
	// Demands are the lines that changed since the last beat.
	Demands []Demand `json:"d,omitempty"`
	// Evidence is what was seen of targets first-hand, each sent once.
	Evidence []Evidence `json:"e,omitempty"`
	// Usage is what the sender has in flight and uses.
	Usage *Usage `json:"u,omitempty"`
	// QuarantineEntries are changes of what is known of requests that end targets, each sent once
	// on a connection.
	QuarantineEntries []QuarantineEntry `json:"h,omitempty"`
}

// QuarantineEntry is what is known of a request that ends targets.
type QuarantineEntry struct {
	Digest string `json:"d"`
	Pool   string `json:"p"`
	// State is one of suspect, held, free.
	State string `json:"s"`
	// Version grows with each change, whoever makes it.
	Version uint64 `json:"n"`
	// Until is when the state ends, in milliseconds of Unix time.
	Until int64 `json:"u"`
	// Crashes is how many targets ended, Times how often the request was held.
	Crashes   int `json:"t,omitempty"`
	HoldCount int `json:"x,omitempty"`
}

// Usage is what a daemon has in flight and uses; what did not change since the
// last one on the connection is left out.
type Usage struct {
	// Epoch is another number after each start of the sender; Number grows with
	// each message of a life.
	Epoch    uint64 `json:"s"`
	Sequence uint64 `json:"n"`
	// Full is true if nothing is left out.
	Full bool `json:"a,omitempty"`
	// InFlight counts the requests at each target.
	InFlight map[string]int `json:"f,omitempty"`
	// PendingPrompts is how much prompt waits for its prefill at each target, in
	// thousands of tokens.
	PendingPrompts map[string]int `json:"p,omitempty"`
	// WaitingRanks is the highest rank waiting in each pool; -1 is nothing.
	WaitingRanks map[string]int `json:"w,omitempty"`
	// Speeds is what the sender learned of targets.
	Speeds map[string]fireflypath.Speed `json:"v,omitempty"`
	// PartialView is true if the sender places work without knowing all that others place.
	PartialView bool `json:"x,omitempty"`
	// QuotaUsed is the sum of units of each team's quota since the daemon's start.
	QuotaUsed map[string]int64 `json:"q,omitempty"`
	// BucketLevels is what the sender's copies of the quotas' buckets hold; it is told
	// once on a connection, to a daemon that may just have started.
	BucketLevels map[string]float64 `json:"l,omitempty"`
}

// State is what is known of a member's life.
type State string

// The states, with one letter for the wire.
const (
	Alive   State = "a"
	Suspect State = "s"
	Dead    State = "d"
	Left    State = "l"
)

// String is the word that logs print.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	default:
		return "unknown"
	}
}

// MemberUpdate is a member's state at an incarnation.
type MemberUpdate struct {
	State  State              `json:"s"`
	Member fireflypath.Member `json:"m"`
}

// Evidence is first-hand news of a target.
type Evidence struct {
	Target string `json:"t"`
	// Observer is the daemon that saw it, Number its own count, so that an older
	// message that comes late changes nothing.
	Observer string `json:"b"`
	Sequence uint64 `json:"n"`
	// Kind is one of leaving, dead, back.
	Kind   string `json:"k"`
	Reason string `json:"w,omitempty"`
}
