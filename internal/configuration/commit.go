package configuration

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

const (
	// settleWait is the first pause between attempts to learn a write's fate;
	// it doubles up to settleMax, so that an outage is not met by a storm.
	settleWait = 50 * time.Millisecond
	settleMax  = time.Second
	// settleTries bounds the attempts: with the pauses about half a minute, by
	// when an operator rather hears that the outcome is not known.
	settleTries = 35
	// rebaseTries bounds the attempts of a change that others overtake; with
	// 4,200 changes a day a second one is rare, ten in a row are a fault.
	rebaseTries = 10
	// uploadGrace is how old uploaded chunks may be at the swap. A collector
	// removes unnamed chunks only after collectGrace, so they are still there.
	uploadGrace = collectGrace / 4
)

var (
	// ErrNoStore means that this daemon has no service to commit to.
	ErrNoStore = errors.New("daemon runs without the platform's service")
	// ErrSuperseded means that another change was committed first.
	ErrSuperseded = errors.Wrap(fireflypath.ErrConflict, "another change was committed first")
	// ErrRefused means that the change itself is wrong; its cause says why.
	ErrRefused = errors.New("change is refused")
)

// Commit makes a change. After an error that is ErrUnknown the change may be
// in force; the same id may be committed again or settled without harm. Any
// other error means that nothing was changed.
func (r *Registry) Commit(ctx context.Context, c fireflypath.Change) (fireflypath.Commit, error) {
	if r.store == nil {
		return fireflypath.Commit{ID: c.ID}, ErrNoStore
	}
	if c.ID == "" || len(c.Words) > maxWords {
		return fireflypath.Commit{ID: c.ID}, errors.Wrapf(ErrRefused, "no id, or above %d bytes", maxWords)
	}
	r.count.commits.Inc(1)
	maybe := false
	for try := 0; ; try++ {
		done, err := r.attempt(ctx, c)
		if err == nil || errors.Is(err, ErrSuperseded) || errors.Is(err, ErrRefused) {
			return done, err
		}
		overtaken := errors.Is(err, fireflypath.ErrConflict)
		maybe = maybe || errors.Is(err, fireflypath.ErrUnknown)
		if !maybe && (!overtaken || try >= rebaseTries) {
			return done, err
		}
		// An unknown write is settled by trying again: the attempt begins with
		// a look for the id, and its own swap on the same revision makes the
		// earlier one, should it still be under way, fail.
		serr := r.sleep(ctx, min(settleMax, settleWait<<min(try, 5)))
		if serr == nil && try < settleTries {
			continue
		}
		if maybe {
			r.count.unknown.Inc(1)
			err = errors.Mark(errors.Wrapf(err, "outcome of change %s", c.ID), fireflypath.ErrUnknown)
		}
		return done, err
	}
}

// attempt looks for the id, applies the change to what the store holds and swaps.
func (r *Registry) attempt(ctx context.Context, c fireflypath.Change) (fireflypath.Commit, error) {
	done := fireflypath.Commit{ID: c.ID}
	m, revision, err := r.fresh(ctx)
	if err != nil {
		return done, err
	}
	if l, err := r.lookup(ctx, m, c.ID); err != nil || l != nil {
		return repeated(done, l), err
	}
	if c.Base != 0 && c.Base != m.Generation {
		r.count.conflicts.Inc(1)
		done.Lost = m.winner(c.Base)
		return done, errors.Wrapf(ErrSuperseded, "change %s is in force as generation %d", done.Lost, m.Generation)
	}
	s, err := r.apply(c, m)
	if err != nil {
		return done, err
	}
	if err := r.write(ctx, c, m, s, revision); err != nil {
		return done, err
	}
	r.install(s)
	done.Generation = s.outline.Generation
	return done, nil
}

func repeated(done fireflypath.Commit, l *fireflypath.AuditLine) fireflypath.Commit {
	if l != nil {
		done.Repeated, done.Generation = true, l.To
	}
	return done
}

// fresh reads the manifest and puts it in force here; a store that is behind
// this daemon is restored first.
func (r *Registry) fresh(ctx context.Context) (*manifest, uint64, error) {
	m, revision, err := r.read(ctx)
	if err != nil {
		return nil, 0, err
	}
	if m == nil || m.Generation < r.Generation() {
		if err := r.fill(ctx, m, revision); err != nil {
			return nil, 0, err
		}
		if m, revision, err = r.read(ctx); err != nil {
			return nil, 0, err
		}
		if m == nil {
			return nil, 0, errors.Wrap(fireflypath.ErrConflict, "manifest vanished")
		}
	}
	return m, revision, r.adopt(ctx, m)
}

