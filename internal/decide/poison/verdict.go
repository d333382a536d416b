package poison

import (
	"time"

	"github.com/fireflypath/fireflypath/internal/digest"
)

// Config sets when a request is held, and for how long.
type Config struct {
	// MinCrashes is how many targets, at least 2, must crash under a request in
	// consecutive runs.
	MinCrashes int
	// HoldTime is the length of the first hold; each further hold is twice as long.
	HoldTime time.Duration
}

// Crash reports that a target crashed while it ran a request.
type Crash struct {
	// Causes are what may be to blame: the request itself, then the parts that it shares with
	// others. It is not empty.
	Causes []digest.Digest
	Pool   string
	// Target identifies one incarnation of the target; PoolSize is the number of targets
	// in its pool.
	Target   string
	PoolSize int
	// Started is when the request was sent, Ended when the connection broke.
	Started, Ended time.Time
}

// State is the state of a cause in the quarantine.
type State string

// Kind tells what is held.
type Kind string

// Verdict is a change of the state of a cause or a set of causes.
type Verdict struct {
	// Digest identifies the cause or the set.
	Digest digest.Digest
	// Members are the causes of a set that is held.
	Members []digest.Digest
	Kind    Kind
	Pool    string
	State   State
	// Until is when held requests may run again.
	Until time.Time
	// Crashes is how many targets crashed, Holds how often the set was held.
	Crashes, Holds int
}

// The states of a cause.
const (
	// Suspect is a cause that may crash targets; requests with it are still served normally.
	Suspect State = "suspect"
	// Held is a set of causes; requests with all of them are refused.
	Held State = "held"
	// Cleared is a cause that was suspect or held and has turned out to be healthy.
	Cleared State = "free"
)

// The kinds of what is held.
const (
	// KindRequest is one request, whoever sends it again.
	KindRequest Kind = "request"
	// KindPart is all requests with a part, or with some parts together.
	KindPart Kind = "part"
)
