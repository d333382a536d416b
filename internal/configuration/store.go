package configuration

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
)

// readManifest reads the manifest and its revision from the store. It returns nil and
// revision 0 if the store has none.
func (r *Registry) readManifest(ctx context.Context) (*manifest, uint64, error) {
	e, err := r.store.Get(ctx, manifestKey)
	if errors.Is(err, fireflypath.ErrNotFound) {
		return nil, 0, nil
	}
	if err != nil {
		return nil, 0, errors.Wrap(err, "read the manifest")
	}
	m, err := decodeManifest(e.Value)
	if err != nil {
		return nil, 0, err
	}
	r.recordManifest(m, e.Revision)
	return m, e.Revision, nil
}

// recordManifest records the manifest unless a newer one is known. It is the fallback for
// reads of the audit trail and the source of its lines for a restore.
func (r *Registry) recordManifest(m *manifest, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.lastManifest == nil || m.Generation >= r.lastManifest.Generation {
		r.lastManifest, r.watchRevision = m, revision
	}
}

// activateManifest activates the generation of a manifest of the store if it is newer.
func (r *Registry) activateManifest(ctx context.Context, m *manifest) error {
	if m.Generation <= r.Generation() {
		return nil
	}
	s, err := r.assemble(ctx, m.generationIndex, r.fetchFromStore)
	if err != nil {
		return err
	}
	r.activate(s)
	return nil
}

// maxSingleReads is the number of missing chunks up to which each is read by itself. For more,
// listing all chunks is cheaper for the store than a call for each.
const maxSingleReads = 16

// fetchFromStore reads chunks from the store.
func (r *Registry) fetchFromStore(ctx context.Context, ds []digest) (map[digest][]byte, error) {
	fetched := make(map[digest][]byte, len(ds))
	if len(ds) > maxSingleReads {
		all, err := r.store.List(ctx, chunkPrefix)
		if err != nil {
			return nil, errors.Wrap(err, "list the chunks")
		}
		for _, e := range all {
			fetched[digest(e.Key[len(chunkPrefix):])] = e.Value
		}
		return fetched, nil
	}
	for _, d := range ds {
		e, err := r.store.Get(ctx, chunkPrefix+string(d))
		if errors.Is(err, fireflypath.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read chunk %s", d)
		}
		fetched[d] = e.Value
	}
	return fetched, nil
}

// uploadChunks writes the chunks that base does not reference. It also writes chunks that
// exist: the write gives them a new revision, which keeps a collector that has seen them
// unreferenced from removing them.
func (r *Registry) uploadChunks(ctx context.Context, base *chunkLists, chunks []chunk) error {
	referenced := map[digest]bool{}
	if base != nil {
		base.forEach(func(d digest) { referenced[d] = true })
	}
	for _, c := range chunks {
		if referenced[c.digest] {
			continue
		}
		referenced[c.digest] = true
		_, err := r.store.Put(ctx, chunkPrefix+string(c.digest), c.raw, fireflypath.AnyRevision, 0)
		if err != nil {
			return errors.Wrapf(err, "write chunk %s", c.digest)
		}
	}
	return nil
}

// swapManifest replaces the manifest if it still has the given revision. This commits a
// change.
func (r *Registry) swapManifest(ctx context.Context, m *manifest, revision uint64) error {
	b, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode the manifest")
	}
	if len(b) > fireflypath.MaxValue {
		return errors.Newf("manifest of %d bytes is above the service's %d", len(b), fireflypath.MaxValue)
	}
	next, err := r.store.Put(ctx, manifestKey, b, revision, 0)
	if err != nil {
		return errors.Wrapf(markUnknownOutcome(err), "swap the manifest to generation %d", m.Generation)
	}
	r.recordManifest(m, next)
	return nil
}

// restoreStore writes the generation in force to a store that has an older one or none, for
// example because it was restored from a backup. Otherwise the next commit would continue
// from the old generation and never come into force. If the older generation was only a
// stale read, the swap fails because the revision is outdated.
func (r *Registry) restoreStore(ctx context.Context, stored *manifest, revision uint64) error {
	s := r.current.Load()
	r.metrics.older.Inc(1)
	m := &manifest{generationIndex: s.index}
	var from uint64
	if stored != nil {
		m.Trail, m.Tail, from = stored.Trail, stored.Tail, stored.Generation
	}
	r.mu.Lock()
	if r.lastManifest != nil && r.lastManifest.Generation == s.index.Generation {
		m.Tail, m.Trail = r.lastManifest.Tail, r.lastManifest.Trail
	}
	r.mu.Unlock()
	line := fireflypath.AuditLine{
		ID: s.index.Change + "/restored", At: r.clock.Now().UTC(), Operator: r.name, Command: "restore",
		From: from, To: s.index.Generation, Result: "done",
	}
	if m.findInTail(line.ID) == nil {
		m.Tail = append(m.Tail[:len(m.Tail):len(m.Tail)], line)
	}
	chunks := make([]chunk, 0, len(s.chunks))
	for d, b := range s.chunks {
		chunks = append(chunks, chunk{digest: d, raw: b})
	}
	if err := r.uploadChunks(ctx, nil, chunks); err != nil {
		return err
	}
	if err := r.swapManifest(ctx, m, revision); err != nil {
		return err
	}
	r.metrics.restored.Inc(1)
	r.log.Warn("service showed an older configuration, restored",
		zap.Uint64("found", from), zap.Uint64("generation", s.index.Generation))
	return nil
}

// markUnknownOutcome marks an error of a write as fireflypath.ErrUnknown, for example the end
// of the context, unless it guarantees that nothing was written.
func markUnknownOutcome(err error) error {
	if errors.IsAny(err, fireflypath.ErrConflict, fireflypath.ErrUnavailable,
		fireflypath.ErrLimited, fireflypath.ErrUnknown) {
		return err
	}
	return errors.Mark(err, fireflypath.ErrUnknown)
}