// fill writes the first manifest, or the one in force if there is one.
func (r *Registry) fill(ctx context.Context, found *manifest, revision uint64) error {
	if r.Generation() > 0 {
		return r.restore(ctx, found, revision)
	}
	return r.seed(ctx)
}

// seed commits the settings' initial configuration to an empty store. The swap
// expects no manifest, so that of several daemons one wins and all agree.
func (r *Registry) seed(ctx context.Context) error {
	first := fireflypath.Config{}
	if r.initial != nil {
		first = *r.initial
	}
	l, chunks, err := encode(&first)
	if err != nil {
		return err
	}
	if err := r.upload(ctx, nil, chunks); err != nil {
		return err
	}
	m := &manifest{outline: outline{Generation: 1, Change: "initial", Lists: l}}
	line := fireflypath.AuditLine{
		ID: "initial", At: r.clock.Now().UTC(), Who: r.name, Words: "initial", To: 1, Result: "done",
	}
	if err := r.appendLine(ctx, m, line); err != nil {
		return err
	}
	return r.swap(ctx, m, 0)
}

// apply makes the next state in memory.
func (r *Registry) apply(c fireflypath.Change, m *manifest) (*state, error) {
	old := r.current.Load()
	if old.outline.Generation != m.Generation {
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
		config:  &cfg,
		outline: outline{Generation: cfg.Generation, Change: c.ID, Lists: l},
		raw:     make(map[digest][]byte, len(chunks)),
	}
	for _, c := range chunks {
		s.raw[c.digest] = c.raw
		if b, ok := old.raw[c.digest]; ok {
			s.raw[c.digest] = b
		}
	}
	return s, nil
}

// write stores the chunks, then the manifest that names them, in this order:
// a crash between the two leaves only chunks that nobody reads.
func (r *Registry) write(ctx context.Context, c fireflypath.Change, m *manifest, s *state, revision uint64) error {
	began := r.clock.Now()
	chunks := make([]chunk, 0, len(s.raw))
	s.outline.Lists.each(func(d digest) { chunks = append(chunks, chunk{d, s.raw[d]}) })
	if err := r.upload(ctx, &m.Lists, chunks); err != nil {
		return unwritten(err)
	}
	next := &manifest{outline: s.outline, Tail: m.Tail, Trail: m.Trail}
	line := fireflypath.AuditLine{
		ID: c.ID, At: began.UTC(), Who: c.Who, Words: c.Words,
		From: m.Generation, To: s.outline.Generation, Result: "done",
	}
	if err := r.appendLine(ctx, next, line); err != nil {
		return unwritten(err)
	}
	if r.clock.Since(began) > uploadGrace {
		return errors.Wrap(fireflypath.ErrConflict, "chunks are too old to be named")
	}
	return r.swap(ctx, next, revision)
}

// unwritten makes the fate of a chunk's write known: whatever became of it, the
// manifest was not swapped.
func unwritten(err error) error {
	if errors.Is(err, fireflypath.ErrUnknown) {
		return errors.Wrapf(fireflypath.ErrUnavailable, "chunk or trail not confirmed: %v", err)
	}
	return err
}

// Settle looks an id up in the trail, or returns ErrNotFound.
func (r *Registry) Settle(ctx context.Context, id string) (fireflypath.Commit, error) {
	done := fireflypath.Commit{ID: id}
	if r.store == nil {
		return done, ErrNoStore
	}
	m, _, err := r.read(ctx)
	if err != nil {
		return done, err
	}
	l, err := r.lookup(ctx, m, id)
	if err != nil {
		return done, err
	}
	if l == nil {
		return done, errors.Wrapf(fireflypath.ErrNotFound, "change %s", id)
	}
	return repeated(done, l), nil
}

// Note appends a line without a change.
func (r *Registry) Note(ctx context.Context, l fireflypath.AuditLine) error {
	if r.store == nil {
		return ErrNoStore
	}
	for try := 0; ; try++ {
		err := r.noteOnce(ctx, l)
		again := errors.Is(err, fireflypath.ErrConflict) || errors.Is(err, fireflypath.ErrUnknown)
		if !again || try >= rebaseTries {
			return err
		}
		if serr := r.sleep(ctx, settleWait); serr != nil {
			return errors.CombineErrors(err, serr)
		}
	}
}

func (r *Registry) noteOnce(ctx context.Context, l fireflypath.AuditLine) error {
	m, revision, err := r.fresh(ctx)
	if err != nil {
		return err
	}
	if found, err := r.lookup(ctx, m, l.ID); err != nil || found != nil {
		return err
	}
	next := *m
	l.From, l.To = m.Generation, m.Generation
	if err := r.appendLine(ctx, &next, l); err != nil {
		return unwritten(err)
	}
	return r.swap(ctx, &next, revision)
}

// sleep waits on the registry's clock.
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
