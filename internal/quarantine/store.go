package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/decide/poison"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/logs"
)

// Prefix is the prefix of the store's keys of held requests; the digest follows.
const Prefix = "quarantine/"

// saveTimeout limits a write to the store.
const saveTimeout = time.Second

// storedEntry is the stored form of an entry. Until is in milliseconds of Unix time; the
// clocks of hosts differ by far less than the length of a hold.
type storedEntry struct {
	Pool    string `json:"pool"`
	Until   int64  `json:"until"`
	Crashes int    `json:"targets"`
	Holds   int    `json:"times"`
	// Members are the causes that are held together, if there are several.
	Members []string `json:"members,omitempty"`
	Kind    string   `json:"kind,omitempty"`
	Version uint64   `json:"number"`
}

// ApplyStoreEntry applies a change of a store key under Prefix.
func (q *Quarantine) ApplyStoreEntry(e fireflypath.Entry) {
	d, err := digest.Parse(strings.TrimPrefix(e.Key, Prefix))
	if err != nil {
		return // another program's key
	}
	if e.Deleted {
		q.entryDeleted(d)
		return
	}
	var r storedEntry
	if err := json.Unmarshal(e.Value, &r); err != nil {
		q.deps.Log.Warn("ignored invalid quarantine entry in the store", zap.String("key", e.Key), logs.Err(err))
		return
	}
	members, ok := parseDigests(r.Members)
	if !ok {
		q.deps.Log.Warn("ignored invalid quarantine entry in the store", zap.String("key", e.Key), zap.Strings("members", r.Members))
		return
	}
	changed := q.mergeEntry(entry{version: r.Version, stored: true, Verdict: poison.Verdict{
		Digest: d, Members: members, Kind: kindOrDefault(r.Kind), Pool: r.Pool, State: poison.Held, Until: time.UnixMilli(r.Until), Crashes: r.Crashes, Holds: r.Holds,
	}})
	q.setStored(d, true)
	if changed {
		q.flushPeers()
	}
}

// entryDeleted releases a request whose key was deleted by an operator or another daemon.
func (q *Quarantine) entryDeleted(d digest.Digest) {
	old, ok := q.entries.Load().byDigest[d]
	if !ok || !old.stored {
		return
	}
	q.setStored(d, false)
	if old.State == poison.Held {
		cleared := old
		cleared.State, cleared.version, cleared.stored = poison.Cleared, old.version+1, false
		q.mergeEntry(cleared)
		q.flushPeers()
	}
}

// setStored records whether the store holds an entry.
func (q *Quarantine) setStored(d digest.Digest, stored bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.entries.Load().byDigest
	e, ok := list[d]
	if !ok || e.stored == stored {
		return
	}
	next := maps.Clone(list)
	e.stored = stored
	next[d] = e
	q.entries.Store(newTable(next))
}

// Save writes this daemon's unsaved verdicts to the store, and reports whether some are left.
// The first coordinator also deletes entries that ended long ago.
func (q *Quarantine) Save(ctx context.Context) bool {
	if q.deps.Store == nil {
		return false
	}
	for _, e := range q.entriesToSave(coordinatorIndex(q.coordinators(), q.deps.Self) == 0) {
		if err := q.saveEntry(ctx, e); err != nil {
			q.logSaveFailure(e, err)
			return true
		}
		q.metrics.saved.Inc(1)
		q.mu.Lock()
		q.saveFailing = false
		if q.entries.Load().byDigest[e.Digest].version == e.version {
			delete(q.unsaved, e.Digest)
		}
		q.mu.Unlock()
	}
	return false
}

// logSaveFailure logs the first of a series of failures.
func (q *Quarantine) logSaveFailure(e entry, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.saveFailing {
		q.deps.Log.Warn("saving quarantine entry to the store failed", zap.Stringer("digest", e.Digest), logs.Err(err))
	}
	q.saveFailing = true
}

// entriesToSave returns the entries to write or delete. With deleteOld, it includes stored
// entries past half of their retention.
func (q *Quarantine) entriesToSave(deleteOld bool) []entry {
	now := q.deps.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	list := q.entries.Load().byDigest
	maps.DeleteFunc(q.unsaved, func(d digest.Digest, _ bool) bool { _, ok := list[d]; return !ok })
	var out []entry
	for d, e := range list {
		expired := deleteOld && e.stored && now.Sub(e.Until) > retention/2
		if expired {
			e.State = poison.Cleared
		}
		if expired || q.unsaved[d] {
			out = append(out, e)
		}
	}
	return out
}

// saveEntry writes an entry to the store if it is held, and deletes it otherwise.
func (q *Quarantine) saveEntry(ctx context.Context, e entry) error {
	ctx, cancel := context.WithTimeout(ctx, saveTimeout)
	defer cancel()
	key := Prefix + e.Digest.String()
	if e.State != poison.Held {
		return q.deps.Store.Delete(ctx, key, fireflypath.AnyRevision)
	}
	b, err := json.Marshal(storedEntry{
		Pool: e.Pool, Until: e.Until.UnixMilli(), Crashes: e.Crashes, Holds: e.Holds, Version: e.version,
		Members: formatDigests(e.Members), Kind: string(e.Kind),
	})
	if err != nil {
		return err
	}
	_, err = q.deps.Store.Put(ctx, key, b, fireflypath.AnyRevision, 0)
	return err
}
