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
	// ErrConflict means that the key has another revision; nothing was written.
	ErrConflict = errors.New("key has another revision")
	// ErrUnavailable means that the store rejected the call; nothing was written.
	ErrUnavailable = errors.New("platform service is unavailable")
	// ErrLimited means that the call exceeded the store's rate limit; nothing was written.
	ErrLimited = errors.New("platform service limits the rate")
	// ErrUnknown means that a write may or may not have taken effect.
	ErrUnknown = errors.New("outcome of the write is unknown")
	// ErrCompacted means that the requested history is no longer available, that it is too long to be
	// read, or that the store was restored from an older copy since.
	ErrCompacted = errors.New("history of the store is gone")
	// ErrLeaseExpired means that a lease is no longer held.
	ErrLeaseExpired = errors.New("lease has lapsed")
)

// MaxValue is the size in bytes of the largest value that the platform's store accepts.
const MaxValue = 1 << 20

// AnyRevision makes a Put unconditional.
const AnyRevision = ^uint64(0)

// eraBits is the number of bits of a revision below its era.
const eraBits = 40

// NewRevision returns the revision of the n-th change in an era of the store. A store that was
// restored from an older copy begins a new era, in which it gives out numbers again that it gave out
// before. Revisions of a later era are above all of an earlier one.
func NewRevision(era, n uint64) uint64 {
	if n == 0 {
		return 0
	}
	return era<<eraBits | n
}

// RevisionEra returns the era of a revision.
func RevisionEra(revision uint64) uint64 { return revision >> eraBits }

// RevisionNumber returns the number of the change in its era.
func RevisionNumber(revision uint64) uint64 { return revision & (1<<eraBits - 1) }

// Entry is a key and its value.
type Entry struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
	// Revision grows with every write to the store, also when the store is restored; 0 means that
	// the key does not exist.
	Revision uint64 `json:"revision"`
	// Deleted is true in the results of Watch for a removed key.
	Deleted bool `json:"deleted,omitempty"`
}

// LeaseID identifies a lease.
type LeaseID uint64

// Store is the platform's key-value store. Every method, including a blocking Watch, is one call
// that counts towards the store's rate limit.
type Store interface {
	// Get reads one key. It returns ErrNotFound if the key does not exist.
	Get(ctx context.Context, key string) (Entry, error)
	// Put writes the value if the key has the given revision (0: does not exist) and returns
	// the new revision.
	Put(ctx context.Context, key string, value []byte, revision uint64, lease LeaseID) (uint64, error)
	// Delete removes the key if it has the given revision.
	Delete(ctx context.Context, key string, revision uint64) error
	// List reads the keys with a prefix, in order.
	List(ctx context.Context, prefix string) ([]Entry, error)
	// Watch waits up to wait for changes under a prefix after a revision. It returns no
	// entries on a timeout.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]Entry, error)
	// Grant creates a lease. Keys written under it are removed when it expires. A lease ends when
	// the store is restored from an older copy.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease. It returns ErrLeaseExpired if the lease is no longer held.
	Renew(ctx context.Context, id LeaseID) error
	// Revoke ends a lease and removes its keys.
	Revoke(ctx context.Context, id LeaseID) error
}

// StaleLister is a Store that can also list keys as they were some seconds ago, which costs the
// store a tenth of a current list.
type StaleLister interface {
	// ListStale reads the keys with a prefix, in order.
	ListStale(ctx context.Context, prefix string) ([]Entry, error)
}

// HostState is the state of a host in the platform's list.
type HostState string

const (
	// HostLive is a host in use.
	HostLive HostState = "live"
	// HostLeaving is a host that is about to be stopped.
	HostLeaving HostState = "leaving"
)

// Host is an entry of the platform's list, which lags behind.
type Host struct {
	// Addr is the IP address and port of the target on the host.
	Addr   string    `json:"addr"`
	Domain string    `json:"domain"`
	State  HostState `json:"state"`
}

// Hosts provides the platform's list of live and leaving hosts.
type Hosts interface {
	Hosts(ctx context.Context) ([]Host, error)
}

// Feed is a Store whose changes can be followed without gaps.
type Feed interface {
	// Snapshot reads all keys with a prefix. The revision of the listing is from before the
	// first page, so that following from it misses no change.
	Snapshot(ctx context.Context, prefix string) (Listing, error)
	// Follow waits for changes after a revision like Store.Watch and also returns the store's
	// revision. It fails with ErrCompacted if changes may be missing.
	Follow(ctx context.Context, prefix string, after uint64, wait time.Duration) (Listing, error)
}

// ReceiveMonitor is a Feed that reports whether answers are being received.
type ReceiveMonitor interface {
	// ReceivedWithin reports whether bytes of an answer to Snapshot or Follow arrived within
	// the given time.
	ReceivedWithin(within time.Duration) bool
}
