// Package eval evaluates queries with the state of one daemon.
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

// Errors of an Evaluator besides *syntax.Error and *WrongDaemonError.
var (
	// ErrNoRecord means that this daemon has no record of the request.
	ErrNoRecord = errors.New("no record of the request is kept")
	// ErrAuditTrail means that the audit trail cannot be read.
	ErrAuditTrail = errors.New("the audit trail cannot be read now")
)

// WrongDaemonError is the error for a request that another daemon received.
type WrongDaemonError struct {
	// Daemon is the daemon's name, the prefix of the request's id.
	Daemon string
}

// Error implements error.
func (e *WrongDaemonError) Error() string {
	return "the request was taken by daemon " + e.Daemon
}

// Sources are the sources that an Evaluator reads. All are safe for concurrent use.
type Sources struct {
	// Name is this daemon's name.
	Name      string
	Configs   fireflypath.Configs
	Members   fireflypath.Members
	Recorder  fireflypath.Recorder
	Committer fireflypath.Committer
	// Views and Demands return the state of all pools of this daemon.
	Views   func() []fireflypath.TargetView
	Demands func() []fireflypath.Demand
	// OpenRequests returns the matching requests that are waiting or running. It may be nil.
	OpenRequests func(match func(*fireflypath.Work) bool) []fireflypath.Record
	Clock        clockwork.Clock
}

// Section is a table with a title, which is empty for a single table.
type Section struct {
	Title string       `json:"title,omitempty"`
	Table *table.Table `json:"table"`
}

// Result is the result of a query.
type Result struct {
	// Lines are sentences to show before the tables.
	Lines    []string  `json:"lines,omitempty"`
	Sections []Section `json:"sections,omitempty"`
	// Record is only set for query.KindWhy.
	Record *fireflypath.Record `json:"record,omitempty"`
	// Commit is only set for query.KindSettle.
	Commit *fireflypath.Commit `json:"commit,omitempty"`
	// Daemon is the name of the daemon that evaluated the query.
	Daemon string `json:"daemon"`
}

// Evaluator evaluates queries.
type Evaluator struct {
	src Sources
}

// New returns an Evaluator that reads the sources.
func New(src Sources) *Evaluator {
	return &Evaluator{src: src}
}

// Evaluate evaluates a query. Its errors are *syntax.Error, *WrongDaemonError, ErrNoRecord and
// ErrAuditTrail.
func (e *Evaluator) Evaluate(ctx context.Context, q *query.Query) (*Result, error) {
	res := &Result{Daemon: e.src.Name}
	switch q.Kind {
	case query.KindWhy:
		return res, e.why(q.ID, res)
	case query.KindSettle:
		return res, e.settle(ctx, q.ID, res)
	case query.KindTop:
		e.top(res)
		return res, nil
	}
	t, err := e.readTable(ctx, q)
	if err != nil {
		return nil, err
	}
	if err := e.filter(q, t); err != nil {
		return nil, err
	}
	if t, err = e.transform(q, t); err != nil {
		return nil, err
	}
	res.Sections = []Section{{Table: t}}
	return res, nil
}

func setExplanation(rec *fireflypath.Record, res *Result) {
	explanation := why.Explain(rec)
	res.Record, res.Lines = rec, explanation.Lines
	if explanation.Considered != nil {
		res.Sections = []Section{{Title: "targets, as known at that moment", Table: explanation.Considered}}
	}
}

// findOpen returns the record of a request that has not ended, or nil. The number of requests ahead
// of a waiting one is counted by tier rank and arrival. It is approximate, because fair queueing
// may reorder the teams of a tier.
func (e *Evaluator) findOpen(id string) *fireflypath.Record {
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
	rank := e.tierRank(rec.Tier)
	rec.Ahead = len(e.src.OpenRequests(func(w *fireflypath.Work) bool {
		ahead := w.Rank < rank || w.Rank == rank && w.Arrived.Before(rec.Arrived)
		return w.Pool == rec.Pool && ahead && w.Lifecycle.State() == fireflypath.StateWaiting
	}))
	return rec
}

func (e *Evaluator) tierRank(tier string) int {
	for _, t := range e.src.Configs.Current().Tiers {
		if t.Name == tier {
			return t.Rank
		}
	}
	return 0
}

func (e *Evaluator) why(id string, res *Result) error {
	// Open requests are searched first, so that a request that ends between the two searches is
	// found.
	rec := e.findOpen(id)
	if rec == nil {
		rec = e.src.Recorder.Find(id)
	}
	if rec != nil {
		setExplanation(rec, res)
		return nil
	}
	daemon, _, ok := strings.Cut(id, ".")
	if ok && daemon != e.src.Name {
		return &WrongDaemonError{Daemon: daemon}
	}
	return errors.Wrapf(ErrNoRecord, "request %s: it never came here, came before this daemon's last start, or made room for newer ones; a refusal itself says why", id)
}
