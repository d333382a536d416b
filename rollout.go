package fireflypath

import "time"

// RolloutOrder is the operator's order to move a pool to another version of its targets.
type RolloutOrder struct {
	Pool    string
	Version string
	// Duration is the time within which the operator expects the result.
	Duration time.Duration
}

// RolloutState is the state of a roll-out as the operator reads it.
type RolloutState string

const (
	// RolloutRunning means that the new version is being tried.
	RolloutRunning RolloutState = "running"
	// RolloutCompleted means that the new version serves all requests.
	RolloutCompleted RolloutState = "completed"
	// RolloutRolledBack means that the new version serves none and its targets may leave.
	RolloutRolledBack RolloutState = "rolled-back"
)

// Final reports whether the state never changes again.
func (s RolloutState) Final() bool {
	return s == RolloutCompleted || s == RolloutRolledBack
}

// RolloutStatus is the state of a roll-out to a version.
type RolloutStatus struct {
	Pool    string
	Version string
	State   RolloutState
}

// RolloutCodec is a Codec of a platform whose operator orders roll-outs.
type RolloutCodec interface {
	// RolloutPrefixes returns the key prefixes of the operator's orders and of their status.
	// The name of the pool follows.
	RolloutPrefixes() (orders, status string)
	// RolloutOrder decodes an order.
	RolloutOrder(value []byte) (RolloutOrder, error)
	// RolloutStatus decodes a status, EncodeRolloutStatus encodes it.
	RolloutStatus(pool string, value []byte) (RolloutStatus, error)
	EncodeRolloutStatus(s RolloutStatus) ([]byte, error)
}

// RolloutPhase is the phase of a trial as the daemons store it.
type RolloutPhase string

const (
	// RolloutTrial sends a share of the requests to the new version.
	RolloutTrial RolloutPhase = "trial"
	// RolloutSwitch sends all requests to the new version while those at the old one end.
	RolloutSwitch RolloutPhase = "switch"
	// RolloutAccepted sends all requests to the new version; it is final.
	RolloutAccepted RolloutPhase = "completed"
	// RolloutRejected sends none to the new version; it is final.
	RolloutRejected RolloutPhase = "rolled-back"
)

// Final reports whether the phase never changes again.
func (p RolloutPhase) Final() bool { return p == RolloutAccepted || p == RolloutRejected }

// RolloutRecord is what the daemons store of the trial of a version. All decisions are changes of this one
// key from the revision that was read, so that they follow one another whichever daemons make them.
type RolloutRecord struct {
	// ID identifies the trial.
	ID      uint64       `json:"id"`
	Version string       `json:"version"`
	Phase   RolloutPhase `json:"phase"`
	// Holder is the daemon that decides, Term counts the holders.
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
	// Renewals counts the writes of the holder. A record that does not change has lost it.
	Renewals uint64 `json:"renewals,omitempty"`
	// Began is when the order was seen, in milliseconds of Unix time.
	Began int64 `json:"began"`
	// Reserved is the part of the slack that holders have reserved.
	Reserved int `json:"reserved,omitempty"`
	// Why describes the reason of the last change of the phase.
	Why string `json:"why,omitempty"`
	// Withheld lists versions of the pool whose trials ended without a result.
	Withheld []string `json:"withheld,omitempty"`
	// Tried, Failed and Old count the responses of the new version, its failures, and the
	// responses of the old version.
	Tried  int `json:"tried,omitempty"`
	Failed int `json:"failed,omitempty"`
	Old    int `json:"old,omitempty"`
}

// Rollout is what a daemon knows of the roll-out of a pool.
type Rollout struct {
	RolloutOrder
	// Decided is true if the newest order has a final status.
	Decided bool
	// Running is true if its status is that it is running.
	Running bool
	// Fulfilled is true if the pool has targets, all of the ordered version.
	Fulfilled bool
	// Refused lists the versions of the pool that were rolled back.
	Refused []string
	// Withheld lists the versions of the pool whose trials ended without a result.
	Withheld []string
	// StatusRevision and RefusedRevision are the revisions of the stored status and list; 0 if
	// there is none.
	StatusRevision, RefusedRevision uint64
	// Record is the stored trial, if Tried is true one of the order; RecordRevision is its
	// revision.
	Record         RolloutRecord
	RecordRevision uint64
	Tried          bool
	// Targets are the targets of the ordered version, OldTargets is the number of the pool's others.
	Targets    []Target
	OldTargets int
}
