package testkit

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
)

// Fault lists the errors that a MapStore injects into one call.
type Fault struct {
	// Before is returned before the call takes effect.
	Before error
	// After is returned once the call has taken effect, as if its response was lost.
	After error
}

// MapStore is an in-memory fireflypath.Store with fault injection.
type MapStore struct {
	clock clockwork.Clock

	mu       sync.Mutex
	fault    func(op, key string) Fault
	calls    map[string]int
	revision uint64
	entries  map[string]storedEntry
	leases   map[fireflypath.LeaseID]lease
	nextID   fireflypath.LeaseID
	changed  chan struct{}
}

type storedEntry struct {
	fireflypath.Entry
	lease fireflypath.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

var _ fireflypath.Store = (*MapStore)(nil)

// NewMapStore returns an empty store whose leases expire by the clock.
func NewMapStore(clock clockwork.Clock) *MapStore {
	return &MapStore{
		clock: clock, calls: map[string]int{}, entries: map[string]storedEntry{},
		leases: map[fireflypath.LeaseID]lease{}, changed: make(chan struct{}),
	}
}

// SetFault sets the function that chooses the faults of each later call by operation and key.
func (s *MapStore) SetFault(f func(op, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls of an operation, or of all operations if op is empty.
func (s *MapStore) Calls(op string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for o, c := range s.calls {
		if op == "" || op == o {
			n += c
		}
	}
	return n
}

// Snapshot copies the values. Restoring the copy later simulates a service that
// was recovered from an old backup.
func (s *MapStore) Snapshot() []fireflypath.Entry {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list("")
}

// Restore replaces all values with those of a snapshot.
func (s *MapStore) Restore(es []fireflypath.Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = map[string]storedEntry{}
	for _, e := range es {
		s.entries[e.Key] = storedEntry{Entry: e}
	}
	s.notifyWatchers()
}

func (s *MapStore) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// beginCall counts the call, expires leases and returns the faults to inject.
func (s *MapStore) beginCall(op, key string) Fault {
	s.mu.Lock()
	f := s.fault
	s.calls[op]++
	s.expireLeases()
	s.mu.Unlock()
	if f == nil {
		return Fault{}
	}
	return f(op, key)
}

func (s *MapStore) expireLeases() {
	now := s.clock.Now()
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *MapStore) endLease(id fireflypath.LeaseID) {
	delete(s.leases, id)
	for k, e := range s.entries {
		if e.lease == id {
			s.deleteKey(k)
		}
	}
}

func (s *MapStore) deleteKey(key string) {
	s.revision++
	s.entries[key] = storedEntry{Entry: fireflypath.Entry{Key: key, Revision: s.revision, Deleted: true}}
	s.notifyWatchers()
}

// Get returns the entry of one key.
func (s *MapStore) Get(_ context.Context, key string) (fireflypath.Entry, error) {
	f := s.beginCall("get", key)
	if f.Before != nil {
		return fireflypath.Entry{}, f.Before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok || e.Deleted {
		return fireflypath.Entry{}, fireflypath.ErrNotFound
	}
	return e.Entry, f.After
}

// Put writes a key if its revision is the given one.
func (s *MapStore) Put(_ context.Context, key string, value []byte, revision uint64, id fireflypath.LeaseID) (uint64, error) {
	f := s.beginCall("put", key)
	if f.Before != nil {
		return 0, f.Before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	current := e.Revision
	if !ok || e.Deleted {
		current = 0
	}
	if revision != fireflypath.AnyRevision && revision != current {
		return 0, fireflypath.ErrConflict
	}
	if _, exists := s.leases[id]; id != 0 && !exists {
		return 0, fireflypath.ErrLeaseExpired
	}
	s.revision++
	e = storedEntry{lease: id, Entry: fireflypath.Entry{Key: key, Revision: s.revision}}
	e.Value = append([]byte(nil), value...)
	s.entries[key] = e
	s.notifyWatchers()
	return s.revision, f.After
}

// Delete removes a key if its revision is the given one.
func (s *MapStore) Delete(_ context.Context, key string, revision uint64) error {
	f := s.beginCall("delete", key)
	if f.Before != nil {
		return f.Before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok || e.Deleted {
		return fireflypath.ErrNotFound
	}
	if revision != fireflypath.AnyRevision && revision != e.Revision {
		return fireflypath.ErrConflict
	}
	s.deleteKey(key)
	return f.After
}

// List returns the entries whose keys have the prefix, sorted by key.
func (s *MapStore) List(_ context.Context, prefix string) ([]fireflypath.Entry, error) {
	f := s.beginCall("list", prefix)
	if f.Before != nil {
		return nil, f.Before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.list(prefix), f.After
}

func (s *MapStore) list(prefix string) []fireflypath.Entry {
	var out []fireflypath.Entry
	for k, e := range s.entries {
		if strings.HasPrefix(k, prefix) && !e.Deleted {
			out = append(out, e.Entry)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// Watch waits for changes with a revision above after.
func (s *MapStore) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]fireflypath.Entry, error) {
	f := s.beginCall("watch", prefix)
	if f.Before != nil {
		return nil, f.Before
	}
	t := s.clock.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Lock()
		s.expireLeases()
		var out []fireflypath.Entry
		for k, e := range s.entries {
			if strings.HasPrefix(k, prefix) && e.Revision > after {
				out = append(out, e.Entry)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(out) > 0 {
			return out, f.After
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-t.Chan():
			return nil, f.After
		case <-changed:
		}
	}
}

// Grant creates a lease.
func (s *MapStore) Grant(_ context.Context, ttl time.Duration) (fireflypath.LeaseID, error) {
	f := s.beginCall("grant", "")
	if f.Before != nil {
		return 0, f.Before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = lease{ttl: ttl, expiresAt: s.clock.Now().Add(ttl)}
	return s.nextID, f.After
}

// Renew extends a lease by its original TTL.
func (s *MapStore) Renew(_ context.Context, id fireflypath.LeaseID) error {
	f := s.beginCall("renew", "")
	if f.Before != nil {
		return f.Before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return fireflypath.ErrLeaseExpired
	}
	l.expiresAt = s.clock.Now().Add(l.ttl)
	s.leases[id] = l
	return f.After
}

// Revoke ends a lease and deletes its keys.
func (s *MapStore) Revoke(_ context.Context, id fireflypath.LeaseID) error {
	f := s.beginCall("revoke", "")
	if f.Before != nil {
		return f.Before
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	return f.After
}
