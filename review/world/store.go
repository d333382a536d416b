package main

import (
	_ "embed"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long the store takes for an answer, history how long it keeps what was written.
	storeDelay = 4 * time.Millisecond
	history    = 20 * time.Second
	// maxPageItems and maxPageBytes bound a page of a listing.
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

//go:embed wire.json
var wireJSON []byte

// wire holds the platform's names.
var wire = readNames()

// names are the platform's names on the wire that the cases need.
type names struct {
	Prefix, After, Wait, Key, Revision, Kind, Unit string
}

func readNames() names {
	var n names
	if err := json.Unmarshal(wireJSON, &n); err != nil {
		panic(err) // the file is part of the program
	}
	return n
}

// item is a key of the store as it was written, or in an event a removed one.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Deleted  bool `json:",omitempty"`

	at time.Time
}

// kvStore is the platform's store. A watch gets each write as an event of its own, in order.
type kvStore struct {
	mu        sync.Mutex
	revision  uint64
	items     map[string]item
	events    []item
	forgotten uint64
	leases    map[uint64]time.Duration
	ends      map[uint64]time.Time
	lastLease uint64
	changed   chan struct{}
}

func newStore() *kvStore {
	return &kvStore{
		revision: 1, items: map[string]item{}, leases: map[uint64]time.Duration{}, ends: map[uint64]time.Time{},
		changed: make(chan struct{}),
	}
}

// Put writes a key, as the operator or a replica does.
func (s *kvStore) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, value, 0)
}

func (s *kvStore) put(key string, value []byte, lease uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.items[key].Created, Lease: lease}
	if it.Created == 0 {
		it.Created = s.revision
	}
	s.items[key] = it
	s.publish(it)
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Deleted: true})
}

// publish appends an event.
func (s *kvStore) publish(e item) {
	e.at = time.Now()
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// forget drops the events that are too old.
func (s *kvStore) forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.events) > 0 && time.Since(s.events[0].at) > history {
		s.forgotten = s.events[0].Revision
		s.events = s.events[1:]
	}
}

// ServeHTTP implements http.Handler.
func (s *kvStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeDelay)
	s.expireLeases()
	s.forget()
	call, argument, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/kv-"), "/")
	switch call {
	case "key":
		s.get(w, r.URL.Query().Get(wire.Key))
	case "range":
		s.list(w, r.URL.Query().Get(wire.Prefix), r.URL.Query().Get(wire.After))
	case "watch":
		s.watch(w, r)
	case "txn":
		s.transact(w, r)
	case "lease":
		s.grant(w, r)
	case "keep":
		s.renew(w, argument)
	case "lease-end":
		s.end(argument)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // an error means that the caller has left
}

func (s *kvStore) get(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, it)
}

func (s *kvStore) list(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items, truncated, size := []item{}, false, 0
	for _, key := range sortedKeys(s.items) {
		if key <= after || !strings.HasPrefix(key, prefix) {
			continue
		}
		size += len(s.items[key].Value)
		if len(items) > 0 && (size > maxPageBytes || len(items) == maxPageItems) {
			truncated = true
			break
		}
		items = append(items, s.items[key])
	}
	out := map[string]any{"Items": items, "Truncated": truncated, wire.Revision: s.revision}
	s.mu.Unlock()
	writeJSON(w, out)
}

func sortedKeys(items map[string]item) []string {
	keys := make([]string, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// watch answers as soon as there is an event after the given revision.
func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get(wire.After), 10, 64)
	ms, _ := strconv.Atoi(q.Get(wire.Wait))
	t := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer t.Stop()
	for waiting := true; ; {
		s.mu.Lock()
		events, forgotten, revision, changed := s.eventsAfter(q.Get(wire.Prefix), after), s.forgotten, s.revision, s.changed
		s.mu.Unlock()
		if after < forgotten {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 || !waiting {
			writeJSON(w, map[string]any{"events": events, wire.Revision: revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-t.C:
			waiting = false
		case <-changed:
		}
	}
}

func (s *kvStore) eventsAfter(prefix string, after uint64) []item {
	out := []item{}
	for _, e := range s.events {
		if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
			out = append(out, e)
		}
	}
	return out
}
