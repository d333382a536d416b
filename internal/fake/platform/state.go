package platform

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
)

// maxTombstones limits the memory used by deleted keys. A watch that lags by more
// deletions misses some, as after the compaction of a real service.
const maxTombstones = 100_000

// state is the data of the service at one point in time.
type state struct {
	revision uint64
	keys     map[string]value
	// tombstones maps a deleted key to the revision of its deletion.
	tombstones map[string]uint64
	leases     map[fireflypath.LeaseID]lease
	// lastLease survives a restore because lease ids are never reused.
	lastLease fireflypath.LeaseID
}

type value struct {
	data     []byte
	revision uint64
	lease    fireflypath.LeaseID
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

func newState() *state {
	return &state{
		keys:       make(map[string]value),
		tombstones: make(map[string]uint64),
		leases:     make(map[fireflypath.LeaseID]lease),
	}
}

// clone copies the maps. The values are immutable and shared.
func (s *state) clone() *state {
	c := *s
	c.keys = maps.Clone(s.keys)
	c.tombstones = maps.Clone(s.tombstones)
	c.leases = maps.Clone(s.leases)
	return &c
}

func (s *state) get(key string) (fireflypath.Entry, error) {
	v, ok := s.keys[key]
	if !ok {
		return fireflypath.Entry{}, fireflypath.ErrNotFound
	}
	return fireflypath.Entry{Key: key, Value: slices.Clone(v.data), Revision: v.revision}, nil
}

func (s *state) put(key string, data []byte, revision uint64, id fireflypath.LeaseID) (uint64, error) {
	if revision != fireflypath.AnyRevision && s.keys[key].revision != revision {
		return 0, fireflypath.ErrConflict
	}
	if _, ok := s.leases[id]; id != 0 && !ok {
		return 0, fireflypath.ErrLeaseExpired
	}
	s.revision++
	s.keys[key] = value{data: slices.Clone(data), revision: s.revision, lease: id}
	delete(s.tombstones, key)
	return s.revision, nil
}

func (s *state) delete(key string, revision uint64) error {
	v, ok := s.keys[key]
	if !ok {
		return fireflypath.ErrNotFound
	}
	if revision != fireflypath.AnyRevision && v.revision != revision {
		return fireflypath.ErrConflict
	}
	s.deleteKey(key)
	return nil
}

func (s *state) deleteKey(key string) {
	s.revision++
	delete(s.keys, key)
	if len(s.tombstones) >= maxTombstones {
		clear(s.tombstones)
	}
	s.tombstones[key] = s.revision
}

// list returns the keys with a prefix that changed above a revision, sorted by key,
// with the deleted ones if withDeleted is set.
func (s *state) list(prefix string, after uint64, withDeleted bool) []fireflypath.Entry {
	out := []fireflypath.Entry{}
	for k, v := range s.keys {
		if strings.HasPrefix(k, prefix) && v.revision > after {
			out = append(out, fireflypath.Entry{Key: k, Value: slices.Clone(v.data), Revision: v.revision})
		}
	}
	for k, r := range s.tombstones {
		if withDeleted && strings.HasPrefix(k, prefix) && r > after {
			out = append(out, fireflypath.Entry{Key: k, Revision: r, Deleted: true})
		}
	}
	slices.SortFunc(out, func(a, b fireflypath.Entry) int { return strings.Compare(a.Key, b.Key) })
	return out
}

// expireLeases deletes the keys of expired leases and reports whether a lease expired.
func (s *state) expireLeases(now time.Time) bool {
	expired := false
	for id, l := range s.leases {
		if !now.Before(l.expiresAt) {
			s.revoke(id)
			expired = true
		}
	}
	return expired
}

func (s *state) revoke(id fireflypath.LeaseID) {
	delete(s.leases, id)
	for k, v := range s.keys {
		if v.lease == id {
			s.deleteKey(k)
		}
	}
}
