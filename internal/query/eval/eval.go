// Package eval answers queries from what one daemon knows.
package eval

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/query"
	"github.com/fireflypath/fireflypath/internal/query/table"
	"github.com/fireflypath/fireflypath/internal/query/why"
)

// Errors of an Evaluator, apart from *syntax.Error.
var (
	// ErrNoRecord means that no record of the request is held here.
	ErrNoRecord = errors.New("no record of the request is kept")
	// ErrAuditTrail means that the audit trail could not be read.
	ErrAuditTrail = errors.New("the audit trail cannot be read now")
)

// WrongDaemonError is the error for a request that another daemon took.
type WrongDaemonError struct {
	// Daemon is the name at the beginning of the request's id.
	Daemon string
}

// Error names the daemon.
func (e *WrongDaemonError) Error() string {
	return "the request was taken by daemon " + e.Daemon
}

// Sources are what an Evaluator reads; all are safe for concurrent use.
type Sources struct {
	// Name is this daemon's.
	Name      string
	Configs   fireflypath.Configs
	Members   fireflypath.Members
	Recorder  fireflypath.Recorder
	Committer fireflypath.Committer
	// Views and Demands read all pools of this daemon.
	Views   func() []fireflypath.TargetView
	Demands func() []fireflypath.Demand
	// OpenRequests reads the requests that wait or run now and that match; nil has none.
	OpenRequests func(match func(*fireflypath.Work) bool) []fireflypath.Record
	Clock        clockwork.Clock
}

// Section is a table with its title, empty if it stands alone.
type Section struct {
	Title string       `json:"title,omitempty"`
	Table *table.Table `json:"table"`
}

// Result is what a query gives.
type Result struct {
	// Lines are sentences, before the tables.
	Lines    []string  `json:"lines,omitempty"`
	Sections []Section `json:"sections,omitempty"`
	// Record is set for "why".
	Record *fireflypath.Record `json:"record,omitempty"`
	// Commit is set for "settle".
	Commit *fireflypath.Commit `json:"commit,omitempty"`
	// Daemon is whose knowledge this is.
	Daemon string `json:"daemon"`
}

// Evaluator answers queries.
type Evaluator struct {
	src Sources
}

// New returns the evaluator of the sources.
func New(src Sources) *Evaluator {
	return &Evaluator{src: src}
}

// Evaluate answers a query. Its errors are *syntax.Error, *Elsewhere, ErrNoRecord,
// ErrAuditTrail and those of Committer.Settle.
func (e *Evaluator) Evaluate(ctx context.Context, q *query.Query) (*Result, error) {
	a := &Result{Daemon: e.src.Name}
	switch q.Kind {
	case query.KindWhy:
		return a, e.why(q.ID, a)
	case query.KindSettle:
		return a, e.settle(ctx, q.ID, a)
	case query.KindTop:
		e.top(a)
		return a, nil
	}
	t, err := e.table(ctx, q)
	if err != nil {
		return nil, err
	}
	if err := e.filter(q, t); err != nil {
		return nil, err
	}
	if t, err = e.shape(q, t); err != nil {
		return nil, err
	}
	a.Sections = []Section{{Table: t}}
	return a, nil
}

func explain(rec *fireflypath.Record, a *Result) {
	s := why.Explain(rec)
	a.Record, a.Lines = rec, s.Lines
	if s.Considered != nil {
		a.Sections = []Section{{Title: "targets, as known at that moment", Table: s.Considered}}
	}
}

// open finds a request that has not ended, or returns nil. What stands before a
// waiting one is counted by tier and arrival; among the teams of its tier the
// fair order may differ.
func (e *Evaluator) open(id string) *fireflypath.Record {
	if e.src.OpenRequests == nil {
		return nil
	}
	found := e.src.OpenRequests(func(w *fireflypath.Work) bool { return w.ID == id })
	if len(found) == 0 {
		return nil
	}
	rec := &found[0]
	if rec.State != fireflypath.StateWaiting.String() {
		return rec
	}
	rank := e.rank(rec.Tier)
	rec.Ahead = len(e.src.OpenRequests(func(w *fireflypath.Work) bool {
		before := w.Rank < rank || w.Rank == rank && w.Arrived.Before(rec.Arrived)
		return w.Pool == rec.Pool && before && w.Lifecycle.State() == fireflypath.StateWaiting
	}))
	return rec
}

func (e *Evaluator) rank(tier string) int {
	for _, t := range e.src.Configs.Current().Tiers {
		if t.Name == tier {
			return t.Rank
		}
	}
	return 0
}

func (e *Evaluator) why(id string, a *Result) error {
	// Open ones first: a request that ends between the two looks is then found.
	rec := e.open(id)
	if rec == nil {
		rec = e.src.Recorder.Find(id)
	}
	if rec != nil {
		explain(rec, a)
		return nil
	}
	daemon, _, ok := strings.Cut(id, ".")
	if ok && daemon != e.src.Name {
		return &WrongDaemonError{Daemon: daemon}
	}
	return errors.Wrapf(ErrNoRecord, "request %s: it never came here, came before this daemon's last start, or made room for newer ones; a refusal itself says why", id)
}
