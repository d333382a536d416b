package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	// collectGrace is how long a chunk must stay unnamed and unwritten before
	// it is removed; a change is given up long before (uploadGrace).
	collectGrace = 10 * time.Minute
	// shards is the alphabet of a digest's first character; one listing covers
	// one of them, so that it stays small at 29,000 teams.
	shards = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
)

// suspect is an unnamed chunk as it was first seen.
type suspect struct {
	since    time.Time
	revision uint64
}

// CollectGarbage looks through one part of the chunks. It removes those that no
// manifest has named for collectGrace and puts back those that are named but
// gone. A crash between chunks and manifest leaves such orphans behind.
func (r *Registry) CollectGarbage(ctx context.Context) error {
	r.mu.Lock()
	shard := r.shard
	r.shard = (shard + 1) % (len(shards) + 1)
	r.mu.Unlock()
	if shard == len(shards) {
		return r.collectTrail(ctx)
	}
	prefix := chunkPrefix + shards[shard:shard+1]
	held, err := r.store.List(ctx, prefix)
	if err != nil {
		return errors.Wrap(err, "list chunks")
	}
	// The manifest is read after the list: a chunk named since is spared.
	m, _, err := r.read(ctx)
	if err != nil || m == nil {
		return err
	}
	named := map[string]bool{}
	m.Lists.each(func(d digest) {
		if d[0] == shards[shard] {
			named[chunkPrefix+string(d)] = true
		}
	})
	for _, e := range held {
		if named[e.Key] {
			delete(named, e.Key)
			continue
		}
		if err := r.suspect(ctx, e); err != nil {
			return err
		}
	}
	return r.putBack(ctx, named)
}

// suspect removes a chunk that was seen unnamed with the same revision before.
func (r *Registry) suspect(ctx context.Context, e fireflypath.Entry) error {
	now := r.clock.Now()
	r.mu.Lock()
	s, ok := r.suspects[e.Key]
	if !ok || s.revision != e.Revision {
		r.suspects[e.Key] = suspect{since: now, revision: e.Revision}
		r.mu.Unlock()
		return nil
	}
	r.mu.Unlock()
	if now.Sub(s.since) < collectGrace {
		return nil
	}
	err := r.store.Delete(ctx, e.Key, e.Revision)
	if err != nil && !errors.IsAny(err, fireflypath.ErrConflict, fireflypath.ErrNotFound) {
		return errors.Wrapf(err, "remove orphan %s", e.Key)
	}
	r.mu.Lock()
	delete(r.suspects, e.Key)
	r.mu.Unlock()
	r.count.collected.Inc(1)
	return nil
}

// putBack writes chunks that are named but gone.
func (r *Registry) putBack(ctx context.Context, gone map[string]bool) error {
	raw := r.current.Load().raw
	for key := range gone {
		b, ok := raw[digest(key[len(chunkPrefix):])]
		if !ok {
			continue
		}
		if _, err := r.store.Put(ctx, key, b, 0, 0); err != nil && !errors.Is(err, fireflypath.ErrConflict) {
			return errors.Wrapf(err, "put back %s", key)
		}
		r.count.restored.Inc(1)
	}
	return nil
}

// collectTrail removes pages that the trail no longer reaches.
func (r *Registry) collectTrail(ctx context.Context) error {
	held, err := r.store.List(ctx, trailPrefix)
	if err != nil {
		return errors.Wrap(err, "list the audit trail")
	}
	m, _, err := r.read(ctx)
	if err != nil || m == nil {
		return err
	}
	named := map[string]bool{}
	next := m.Trail
	for depth := 0; next != "" && depth < r.pages; depth++ {
		p, err := r.page(ctx, next)
		if errors.Is(err, fireflypath.ErrNotFound) {
			break
		}
		if err != nil {
			return err
		}
		named[trailPrefix+string(next)] = true
		next = p.Previous
	}
	for _, e := range held {
		if named[e.Key] {
			continue
		}
		if err := r.suspect(ctx, e); err != nil {
			return err
		}
	}
	return nil
}
