package eval

import (
	"fmt"
	"math"
	"slices"

	"github.com/fireflypath/fireflypath/internal/query"
	"github.com/fireflypath/fireflypath/internal/query/table"
)

// defaultRowLimit is the limit of lists that give none: people do not read more rows, and a list of
// 29,000 teams is several megabytes.
const defaultRowLimit = 1000

func (e *Evaluator) filter(q *query.Query, t *table.Table) error {
	match, err := e.matcher(q, t)
	if err != nil {
		return err
	}
	t.Rows = slices.DeleteFunc(t.Rows, func(r table.Row) bool { return !match(r) })
	return nil
}

// matcher compiles the query's conditions to a predicate on the table's rows.
func (e *Evaluator) matcher(q *query.Query, t *table.Table) (func(table.Row) bool, error) {
	var alternatives []conjunction
	for _, conditions := range q.Where {
		all, err := e.compileConjunction(q, t, conditions)
		if err != nil {
			return nil, err
		}
		alternatives = append(alternatives, all)
	}
	return func(r table.Row) bool {
		return len(alternatives) == 0 || slices.ContainsFunc(alternatives, func(all conjunction) bool { return all.match(r) })
	}, nil
}

// predicate is a condition on a column, resolved to the column's index and kind.
type predicate struct {
	column  int
	kind    table.Kind
	op      string
	literal table.Cell
}

type conjunction []predicate

func (c conjunction) match(r table.Row) bool {
	for _, p := range c {
		if !table.Matches(p.kind, r[p.column], p.op, p.literal) {
			return false
		}
	}
	return true
}

func (e *Evaluator) compileConjunction(q *query.Query, t *table.Table, conditions []query.Condition) (conjunction, error) {
	var out conjunction
	for _, c := range conditions {
		i, err := columnIndex(q, t, c.Column)
		if err != nil {
			return nil, err
		}
		kind := t.Columns[i].Kind
		literal, ok := table.ParseLiteral(kind, c.Value, e.src.Clock.Now())
		if !ok {
			return nil, q.TypeMismatch(c, table.LiteralExample(kind))
		}
		out = append(out, predicate{column: i, kind: kind, op: c.Op, literal: literal})
	}
	return out, nil
}

func columnIndex(q *query.Query, t *table.Table, c query.Column) (int, error) {
	if i := t.Index(c.Name); i >= 0 {
		return i, nil
	}
	var available []string
	for _, column := range t.Columns {
		available = append(available, column.Name)
	}
	return 0, q.UnknownColumn(c, available)
}

// transform sorts and limits the filtered rows, or aggregates them.
func (e *Evaluator) transform(q *query.Query, t *table.Table) (*table.Table, error) {
	switch q.Kind {
	case query.KindCount:
		return groupBy(q, t, rowCount)
	case query.KindPercentile:
		return groupBy(q, t, rowCount, percentileOf(q, t))
	default:
		return t, sortAndLimit(q, t)
	}
}

// aggregate is a column whose cells are computed from groups of rows.
type aggregate struct {
	column  table.Column
	compute func([]table.Row) table.Cell
}

// rowCount counts the rows.
var rowCount = aggregate{
	column:  numberColumn("count"),
	compute: func(rows []table.Row) table.Cell { return table.Num(len(rows)) },
}

// percentileOf computes the query's percentile of its value column.
func percentileOf(q *query.Query, t *table.Table) aggregate {
	i := t.Index(q.Measured)
	return aggregate{
		column:  table.Column{Name: fmt.Sprintf("p%d", q.Percentile), Kind: t.Columns[i].Kind},
		compute: func(rows []table.Row) table.Cell { return percentile(rows, i, q.Percentile) },
	}
}

func sortAndLimit(q *query.Query, t *table.Table) error {
	if q.OrderBy.Name != "" {
		i, err := columnIndex(q, t, q.OrderBy)
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
		limit = defaultRowLimit
	}
	if len(t.Rows) > limit {
		t.Notes = append(t.Notes, fmt.Sprintf("%d of %d rows", limit, len(t.Rows)))
		t.Rows = t.Rows[:limit]
	}
	return nil
}

// percentile computes the nearest-rank percentile of the non-empty cells.
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

// groupBy returns one row per value of the query's GroupBy column, or one row in total if there is
// no such column.
func groupBy(q *query.Query, t *table.Table, aggregates ...aggregate) (*table.Table, error) {
	out := &table.Table{Notes: t.Notes}
	by := -1
	if q.GroupBy.Name != "" {
		i, err := columnIndex(q, t, q.GroupBy)
		if err != nil {
			return nil, err
		}
		by = i
		out.Columns = append(out.Columns, t.Columns[by])
	}
	for _, a := range aggregates {
		out.Columns = append(out.Columns, a.column)
	}
	for _, rows := range groupRows(t, by) {
		var row table.Row
		if by >= 0 {
			row = append(row, rows[0][by])
		}
		for _, a := range aggregates {
			row = append(row, a.compute(rows))
		}
		out.Rows = append(out.Rows, row)
	}
	return out, nil
}

// groupRows sorts the rows by a column and splits them where its value changes. If the column is
// negative, all rows form one group, even if there are none.
func groupRows(t *table.Table, by int) [][]table.Row {
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
