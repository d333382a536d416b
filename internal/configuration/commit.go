package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	// minCommitBackoff is the first pause between attempts to commit a change. It doubles
	// up to maxCommitBackoff, so that daemons do not flood a store that is failing.
	minCommitBackoff = 50 * time.Millisecond
	maxCommitBackoff = time.Second
	// maxCommitAttempts bounds the attempts to commit a change or to determine whether it was
	// committed. With the pauses they take about half a minute. After that it is more useful
	// to the operator to be told that the outcome is unknown than to wait.
	maxCommitAttempts = 35
	// maxRebaseAttempts bounds the attempts to commit a change when other changes are
	// committed concurrently. At 4,200 changes a day a second conflict is rare; ten in a
	// row indicate a fault.
	maxRebaseAttempts = 10
	// maxUploadAge is the maximum age of uploaded chunks when the manifest is swapped. The
	// collector removes unreferenced chunks only after orphanGracePeriod, so that younger
	// ones still exist.
	maxUploadAge = orphanGracePeriod / 4
)

var (
	// ErrNoStore means that the daemon has no store to commit to.
	ErrNoStore = errors.New("daemon runs without the platform's service")
	// ErrSuperseded means that another change was committed since the change's base generation.
	ErrSuperseded = errors.Wrap(fireflypath.ErrConflict, "another change was committed first")
	// ErrRefused means that the change is invalid. The cause says why.
	ErrRefused = errors.New("change is refused")
)

// Commit applies and commits a change. After fireflypath.ErrUnknown the change may be in
// force: FindCommit tells, and committing the same ID again is safe. Any other error means
// that nothing was changed.
func (r *Registry) Commit(ctx context.Context, c fireflypath.Change) (fireflypath.Commit, error) {
	if r.store == nil {
		return fireflypath.Commit{ID: c.ID}, ErrNoStore
	}
	if c.ID == "" || len(c.Command) > maxCommandBytes {
		return fireflypath.Commit{ID: c.ID}, errors.Wrapf(ErrRefused, "no id, or above %d bytes", maxCommandBytes)
	}
	r.metrics.commits.Inc(1)
	uncertain := false
	for attempt := 0; ; attempt++ {
		result, err := r.commitOnce(ctx, c)
		if err == nil || errors.Is(err, ErrSuperseded) || errors.Is(err, ErrRefused) {
			return result, err
		}
		conflict := errors.Is(err, fireflypath.ErrConflict)
		uncertain = uncertain || errors.Is(err, fireflypath.ErrUnknown)
		if !uncertain && (!conflict || attempt >= maxRebaseAttempts) {
			return result, err
		}
		// Another attempt resolves a write with an unknown outcome: it first looks up the
		// ID in the trail, and its swap on the same revision makes an earlier write that
		// is still in flight fail.
		sleepErr := r.sleep(ctx, min(maxCommitBackoff, minCommitBackoff<<min(attempt, 5)))
		if sleepErr == nil && attempt < maxCommitAttempts {
			continue
		}
		if uncertain {
			r.metrics.unknown.Inc(1)
			err = errors.Mark(errors.Wrapf(err, "outcome of change %s", c.ID), fireflypath.ErrUnknown)
		}
		return result, err
	}
}

// commitOnce looks up the ID in the trail and, unless it is there, applies the change to
// the store's generation and swaps the manifest.
func (r *Registry) commitOnce(ctx context.Context, c fireflypath.Change) (fireflypath.Commit, error) {
	result := fireflypath.Commit{ID: c.ID}
	m, revision, err := r.syncWithStore(ctx)
	if err != nil {
		return result, err
	}
	if l, err := r.lookup(ctx, m, c.ID); err != nil || l != nil {
		return recordedCommit(result, l), err
	}
	if c.Base != 0 && c.Base != m.Generation {
		r.metrics.conflicts.Inc(1)
		result.ConflictingID = m.changeAfter(c.Base)
		return result, errors.Wrapf(ErrSuperseded, "change %s is in force as generation %d", result.ConflictingID, m.Generation)
	}
	s, err := r.applyChange(c, m)
	if err != nil {
		return result, err
	}
	if err := r.commitState(ctx, c, m, s, revision); err != nil {
		return result, err
	}
	r.activate(s)
	result.Generation = s.index.Generation
	return result, nil
}

// recordedCommit fills in the result of a change that the trail already contains.
func recordedCommit(result fireflypath.Commit, l *fireflypath.AuditLine) fireflypath.Commit {
	if l != nil {
		result.Repeated, result.Generation = true, l.To
	}
	return result
}

// syncWithStore reads the manifest and activates it if it is newer. A store that is empty or
// has an older generation than this daemon is initialized or restored first.
func (r *Registry) syncWithStore(ctx context.Context) (*manifest, uint64, error) {
	m, revision, err := r.readManifest(ctx)
	if err != nil {
		return nil, 0, err
	}
	if m == nil || m.Generation < r.Generation() {
		if err := r.initializeOrRestoreStore(ctx, m, revision); err != nil {
			return nil, 0, err
		}
		if m, revision, err = r.readManifest(ctx); err != nil {
			return nil, 0, err
		}
		if m == nil {
			return nil, 0, errors.Wrap(fireflypath.ErrConflict, "manifest vanished")
		}
	}
	return m, revision, r.activateManifest(ctx, m)
}

// initializeOrRestoreStore writes the generation in force to the store, or the initial
// configuration if no generation is in force.
func (r *Registry) initializeOrRestoreStore(ctx context.Context, stored *manifest, revision uint64) error {
	if r.Generation() > 0 {
		return r.restoreStore(ctx, stored, revision)
	}
	return r.initializeStore(ctx)
}

