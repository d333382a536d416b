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

// Rollout is what a daemon knows of the roll-out of a pool.
type Rollout struct {
	RolloutOrder
	// Decided is true if the newest order has a final status.
	Decided bool
	// Fulfilled is true if the pool has targets, all of the ordered version.
	Fulfilled bool
	// Refused lists the versions of the pool that were rolled back.
	Refused []string
	// StatusRevision and RefusedRevision are the revisions of the stored status and list; 0 if
	// there is none.
	StatusRevision, RefusedRevision uint64
}
