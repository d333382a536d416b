// Package testkit holds helpers that several packages' tests share.
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

// Ledger is a fireflypath.Configs and Committer in memory, with the meaning of
// internal/configuration's and with faults.
type Ledger struct {
	// Now stamps the trail.
	Now func() time.Time
	// After is returned once by a Commit that took effect, like a lost answer.
	After atomic.Pointer[error]

	current atomic.Pointer[fireflypath.Config]
	mu      sync.Mutex
	lines   []fireflypath.AuditLine
	changed chan struct{}
	// down is returned by calls without an effect, once left has reached 0.
	down error
	left int
}

// NewLedger starts with a configuration.
func NewLedger(cfg *fireflypath.Config, now func() time.Time) *Ledger {
	l := &Ledger{Now: now, changed: make(chan struct{})}
	l.current.Store(cfg)
	return l
}

// Current implements fireflypath.Configs.
func (l *Ledger) Current() *fireflypath.Config {
	return l.current.Load()
}

// Changed implements fireflypath.Configs.
func (l *Ledger) Changed(uint64) <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// Down lets n more calls of the service pass, then each fails without an effect.
func (l *Ledger) Down(err error, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down, l.left = err, n
}

// Up ends Down.
func (l *Ledger) Up() {
	l.Down(nil, 0)
}

func (l *Ledger) fault() error {
	if l.left > 0 {
		l.left--
		return nil
	}
	return l.down
}

// Commit implements fireflypath.Committer.
func (l *Ledger) Commit(_ context.Context, c fireflypath.Change) (fireflypath.Commit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := fireflypath.Commit{ID: c.ID}
	if err := l.fault(); err != nil {
		return done, err
	}
	if line := l.find(c.ID); line != nil {
		done.Repeated, done.Generation = true, line.To
		return done, nil
	}
	old := l.current.Load()
	if c.Base != 0 && c.Base != old.Generation {
		done.ConflictingID = l.winner(c.Base)
		return done, errors.Wrap(fireflypath.ErrConflict, "another change was committed first")
	}
	next, err := c.Apply(old)
	if err != nil {
		return done, errors.Wrap(err, "change is refused")
	}
	l.lines = append(l.lines, fireflypath.AuditLine{
		ID: c.ID, At: l.Now(), Operator: c.Operator, Command: c.Command,
		From: old.Generation, To: next.Generation, Result: "done",
	})
	l.current.Store(next)
	close(l.changed)
	l.changed = make(chan struct{})
	done.Generation = next.Generation
	if err := l.After.Swap(nil); err != nil {
		return done, *err
	}
	return done, nil
}

// FindCommit implements fireflypath.Committer.
func (l *Ledger) FindCommit(_ context.Context, id string) (fireflypath.Commit, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := fireflypath.Commit{ID: id}
	if err := l.fault(); err != nil {
		return done, err
	}
	line := l.find(id)
	if line == nil {
		return done, fireflypath.ErrNotFound
	}
	done.Repeated, done.Generation = true, line.To
	return done, nil
}

// Trail implements fireflypath.Committer.
func (l *Ledger) Trail(_ context.Context, n int) ([]fireflypath.AuditLine, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.lines)
	slices.Reverse(out)
	return out[:min(n, len(out))], l.fault()
}

// AppendAudit implements fireflypath.Committer.
func (l *Ledger) AppendAudit(_ context.Context, line fireflypath.AuditLine) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.fault(); err != nil {
		return err
	}
	if l.find(line.ID) == nil {
		line.From = l.current.Load().Generation
		line.To = line.From
		l.lines = append(l.lines, line)
	}
	return nil
}

func (l *Ledger) find(id string) *fireflypath.AuditLine {
	i := slices.IndexFunc(l.lines, func(line fireflypath.AuditLine) bool { return line.ID == id })
	if i < 0 {
		return nil
	}
	return &l.lines[i]
}

func (l *Ledger) winner(base uint64) string {
	for _, line := range l.lines {
		if line.From == base && line.To == base+1 {
			return line.ID
		}
	}
	return ""
}