// initializeStore commits the initial configuration of the settings to an empty store. The
// swap expects that there is no manifest, so that only one of several daemons succeeds and
// all use its configuration.
func (r *Registry) initializeStore(ctx context.Context) error {
	first := fireflypath.Config{}
	if r.initial != nil {
		first = *r.initial
	}
	l, chunks, err := encode(&first)
	if err != nil {
		return err
	}
	if err := r.uploadChunks(ctx, nil, chunks); err != nil {
		return err
	}
	m := &manifest{generationIndex: generationIndex{Generation: 1, Change: "initial", Lists: l}}
	line := fireflypath.AuditLine{
		ID: "initial", At: r.clock.Now().UTC(), Operator: r.name, Command: "initial", To: 1, Result: "done",
	}
	if err := r.appendLine(ctx, m, line); err != nil {
		return err
	}
	return r.swapManifest(ctx, m, 0)
}

// applyChange returns the state that results from a change to the generation in force.
func (r *Registry) applyChange(c fireflypath.Change, m *manifest) (*state, error) {
	old := r.current.Load()
	if old.index.Generation != m.Generation {
		return nil, errors.Wrap(fireflypath.ErrConflict, "a newer generation came meanwhile")
	}
	next, err := c.Apply(old.config)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "change is refused"), ErrRefused)
	}
	cfg := *next
	cfg.Generation = m.Generation + 1
	l, chunks, err := encode(&cfg)
	if err != nil {
		return nil, errors.Mark(err, ErrRefused)
	}
	s := &state{
		config: &cfg,
		index:  generationIndex{Generation: cfg.Generation, Change: c.ID, Lists: l},
		chunks: make(map[digest][]byte, len(chunks)),
	}
	for _, c := range chunks {
		s.chunks[c.digest] = c.raw
		if b, ok := old.chunks[c.digest]; ok {
			s.chunks[c.digest] = b
		}
	}
	return s, nil
}

// commitState uploads the chunks and then swaps the manifest that references them. A crash
// in between leaves only chunks that no daemon reads.
func (r *Registry) commitState(ctx context.Context, c fireflypath.Change, m *manifest, s *state, revision uint64) error {
	started := r.clock.Now()
	chunks := make([]chunk, 0, len(s.chunks))
	s.index.Lists.forEach(func(d digest) { chunks = append(chunks, chunk{d, s.chunks[d]}) })
	if err := r.uploadChunks(ctx, &m.Lists, chunks); err != nil {
		return asNotCommitted(err)
	}
	next := &manifest{generationIndex: s.index, Tail: m.Tail, Trail: m.Trail}
	line := fireflypath.AuditLine{
		ID: c.ID, At: started.UTC(), Operator: c.Operator, Command: c.Command,
		From: m.Generation, To: s.index.Generation, Result: "done",
	}
	if err := r.appendLine(ctx, next, line); err != nil {
		return asNotCommitted(err)
	}
	if r.clock.Since(started) > maxUploadAge {
		return errors.Wrap(fireflypath.ErrConflict, "chunks are too old to be named")
	}
	return r.swapManifest(ctx, next, revision)
}

// asNotCommitted converts an unknown outcome of a write before the swap to
// fireflypath.ErrUnavailable: whether or not that write took effect, the manifest was not
// swapped.
func asNotCommitted(err error) error {
	if errors.Is(err, fireflypath.ErrUnknown) {
		return errors.Wrapf(fireflypath.ErrUnavailable, "chunk or trail not confirmed: %v", err)
	}
	return err
}

// FindCommit looks up a change by its ID in the trail, or returns fireflypath.ErrNotFound.
func (r *Registry) FindCommit(ctx context.Context, id string) (fireflypath.Commit, error) {
	result := fireflypath.Commit{ID: id}
	if r.store == nil {
		return result, ErrNoStore
	}
	m, _, err := r.readManifest(ctx)
	if err != nil {
		return result, err
	}
	l, err := r.lookup(ctx, m, id)
	if err != nil {
		return result, err
	}
	if l == nil {
		return result, errors.Wrapf(fireflypath.ErrNotFound, "change %s", id)
	}
	return recordedCommit(result, l), nil
}

// AppendAudit appends a line to the trail without changing the configuration.
func (r *Registry) AppendAudit(ctx context.Context, l fireflypath.AuditLine) error {
	if r.store == nil {
		return ErrNoStore
	}
	for attempt := 0; ; attempt++ {
		err := r.appendAuditOnce(ctx, l)
		retryable := errors.Is(err, fireflypath.ErrConflict) || errors.Is(err, fireflypath.ErrUnknown)
		if !retryable || attempt >= maxRebaseAttempts {
			return err
		}
		if sleepErr := r.sleep(ctx, minCommitBackoff); sleepErr != nil {
			return errors.CombineErrors(err, sleepErr)
		}
	}
}

func (r *Registry) appendAuditOnce(ctx context.Context, l fireflypath.AuditLine) error {
	m, revision, err := r.syncWithStore(ctx)
	if err != nil {
		return err
	}
	if found, err := r.lookup(ctx, m, l.ID); err != nil || found != nil {
		return err
	}
	next := *m
	l.From, l.To = m.Generation, m.Generation
	if err := r.appendLine(ctx, &next, l); err != nil {
		return asNotCommitted(err)
	}
	return r.swapManifest(ctx, &next, revision)
}

// sleep waits for d on the registry's clock, or until the context ends.
func (r *Registry) sleep(ctx context.Context, d time.Duration) error {
	t := r.clock.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.Chan():
		return nil
	}
}
