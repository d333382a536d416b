package eval

import (
	"context"
	"fmt"
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/query"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

func (e *Evaluator) daemons() *table.Table {
	t := newTable(textColumn("name"), textColumn("domain"), textColumn("caller"), textColumn("operator"), numberColumn("generation"), boolColumn("leaving"))
	for _, m := range e.src.Members.Live() {
		generation := m.Generation
		if m.Name == e.src.Name {
			generation = e.src.Configs.Current().Generation
		}
		t.Rows = append(t.Rows, table.Row{
			table.Str(m.Name), table.Str(m.Domain), table.Str(m.CallerAddr), table.Str(m.OperatorAddr),
			table.Num(generation), table.Flag(m.Leaving),
		})
	}
	return t
}

// newRequestTable returns an empty table with the columns of ended and open requests.
func newRequestTable() *table.Table {
	return newTable(
		textColumn("id"), textColumn("team"), textColumn("tier"), textColumn("pool"),
		textColumn("state"), textColumn("reason"), textColumn("target"), timeColumn("arrived"),
		durationColumn("wait"), durationColumn("first"), durationColumn("total"),
		numberColumn("prompt"), numberColumn("output"), numberColumn("tokens"),
		numberColumn("ahead"), numberColumn("resumes"), textColumn("rule"), numberColumn("generation"))
}

// openRequests lists the waiting and running requests, oldest first, with their times up to now.
func (e *Evaluator) openRequests() *table.Table {
	t := newRequestTable()
	var open []fireflypath.Record
	if e.src.OpenRequests != nil {
		open = e.src.OpenRequests(func(*fireflypath.Work) bool { return true })
	}
	slices.SortFunc(open, func(a, b fireflypath.Record) int { return a.Arrived.Compare(b.Arrived) })
	now := e.src.Clock.Now()
	for i := range open {
		open[i].Ended = now
		t.Rows = append(t.Rows, requestRow(&open[i]))
	}
	t.Notes = []string{"waiting or running now at daemon " + e.src.Name}
	return t
}

func (e *Evaluator) requests(q *query.Query) (*table.Table, error) {
	t := newRequestTable()
	// Rows are filtered as they are read: all rows would take several times the memory of the
	// encoded records.
	match, err := e.matcher(q, t)
	if err != nil {
		return nil, err
	}
	kept := 0
	e.src.Recorder.Each(func(r *fireflypath.Record) bool {
		kept++
		if row := requestRow(r); match(row) {
			t.Rows = append(t.Rows, row)
		}
		return true
	})
	t.Notes = []string{fmt.Sprintf("%d ended requests are kept at daemon %s", kept, e.src.Name)}
	return t, nil
}

func requestRow(r *fireflypath.Record) table.Row {
	reason := ""
	if r.Refusal != nil {
		reason = string(r.Refusal.Code)
	}
	left := r.Dispatched
	if left.IsZero() {
		left = r.Ended
	}
	return table.Row{
		table.Str(r.ID), table.Str(r.Team), table.Str(r.Tier), table.Str(r.Pool),
		table.Str(r.State), table.Str(reason), table.Str(r.Target), table.At(r.Arrived),
		table.Between(r.Arrived, left), table.Between(r.Arrived, r.FirstOutput), table.Between(r.Arrived, r.Ended),
		table.Num(r.Cost.Prompt), table.Num(r.Cost.MaxOutput), table.Num(r.Tokens),
		table.Num(r.Ahead), table.Num(r.Resumes), table.Str(r.Rule), table.Num(r.Generation),
	}
}

func (e *Evaluator) changes(ctx context.Context) (*table.Table, error) {
	lines, err := e.src.Committer.Trail(ctx, maxAuditLines)
	if err != nil && len(lines) == 0 {
		return nil, errors.Wrapf(ErrAuditTrail, "%v", err)
	}
	t := newTable(textColumn("id"), timeColumn("at"), textColumn("who"), numberColumn("from"),
		numberColumn("to"), textColumn("result"), textColumn("words"))
	for _, l := range lines {
		t.Rows = append(t.Rows, table.Row{
			table.Str(l.ID), table.At(l.At), table.Str(l.Operator), table.Num(l.From), table.Num(l.To),
			table.Str(l.Result), table.Str(l.Command),
		})
	}
	if len(lines) == maxAuditLines {
		t.Notes = append(t.Notes, fmt.Sprintf("only the newest %d lines were read", maxAuditLines))
	}
	if err != nil {
		t.Notes = append(t.Notes, "the platform's service cannot be read now, later changes may be missing: "+err.Error())
	}
	return t, nil
}
