// Package memory provides an in-memory store for the claims of a daemon that runs without the
// platform's key-value store.
package memory

import (
	"context"
	"sync"

	"github.com/fireflypath/fireflypath"
)

// Store is an in-memory fireflypath.Store. It implements only Get and Put, which are all that
// package claim uses; other methods panic.
type Store struct {
	fireflypath.Store
	mu     sync.Mutex
	values map[string]fireflypath.Entry
}

// New returns an empty Store.
func New() *Store {
	return &Store{values: map[string]fireflypath.Entry{}}
}

// Get returns the entry of a key, or fireflypath.ErrNotFound.
func (s *Store) Get(_ context.Context, key string) (fireflypath.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.values[key]
	if !ok {
		return e, fireflypath.ErrNotFound
	}
	return e, nil
}

// Put writes a value if the key has the given revision, and returns the new revision. It
// ignores the lease.
func (s *Store) Put(_ context.Context, key string, value []byte, revision uint64, _ fireflypath.LeaseID) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.values[key]
	if e.Revision != revision && revision != fireflypath.AnyRevision {
		return 0, fireflypath.ErrConflict
	}
	s.values[key] = fireflypath.Entry{Key: key, Value: value, Revision: e.Revision + 1}
	return e.Revision + 1, nil
}
