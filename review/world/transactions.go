package main

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// transaction is all or nothing.
type transaction struct {
	ExpectRev []struct {
		Key      string
		Revision uint64
	}
	Writes []struct {
		Key   string
		Value []byte
		Lease uint64
	}
	Remove []string
}

func (s *kvStore) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	met := true
	for _, e := range t.ExpectRev {
		it := s.items[e.Key]
		items = append(items, it)
		met = met && it.Revision == e.Revision
	}
	for _, e := range t.Writes {
		if _, ok := s.leases[e.Lease]; e.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	if !met {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]any{"Items": items})
		return
	}
	for _, e := range t.Writes {
		s.put(e.Key, e.Value, e.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	writeJSON(w, map[string]any{"Revision": s.revision})
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var in map[string]int64
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	const field = "TtlMs"
	s.mu.Lock()
	s.lastLease++
	id, ttl := s.lastLease, time.Duration(in[field])*time.Millisecond
	s.leases[id], s.ends[id] = ttl, time.Now().Add(ttl)
	s.mu.Unlock()
	writeJSON(w, map[string]any{"Lease": id, field: in[field]})
}

func (s *kvStore) renew(w http.ResponseWriter, idText string) {
	id, _ := strconv.ParseUint(idText, 10, 64)
	s.mu.Lock()
	ttl, ok := s.leases[id]
	if ok {
		s.ends[id] = time.Now().Add(ttl)
	}
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, struct{}{})
}

func (s *kvStore) end(idText string) {
	id, _ := strconv.ParseUint(idText, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeLease(id)
}

// expireLeases removes the leases that have ended, with their keys.
func (s *kvStore) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, end := range s.ends {
		if time.Now().After(end) {
			s.removeLease(id)
		}
	}
}

func (s *kvStore) removeLease(id uint64) {
	delete(s.leases, id)
	delete(s.ends, id)
	for _, key := range sortedKeys(s.items) {
		if it := s.items[key]; id != 0 && it.Lease == id {
			s.remove(key)
		}
	}
}
