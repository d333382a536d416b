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
	l := &FakeConfigs{Now: now, changed: make(chan struct{})}
	l.current.Store(cfg)
	return l
}

// Current implements fireflypath.Configs.
func (l *FakeConfigs) Current() *fireflypath.Config {
	return l.current.Load()
}

// Changed implements fireflypath.Configs.
func (l *FakeConfigs) Changed(uint64) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// FailAfter lets n more calls succeed; each later call returns err and has no effect.
func (l *FakeConfigs) FailAfter(err error, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failure, l.callsUntilFailure = err, n
}

// StopFailing reverts FailAfter.
func (l *FakeConfigs) StopFailing() {
	l.FailAfter(nil, 0)
}

func (l *FakeConfigs) nextError() error {
	if l.callsUntilFailure > 0 {
		l.callsUntilFailure--
		return nil
	}
	return l.failure
}

// Commit implements fireflypath.Committer.
func (l *FakeConfigs) Commit(_ context.Context, c fireflypath.Change) (fireflypath.Commit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	commit := fireflypath.Commit{ID: c.ID}
	if err := l.nextError(); err != nil {
		return commit, err
	}
	if line := l.findLine(c.ID); line != nil {
		commit.Repeated, commit.Generation = true, line.To
		return commit, nil
	}
	old := l.current.Load()
	if c.Base != 0 && c.Base != old.Generation {
		commit.ConflictingID = l.committedFrom(c.Base)
		return commit, errors.Wrap(fireflypath.ErrConflict, "another change was committed first")
	}
	next, err := c.Apply(old)
	if err != nil {
		return commit, errors.Wrap(err, "change is refused")
	}
	l.trail = append(l.trail, fireflypath.AuditLine{
		ID: c.ID, At: l.Now(), Operator: c.Operator, Command: c.Command,
		From: old.Generation, To: next.Generation, Result: "done",
	})
	l.current.Store(next)
	close(l.changed)
	l.changed = make(chan struct{})
	commit.Generation = next.Generation
	if err := l.ErrAfterCommit.Swap(nil); err != nil {
		return commit, *err
	}
	return commit, nil
}

// FindCommit implements fireflypath.Committer.
func (l *FakeConfigs) FindCommit(_ context.Context, id string) (fireflypath.Commit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	commit := fireflypath.Commit{ID: id}
	if err := l.nextError(); err != nil {
		return commit, err
	}
	line := l.findLine(id)
	if line == nil {
		return commit, fireflypath.ErrNotFound
	}
	commit.Repeated, commit.Generation = true, line.To
	return commit, nil
}

// Trail implements fireflypath.Committer.
func (l *FakeConfigs) Trail(_ context.Context, n int) ([]fireflypath.AuditLine, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.trail)
	slices.Reverse(out)
	return out[:min(n, len(out))], l.nextError()
}

// AppendAudit implements fireflypath.Committer.
func (l *FakeConfigs) AppendAudit(_ context.Context, line fireflypath.AuditLine) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.nextError(); err != nil {
		return err
	}
	if l.findLine(line.ID) == nil {
		line.From = l.current.Load().Generation
		line.To = line.From
		l.trail = append(l.trail, line)
	}
	return nil
}

func (l *FakeConfigs) findLine(id string) *fireflypath.AuditLine {
	i := slices.IndexFunc(l.trail, func(line fireflypath.AuditLine) bool { return line.ID == id })
	if i < 0 {
		return nil
	}
	return &l.trail[i]
}

func (l *FakeConfigs) committedFrom(base uint64) string {
	for _, line := range l.trail {
		if line.From == base && line.To == base+1 {
			return line.ID
		}
	}
	return ""
}
