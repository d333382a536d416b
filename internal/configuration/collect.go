package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	// orphanGracePeriod is how long a chunk must stay unreferenced and unwritten before
	// it is removed. A change whose chunks are older than maxUploadAge is not committed,
	// so that no committed manifest references a chunk that is being removed.
	orphanGracePeriod = 10 * time.Minute
	// shardAlphabet holds the possible first characters of a digest. One call of
	// CollectGarbage lists the chunks of one character, so that the response stays small
	// at 29,000 teams.
	shardAlphabet = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
)

// orphan records when an unreferenced chunk was first seen, and its revision.
type orphan struct {
	since    time.Time
	revision uint64
}

// CollectGarbage checks the next shard of the chunks, or the pages of the audit trail. It
// removes chunks that no manifest has referenced for orphanGracePeriod, and writes those
// that are referenced but missing. Orphans remain if a daemon crashes after it uploaded
// chunks and before it committed the manifest.
func (r *Registry) CollectGarbage(ctx context.Context) error {
	r.mu.Lock()
	shard := r.nextShard
	r.nextShard = (shard + 1) % (len(shardAlphabet) + 1)
	r.mu.Unlock()
	if shard == len(shardAlphabet) {
		return r.collectTrailPages(ctx)
	}
	prefix := chunkPrefix + shardAlphabet[shard:shard+1]
	listed, err := r.store.List(ctx, prefix)
	if err != nil {
		return errors.Wrap(err, "list chunks")
	}
	// The manifest is read after the listing, so that a chunk referenced meanwhile is kept.
	m, _, err := r.readManifest(ctx)
	if err != nil || m == nil {
		return err
	}
	referenced := map[string]bool{}
	m.Lists.forEach(func(d digest) {
		if d[0] == shardAlphabet[shard] {
			referenced[chunkPrefix+string(d)] = true
		}
	})
	for _, e := range listed {
		if referenced[e.Key] {
			delete(referenced, e.Key)
			continue
		}
		if err := r.removeIfOrphaned(ctx, e); err != nil {
			return err
		}
	}
	return r.restoreChunks(ctx, referenced)
}

// removeIfOrphaned removes an unreferenced entry that has had the same revision for at
// least orphanGracePeriod. Otherwise it records when the entry was first seen.
func (r *Registry) removeIfOrphaned(ctx context.Context, e fireflypath.Entry) error {
	now := r.clock.Now()
	r.mu.Lock()
	o, ok := r.orphans[e.Key]
	if !ok || o.revision != e.Revision {
		r.orphans[e.Key] = orphan{since: now, revision: e.Revision}
		r.mu.Unlock()
		return nil
	}
	r.mu.Unlock()
	if now.Sub(o.since) < orphanGracePeriod {
		return nil
	}
	err := r.store.Delete(ctx, e.Key, e.Revision)
	if err != nil && !errors.IsAny(err, fireflypath.ErrConflict, fireflypath.ErrNotFound) {
		return errors.Wrapf(err, "remove orphan %s", e.Key)
	}
	r.mu.Lock()
	delete(r.orphans, e.Key)
	r.mu.Unlock()
	r.metrics.collected.Inc(1)
	return nil
}

// restoreChunks writes missing chunks that this daemon holds.
func (r *Registry) restoreChunks(ctx context.Context, missing map[string]bool) error {
	chunks := r.current.Load().chunks
	for key := range missing {
		b, ok := chunks[digest(key[len(chunkPrefix):])]
		if !ok {
			continue
		}
		if _, err := r.store.Put(ctx, key, b, 0, 0); err != nil && !errors.Is(err, fireflypath.ErrConflict) {
			return errors.Wrapf(err, "put back %s", key)
		}
		r.metrics.restored.Inc(1)
	}
	return nil
}

// collectTrailPages removes the pages that are no longer within the retained trail.
func (r *Registry) collectTrailPages(ctx context.Context) error {
	listed, err := r.store.List(ctx, trailPrefix)
	if err != nil {
		return errors.Wrap(err, "list the audit trail")
	}
	m, _, err := r.readManifest(ctx)
	if err != nil || m == nil {
		return err
	}
	referenced := map[string]bool{}
	next := m.Trail
	for depth := 0; next != "" && depth < r.retainedPages; depth++ {
		p, err := r.readPage(ctx, next)
		if errors.Is(err, fireflypath.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
		referenced[trailPrefix+string(next)] = true
		next = p.Previous
	}
	for _, e := range listed {
		if referenced[e.Key] {
			continue
		}
		if err := r.removeIfOrphaned(ctx, e); err != nil {
			return err
		}
	}
	return nil
}
