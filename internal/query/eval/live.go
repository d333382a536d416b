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
	t := columns(text("name"), text("domain"), text("caller"), text("operator"), number("generation"), flag("leaving"))
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

// requestColumns are those of ended and of open requests.
func requestColumns() *table.Table {
	return columns(text("id"), text("team"), text("tier"), text("pool"), text("state"), text("reason"),
		text("target"), moment("arrived"), duration("wait"), duration("first"), duration("total"),
		number("prompt"), number("output"), number("tokens"), number("ahead"), number("resumes"),
		text("rule"), number("generation"))
}

// openNow lists the requests that wait or run, oldest first; their times go on.
func (e *Evaluator) openNow() *table.Table {
	t := requestColumns()
	var open []fireflypath.Record
	if e.src.OpenRequests != nil {
		open = e.src.OpenRequests(func(*fireflypath.Work) bool { return true })
	}
	slices.SortFunc(open, func(a, b fireflypath.Record) int { return a.Arrived.Compare(b.Arrived) })
	now := e.src.Clock.Now()
	for i := range open {
		open[i].Ended = now
		t.Rows = append(t.Rows, request(&open[i]))
	}
	t.Notes = []string{"waiting or running now at daemon " + e.src.Name}
	return t
}

func (e *Evaluator) requests(q *query.Query) (*table.Table, error) {
	t := requestColumns()
	// Rows are filtered as they are read: all of them at once would be several
	// times the memory of the records themselves.
	match, err := e.matcher(q, t)
	if err != nil {
		return nil, err
	}
	kept := 0
	e.src.Recorder.Each(func(r *fireflypath.Record) bool {
		kept++
		if row := request(r); match(row) {
			t.Rows = append(t.Rows, row)
		}
		return true
	})
	t.Notes = []string{fmt.Sprintf("%d ended requests are kept at daemon %s", kept, e.src.Name)}
	return t, nil
}

func request(r *fireflypath.Record) table.Row {
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
	lines, err := e.src.Committer.Trail(ctx, trailLines)
	if err != nil && len(lines) == 0 {
		return nil, errors.Wrapf(ErrAuditTrail, "%v", err)
	}
	t := columns(text("id"), moment("at"), text("who"), number("from"), number("to"), text("result"), text("words"))
	for _, l := range lines {
		t.Rows = append(t.Rows, table.Row{
			table.Str(l.ID), table.At(l.At), table.Str(l.Operator), table.Num(l.From), table.Num(l.To),
			table.Str(l.Result), table.Str(l.Command),
		})
	}
	if len(lines) == trailLines {
		t.Notes = append(t.Notes, fmt.Sprintf("only the newest %d lines were read", trailLines))
	}
	if err != nil {
		t.Notes = append(t.Notes, "the platform's service cannot be read now, later changes may be missing: "+err.Error())
	}
	return t, nil
}
