package testkit

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
)

// FakeConfigs implements fireflypath.Configs and fireflypath.Committer in memory. It
// behaves like internal/configuration and can be made to fail.
type FakeConfigs struct {
	// Now returns the timestamps of the audit lines.
	Now func() time.Time
	// ErrAfterCommit is returned by the next Commit after it took effect, as if the
	// store's response was lost.
	ErrAfterCommit atomic.Pointer[error]

	current atomic.Pointer[fireflypath.Config]
	mu      sync.Mutex
	trail   []fireflypath.AuditLine
	changed chan struct{}
	// failure is returned by calls, which then have no effect, once
	// callsUntilFailure has reached 0.
	failure           error
	callsUntilFailure int
}

// NewFakeConfigs returns a FakeConfigs with an initial configuration.
func NewFakeConfigs(cfg *fireflypath.Config, now func() time.Time) *FakeConfigs {
	f := &FakeConfigs{Now: now, changed: make(chan struct{})}
	f.current.Store(cfg)
	return f
}

// Current implements fireflypath.Configs.
func (f *FakeConfigs) Current() *fireflypath.Config {
	return f.current.Load()
}

// Changed implements fireflypath.Configs.
func (f *FakeConfigs) Changed(uint64) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

// FailAfter lets n more calls succeed; each later call returns err and has no effect.
func (f *FakeConfigs) FailAfter(err error, n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failure, f.callsUntilFailure = err, n
}

// StopFailing reverts FailAfter.
func (f *FakeConfigs) StopFailing() {
	f.FailAfter(nil, 0)
}

func (f *FakeConfigs) nextError() error {
	if f.callsUntilFailure > 0 {
		f.callsUntilFailure--
		return nil
	}
	return f.failure
}

// Commit implements fireflypath.Committer.
func (f *FakeConfigs) Commit(_ context.Context, c fireflypath.Change) (fireflypath.Commit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	commit := fireflypath.Commit{ID: c.ID}
	if err := f.nextError(); err != nil {
		return commit, err
	}
	if line := f.findLine(c.ID); line != nil {
		commit.Repeated, commit.Generation = true, line.To
		return commit, nil
	}
	old := f.current.Load()
	if c.Base != 0 && c.Base != old.Generation {
		commit.ConflictingID = f.committedFrom(c.Base)
		return commit, errors.Wrap(fireflypath.ErrConflict, "another change was committed first")
	}
	next, err := c.Apply(old)
	if err != nil {
		return commit, errors.Wrap(err, "change is refused")
	}
	f.trail = append(f.trail, fireflypath.AuditLine{
		ID: c.ID, At: f.Now(), Operator: c.Operator, Command: c.Command,
		From: old.Generation, To: next.Generation, Result: "done",
	})
	f.current.Store(next)
	close(f.changed)
	f.changed = make(chan struct{})
	commit.Generation = next.Generation
	if err := f.ErrAfterCommit.Swap(nil); err != nil {
		return commit, *err
	}
	return commit, nil
}

// FindCommit implements fireflypath.Committer.
func (f *FakeConfigs) FindCommit(_ context.Context, id string) (fireflypath.Commit, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	commit := fireflypath.Commit{ID: id}
	if err := f.nextError(); err != nil {
		return commit, err
	}
	line := f.findLine(id)
	if line == nil {
		return commit, fireflypath.ErrNotFound
	}
	commit.Repeated, commit.Generation = true, line.To
	return commit, nil
}

// Trail implements fireflypath.Committer.
func (f *FakeConfigs) Trail(_ context.Context, n int) ([]fireflypath.AuditLine, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := slices.Clone(f.trail)
	slices.Reverse(out)
	return out[:min(n, len(out))], f.nextError()
}

// AppendAudit implements fireflypath.Committer.
func (f *FakeConfigs) AppendAudit(_ context.Context, line fireflypath.AuditLine) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.nextError(); err != nil {
		return err
	}
	if f.findLine(line.ID) == nil {
		line.From = f.current.Load().Generation
		line.To = line.From
		f.trail = append(f.trail, line)
	}
	return nil
}

func (f *FakeConfigs) findLine(id string) *fireflypath.AuditLine {
	i := slices.IndexFunc(f.trail, func(line fireflypath.AuditLine) bool { return line.ID == id })
	if i < 0 {
		return nil
	}
	return &f.trail[i]
}

func (f *FakeConfigs) committedFrom(base uint64) string {
	for _, line := range f.trail {
		if line.From == base && line.To == base+1 {
			return line.ID
		}
	}
	return ""
}
