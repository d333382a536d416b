package eval

import (
	"fmt"
	"math"
	"slices"

	"github.com/fireflypath/fireflypath/internal/query"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

// defaultLimit bounds a list without a limit: more rows are not read by people,
// and a list of 29,000 teams is some megabytes.
const defaultLimit = 1000

func (e *Evaluator) filter(q *query.Query, t *table.Table) error {
	match, err := e.matcher(q, t)
	if err != nil {
		return err
	}
	t.Rows = slices.DeleteFunc(t.Rows, func(r table.Row) bool { return !match(r) })
	return nil
}

// matcher turns the query's conditions into a test of the table's rows.
func (e *Evaluator) matcher(q *query.Query, t *table.Table) (func(table.Row) bool, error) {
	var or []conjunction
	for _, conditions := range q.Where {
		all, err := e.compile(q, t, conditions)
		if err != nil {
			return nil, err
		}
		or = append(or, all)
	}
	return func(r table.Row) bool {
		return len(or) == 0 || slices.ContainsFunc(or, func(all conjunction) bool { return all.match(r) })
	}, nil
}

// test is a condition bound to a column of a table.
type test struct {
	column  int
	kind    table.Kind
	op      string
	literal table.Cell
}

type conjunction []test

func (c conjunction) match(r table.Row) bool {
	for _, t := range c {
		if !table.Matches(t.kind, r[t.column], t.op, t.literal) {
			return false
		}
	}
	return true
}

func (e *Evaluator) compile(q *query.Query, t *table.Table, conditions []query.Condition) (conjunction, error) {
	var out conjunction
	for _, c := range conditions {
		i, err := find(q, t, c.Column)
		if err != nil {
			return nil, err
		}
		kind := t.Columns[i].Kind
		literal, ok := table.ParseLiteral(kind, c.Value, e.src.Clock.Now())
		if !ok {
			return nil, q.TypeMismatch(c, table.LiteralExample(kind))
		}
		out = append(out, test{column: i, kind: kind, op: c.Op, literal: literal})
	}
	return out, nil
}

func find(q *query.Query, t *table.Table, c query.Column) (int, error) {
	if i := t.Index(c.Name); i >= 0 {
		return i, nil
	}
	var have []string
	for _, column := range t.Columns {
		have = append(have, column.Name)
	}
	return 0, q.UnknownColumn(c, have)
}

// shape orders, limits, counts or measures the rows left.
func (e *Evaluator) shape(q *query.Query, t *table.Table) (*table.Table, error) {
	switch q.Kind {
	case query.KindCount:
		return group(q, t, counted)
	case query.KindPercentile:
		return group(q, t, counted, measured(q, t))
	default:
		return t, list(q, t)
	}
}

// aggregate is a column made of a group of rows.
type aggregate struct {
	column table.Column
	of     func([]table.Row) table.Cell
}

// counted is the number of rows.
var counted = aggregate{
	column: number("count"),
	of:     func(rows []table.Row) table.Cell { return table.Num(len(rows)) },
}

// measured is the query's percentile of the column that it names.
func measured(q *query.Query, t *table.Table) aggregate {
	i := t.Index(q.Measured)
	return aggregate{
		column: table.Column{Name: fmt.Sprintf("p%d", q.Percentile), Kind: t.Columns[i].Kind},
		of:     func(rows []table.Row) table.Cell { return percentile(rows, i, q.Percentile) },
	}
}

func list(q *query.Query, t *table.Table) error {
	if q.OrderBy.Name != "" {
		i, err := find(q, t, q.OrderBy)
		if err != nil {
			return err
		}
		kind := t.Columns[i].Kind
		slices.SortStableFunc(t.Rows, func(a, b table.Row) int {
			if q.Descending {
				a, b = b, a
			}
			return table.Compare(kind, a[i], b[i])
		})
	}
	limit := q.Limit
	if limit == 0 {
		limit = defaultLimit
	}
	if len(t.Rows) > limit {
		t.Notes = append(t.Notes, fmt.Sprintf("%d of %d rows", limit, len(t.Rows)))
		t.Rows = t.Rows[:limit]
	}
	return nil
}

// percentile is the nearest-rank percentile of the rows that have a value.
func percentile(rows []table.Row, column, p int) table.Cell {
	var values []float64
	for _, r := range rows {
		if !r[column].Empty {
			values = append(values, r[column].Number)
		}
	}
	if len(values) == 0 {
		return table.Cell{Empty: true}
	}
	slices.Sort(values)
	rank := int(math.Ceil(float64(p) / 100 * float64(len(values))))
	return table.Num(values[max(rank, 1)-1])
}

// group gives one row for each value of the query's column, or one for all rows
// if it names none.
func group(q *query.Query, t *table.Table, aggregates ...aggregate) (*table.Table, error) {
	out := &table.Table{Notes: t.Notes}
	by := -1
	if q.GroupBy.Name != "" {
		i, err := find(q, t, q.GroupBy)
		if err != nil {
			return nil, err
		}
		by = i
		out.Columns = append(out.Columns, t.Columns[by])
	}
	for _, a := range aggregates {
		out.Columns = append(out.Columns, a.column)
	}
	for _, rows := range split(t, by) {
		var row table.Row
		if by >= 0 {
			row = append(row, rows[0][by])
		}
		for _, a := range aggregates {
			row = append(row, a.of(rows))
		}
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}

// split sorts the rows by a column and cuts them where its value changes. A
// negative column gives all rows as one group, also if there are none.
func split(t *table.Table, by int) [][]table.Row {
	if by < 0 {
		return [][]table.Row{t.Rows}
	}
	kind := t.Columns[by].Kind
	slices.SortStableFunc(t.Rows, func(a, b table.Row) int { return table.Compare(kind, a[by], b[by]) })
	var out [][]table.Row
	for from := 0; from < len(t.Rows); {
		to := from
		for to < len(t.Rows) && table.Compare(kind, t.Rows[from][by], t.Rows[to][by]) == 0 {
			to++
		}
		out = append(out, t.Rows[from:to])
		from = to
	}
	return out
}
