package quarantine

import (
	"context"
	"encoding/json"
	"maps"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
	decide "github.com/fireflypath/fireflypath/internal/decide/quarantine"
	"github.com/fireflypath/fireflypath/internal/digest"
	"github.com/fireflypath/fireflypath/internal/logs"
)

// Prefix begins the store's keys of requests that are held; the digest follows.
const Prefix = "quarantine/"

// saveTime bounds a write to the store.
const saveTime = time.Second

// record is an entry as the store holds it. Until is in milliseconds of Unix time:
// clocks of hosts differ by far less than a request is held.
type record struct {
	Pool    string `json:"pool"`
	Until   int64  `json:"until"`
	Targets int    `json:"targets"`
	Times   int    `json:"times"`
	Number  uint64 `json:"number"`
}

// ApplyStoreEntry takes in a key of the store under Prefix.
func (q *Quarantine) ApplyStoreEntry(e fireflypath.Entry) {
	d, err := digest.Parse(strings.TrimPrefix(e.Key, Prefix))
	if err != nil {
		return // another program's key
	}
	if e.Deleted {
		q.unstored(d)
		return
	}
	var r record
	if err := json.Unmarshal(e.Value, &r); err != nil {
		q.deps.Log.Warn("entry of the quarantine is not used", zap.String("key", e.Key), logs.Cause(err))
		return
	}
	news := q.learn(entry{Number: r.Number, stored: true, Verdict: decide.Verdict{
		Digest: d, Pool: r.Pool, State: decide.Held, Until: time.UnixMilli(r.Until), Crashes: r.Targets, Holds: r.Times,
	}})
	q.mark(d, true)
	if news {
		q.flush()
	}
}

// unstored releases a request whose key was removed, by an operator or another daemon.
func (q *Quarantine) unstored(d digest.Digest) {
	old, ok := (*q.list.Load())[d]
	if !ok || !old.stored {
		return
	}
	q.mark(d, false)
	if old.State == decide.Held {
		free := old
		free.State, free.Number, free.stored = decide.Cleared, old.Number+1, false
		q.learn(free)
		q.flush()
	}
}

// mark notes whether the store holds an entry.
func (q *Quarantine) mark(d digest.Digest, stored bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list := *q.list.Load()
	e, ok := list[d]
	if !ok || e.stored == stored {
		return
	}
	next := maps.Clone(list)
	e.stored = stored
	next[d] = e
	q.list.Store(&next)
}

// Save writes what was decided here, and tells whether some is left. The first keeper
// also removes what is long over.
func (q *Quarantine) Save(ctx context.Context) bool {
	if q.deps.Store == nil {
		return false
	}
	for _, e := range q.due(place(q.keepers(), q.deps.Self) == 0) {
		if err := q.write(ctx, e); err != nil {
			q.notSaved(e, err)
			return true
		}
		q.count.saved.Inc(1)
		q.mu.Lock()
		q.failing = false
		if (*q.list.Load())[e.Digest].Number == e.Number {
			delete(q.unsaved, e.Digest)
		}
		q.mu.Unlock()
	}
	return false
}

// notSaved logs the first of several failures.
func (q *Quarantine) notSaved(e entry, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !q.failing {
		q.deps.Log.Warn("quarantine was not saved", zap.Stringer("digest", e.Digest), logs.Cause(err))
	}
	q.failing = true
}

// due are the entries to be written or removed.
func (q *Quarantine) due(first bool) []entry {
	now := q.deps.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	list := *q.list.Load()
	maps.DeleteFunc(q.unsaved, func(d digest.Digest, _ bool) bool { _, ok := list[d]; return !ok })
	var out []entry
	for d, e := range list {
		old := first && e.stored && now.Sub(e.Until) > forgetAfter/2
		if old {
			e.State = decide.Cleared
		}
		if old || q.unsaved[d] {
			out = append(out, e)
		}
	}
	return out
}

func (q *Quarantine) write(ctx context.Context, e entry) error {
	ctx, cancel := context.WithTimeout(ctx, saveTime)
	defer cancel()
	key := Prefix + e.Digest.String()
	if e.State != decide.Held {
		return q.deps.Store.Delete(ctx, key, fireflypath.AnyRevision)
	}
	b, err := json.Marshal(record{Pool: e.Pool, Until: e.Until.UnixMilli(), Targets: e.Crashes, Times: e.Holds, Number: e.Number})
	if err != nil {
		return err
	}
	_, err = q.deps.Store.Put(ctx, key, b, fireflypath.AnyRevision, 0)
	return err
}
