package configuration

import (
	"context"
	"encoding/json"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"github.com/fireflypath/fireflypath"
)

// read gets the manifest from the store; nil with revision 0 means there is none.
func (r *Registry) read(ctx context.Context) (*manifest, uint64, error) {
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
	r.remember(m, e.Revision)
	return m, e.Revision, nil
}

// remember keeps the newest manifest for the audit trail and for a restore.
func (r *Registry) remember(m *manifest, revision uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.seen == nil || m.Generation >= r.seen.Generation {
		r.seen, r.revision = m, revision
	}
}

// adopt puts a manifest of the store in force if it is newer.
func (r *Registry) adopt(ctx context.Context, m *manifest) error {
	if m.Generation <= r.Generation() {
		return nil
	}
	s, err := r.assemble(ctx, m.outline, r.fromStore)
	if err != nil {
		return err
	}
	r.install(s)
	return nil
}

// listAbove is the number of missing chunks from which one listing of all is
// cheaper for the service than a call for each.
const listAbove = 16

// fromStore gets chunks from the platform's service.
func (r *Registry) fromStore(ctx context.Context, ds []digest) (map[digest][]byte, error) {
	got := make(map[digest][]byte, len(ds))
	if len(ds) > listAbove {
		all, err := r.store.List(ctx, chunkPrefix)
		if err != nil {
			return nil, errors.Wrap(err, "list the chunks")
		}
		for _, e := range all {
			got[digest(e.Key[len(chunkPrefix):])] = e.Value
		}
		return got, nil
	}
	for _, d := range ds {
		e, err := r.store.Get(ctx, chunkPrefix+string(d))
		if errors.Is(err, fireflypath.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, errors.Wrapf(err, "read chunk %s", d)
		}
		got[d] = e.Value
	}
	return got, nil
}

// upload writes the chunks that base does not name. Each write gives the chunk
// a new revision, which keeps it from a collector that has seen it unnamed.
func (r *Registry) upload(ctx context.Context, base *lists, chunks []chunk) error {
	named := map[digest]bool{}
	if base != nil {
		base.each(func(d digest) { named[d] = true })
	}
	for _, c := range chunks {
		if named[c.digest] {
			continue
		}
		named[c.digest] = true
		_, err := r.store.Put(ctx, chunkPrefix+string(c.digest), c.raw, fireflypath.AnyRevision, 0)
		if err != nil {
			return errors.Wrapf(err, "write chunk %s", c.digest)
		}
	}
	return nil
}

// swap is the commit.
func (r *Registry) swap(ctx context.Context, m *manifest, revision uint64) error {
	b, err := json.Marshal(m)
	if err != nil {
		return errors.Wrap(err, "encode the manifest")
	}
	if len(b) > fireflypath.MaxValue {
		return errors.Newf("manifest of %d bytes is above the service's %d", len(b), fireflypath.MaxValue)
	}
	next, err := r.store.Put(ctx, manifestKey, b, revision, 0)
	if err != nil {
		return errors.Wrapf(fate(err), "swap the manifest to generation %d", m.Generation)
	}
	r.remember(m, next)
	return nil
}

// restore writes the generation in force back to a store that shows an older
// one or none, as after it came back from an old copy. Without it the next
// commit would count up from the old generation and never come into force. A
// reply that was merely stale does no harm: the swap then fails on the revision.
func (r *Registry) restore(ctx context.Context, found *manifest, revision uint64) error {
	s := r.current.Load()
	r.count.older.Inc(1)
	m := &manifest{outline: s.outline}
	var from uint64
	if found != nil {
		m.Trail, m.Tail, from = found.Trail, found.Tail, found.Generation
	}
	r.mu.Lock()
	if r.seen != nil && r.seen.Generation == s.outline.Generation {
		m.Tail, m.Trail = r.seen.Tail, r.seen.Trail
	}
	r.mu.Unlock()
	line := fireflypath.AuditLine{
		ID: s.outline.Change + "/restored", At: r.clock.Now().UTC(), Who: r.name, Words: "restore",
		From: from, To: s.outline.Generation, Result: "done",
	}
	if m.find(line.ID) == nil {
		m.Tail = append(m.Tail[:len(m.Tail):len(m.Tail)], line)
	}
	chunks := make([]chunk, 0, len(s.raw))
	for d, b := range s.raw {
		chunks = append(chunks, chunk{digest: d, raw: b})
	}
	if err := r.upload(ctx, nil, chunks); err != nil {
		return err
	}
	if err := r.swap(ctx, m, revision); err != nil {
		return err
	}
	r.count.restored.Inc(1)
	r.log.Warn("service showed an older configuration, restored",
		zap.Uint64("found", from), zap.Uint64("generation", s.outline.Generation))
	return nil
}

// fate marks every error of a write that does not say that nothing was written
// as unknown, a context's end among them.
func fate(err error) error {
	if errors.IsAny(err, fireflypath.ErrConflict, fireflypath.ErrUnavailable,
		fireflypath.ErrLimited, fireflypath.ErrUnknown) {
		return err
	}
	return errors.Mark(err, fireflypath.ErrUnknown)
}
