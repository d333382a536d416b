package peer

import (
	"github.com/fireflypath/fireflypath"
)

// protocol is the version of the protocol. A connection between daemons of different
// versions is closed at the hello exchange.
const protocol = 1

const (
	methodHello     = "hello"
	methodHeartbeat = "b"
)

// hello is the first message in each direction of a connection.
type hello struct {
	Protocol int                `json:"protocol"`
	Member   fireflypath.Member `json:"member"`
	// Packs is true if the sender reads PackedUpdates.
	Packs bool `json:"packs,omitempty"`
}

// Heartbeat is sent periodically in both directions of a connection and carries the updates
// that daemons exchange. Empty fields are left out of the message.
type Heartbeat struct {
	// Generation is the generation of the configuration in force at the sender.
	Generation uint64 `json:"g,omitempty"`
	// ViewHash is a hash of the members that are alive according to the sender, or 0 if
	// it equals the last one sent.
	ViewHash uint32 `json:"v,omitempty"`
	// MemberUpdates are changes of the state of members, each sent once on a connection.
	MemberUpdates []MemberUpdate `json:"n,omitempty"`
	// PackedUpdates holds MemberUpdates compressed instead, if they are many.
	PackedUpdates []byte `json:"z,omitempty"`
	// Demands are the demands that changed since the last heartbeat to the peer.
	Demands []Demand `json:"d,omitempty"`
	// Evidence holds first-hand observations of targets, each sent once.
	Evidence []Evidence `json:"e,omitempty"`
	// Usage is the in-flight work and quota usage of the sender.
	Usage *Usage `json:"u,omitempty"`
	// QuarantineEntries are changes of the state of requests that crash targets, each
	// sent once on a connection.
	QuarantineEntries []QuarantineEntry `json:"h,omitempty"`
}

// QuarantineEntry is the state of a request that crashes targets or is suspected of it.
type QuarantineEntry struct {
	Digest string `json:"d"`
	Pool   string `json:"p"`
	// State is one of suspect, held, free.
	State string `json:"s"`
	// Version increases with each change of the entry, at any daemon.
	Version uint64 `json:"n"`
	// Until is the end of the state, in Unix milliseconds.
	Until int64 `json:"u"`
	// Crashes is the number of targets that crashed under the request, HoldCount how
	// often it was held.
	Crashes   int `json:"t,omitempty"`
	HoldCount int `json:"x,omitempty"`
	// Members are the digests of what is held together, if there are several; Kind is request or
	// part.
	Members []string `json:"m,omitempty"`
	Kind    string   `json:"k,omitempty"`
}

// Usage is the in-flight work and quota usage of a daemon. It leaves out what did not change
// since the last one sent to the peer.
type Usage struct {
	// Epoch identifies the run of the sender's process and differs after each start.
	// Sequence increases with each message of an epoch.
	Epoch    uint64 `json:"s"`
	Sequence uint64 `json:"n"`
	// Full is true if the message contains the complete state.
	Full bool `json:"a,omitempty"`
	// InFlight is the number of requests at each target.
	InFlight map[string]int `json:"f,omitempty"`
	// PendingPrompts is the amount of prompt that waits for prefill at each target, in
	// thousands of tokens.
	PendingPrompts map[string]int `json:"p,omitempty"`
	// WaitingRanks is the highest rank waiting in each pool, or -1 if nothing waits.
	WaitingRanks map[string]int `json:"w,omitempty"`
	// Speeds holds the speeds of targets that the sender learned.
	Speeds map[string]fireflypath.Speed `json:"v,omitempty"`
	// PartialView is true if the sender dispatches work without knowing all in-flight
	// work of the other daemons.
	PartialView bool `json:"x,omitempty"`
	// QuotaUsed is the number of units of each team's quota used since the sender started.
	QuotaUsed map[string]int64 `json:"q,omitempty"`
	// BucketLevels holds the levels of the quotas' token buckets at the sender. It is sent
	// once on a connection, since the peer may have just started.
	BucketLevels map[string]float64 `json:"l,omitempty"`
}

// State is the state of a member.
type State string

// The states of a member, as encoded in messages.
const (
	Alive   State = "a"
	Suspect State = "s"
	Dead    State = "d"
	Left    State = "l"
)

// String returns the name of the state for logs.
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

// MemberUpdate is the state of an incarnation of a member.
type MemberUpdate struct {
	State  State              `json:"s"`
	Member fireflypath.Member `json:"m"`
}

// Evidence is a first-hand observation of a target.
type Evidence struct {
	Target string `json:"t"`
	// Observer is the daemon that made the observation. Sequence numbers its
	// observations, so that an older one that arrives late is ignored.
	Observer string `json:"b"`
	Sequence uint64 `json:"n"`
	// Kind is one of leaving, dead, back.
	Kind   string `json:"k"`
	Reason string `json:"w,omitempty"`
}
