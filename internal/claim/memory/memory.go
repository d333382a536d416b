// Package memory holds the claims of a daemon that runs alone, without a platform service.
package memory

import (
	"context"
	"sync"

	"github.com/fireflypath/fireflypath"
)

// Store keeps values in this process; only Get and Put do anything.
type Store struct {
	fireflypath.Store
	mu     sync.Mutex
	values map[string]fireflypath.Entry
}

// New returns an empty Store.
func New() *Store {
	return &Store{values: map[string]fireflypath.Entry{}}
}

// Get reads a key.
func (s *Store) Get(_ context.Context, key string) (fireflypath.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.values[key]
	if !ok {
		return e, fireflypath.ErrNotFound
	}
	return e, nil
}

// Put writes if the revision is the one given.
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
