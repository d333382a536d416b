package fireflypath

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Errors of a Store.
var (
	// ErrNotFound means that the key holds no value.
	ErrNotFound = errors.New("key holds no value")
	// ErrConflict means that the key's revision is another one; nothing was written.
	ErrConflict = errors.New("key has another revision")
	// ErrUnavailable means that the service refused the call; nothing was written.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrLimited means that the call was above the service's rate; nothing was written.
	ErrLimited = errors.New("platform service limits the rate")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrCompacted means that the history asked for is no longer kept.
	ErrCompacted = errors.New("history of the store is gone")
	// ErrLeaseExpired means that a lease is no longer held.
	ErrLeaseExpired = errors.New("lease has lapsed")
)

// MaxValue is the largest value the platform's service takes, in bytes (brief,
// "Where it will run": values up to a megabyte).
const MaxValue = 1 << 20

// AnyRevision makes a Put unconditional.
const AnyRevision = ^uint64(0)

// Entry is a key and its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision grows with every write to the store; 0 means absent.
	Revision uint64 `json:"revision"`
	// Deleted is true in watch results for a removed key.
	Deleted bool `json:"deleted,omitempty"`
}

// LeaseID names a lease.
type LeaseID uint64

// Store is the platform's key-value service. Every method is one counted call,
// a waiting Watch too.
type Store interface {
	// Get reads one key, or ErrNotFound.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes if the key's revision is the one given (0: absent) and returns the new one.
	Put(ctx context.Context, key string, value []byte, revision uint64, lease LeaseID) (uint64, error)
	// Delete removes the key if its revision is the one given.
	Delete(ctx context.Context, key string, revision uint64) error
	// List reads the keys with a prefix, in order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits for changes under a prefix above a revision, for at most wait.
	// It returns none when the time passes.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, error)
	// Grant makes a lease; keys written under it vanish when it lapses.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or ErrLeaseExpired.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// StaleLister is a Store that also lists keys as they were some seconds ago, which
// costs it a tenth.
type StaleLister interface {
	// ListStale reads the keys with a prefix, in order.
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
}

// HostState is what the platform's list says of a host.
type HostState string

const (
	// HostLive is a host in use.
	HostLive HostState = "live"
	// HostLeaving is a host that will be stopped.
	HostLeaving HostState = "leaving"
)

// Host is a line of the platform's list. The list lags.
type Host struct {
	// Addr is the IP number and port of what runs there.
	Addr   string    `json:"addr"`
	Domain string    `json:"domain"`
	State  HostState `json:"state"`
}

// Hosts is the platform's list of live and leaving hosts.
type Hosts interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Feed is a Store whose changes can be followed without a gap.
type Feed interface {
	// Snapshot reads all keys with a prefix. Revision is from before the first
	// page, so that following from there misses nothing.
	Snapshot(ctx context.Context, prefix string) (Listing, error)
	// Follow waits for changes above a revision like Store.Watch, and tells the
	// store's revision. It fails with ErrCompacted if changes may be missing.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

// ReceiveMonitor is a Feed that tells of answers while they arrive.
type ReceiveMonitor interface {
	// ReceivedWithin is true if bytes of an answer to Snapshot or Follow came within the
	// given time.
	ReceivedWithin(within time.Duration) bool
}
