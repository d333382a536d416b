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
		if !table.Match(t.kind, r[t.column], t.op, t.literal) {
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
		literal, ok := table.Literal(kind, c.Value, e.src.Clock.Now())
		if !ok {
			return nil, q.Mismatch(c, table.Example(kind))
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
	return 0, q.Unknown(c, have)
}

// shape orders, limits, counts or measures the rows left.
func (e *Evaluator) shape(q *query.Query, t *table.Table) (*table.Table, error) {
	switch q.Kind {
	case query.KindCount:
		return group(q, t, table.Column{Name: "count", Kind: table.Number}, func(rows []table.Row) table.Cell {
			return table.Num(len(rows))
		})
	case query.KindMeasure:
		return measure(q, t)
	default:
		return t, list(q, t)
	}
}

func list(q *query.Query, t *table.Table) error {
	if q.Order.Name != "" {
		i, err := find(q, t, q.Order)
		if err != nil {
			return err
		}
		kind := t.Columns[i].Kind
		slices.SortStableFunc(t.Rows, func(a, b table.Row) int {
			if q.Down {
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

func measure(q *query.Query, t *table.Table) (*table.Table, error) {
	i := t.Index(q.Of)
	name := fmt.Sprintf("p%d", q.Percentile)
	out, err := group(q, t, table.Column{Name: name, Kind: t.Columns[i].Kind}, func(rows []table.Row) table.Cell {
		return percentile(rows, i, q.Percentile)
	})
	return out, err
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

// group gives one row for each value of the query's column, with the number of
// rows and what sum makes of them.
func group(q *query.Query, t *table.Table, column table.Column, sum func([]table.Row) table.Cell) (*table.Table, error) {
	out := &table.Table{Notes: t.Notes}
	counted := column.Name != "count"
	if q.By.Name == "" {
		out.Columns, out.Rows = sums(nil, column, counted), []table.Row{summed(nil, t.Rows, sum, counted)}
		return out, nil
	}
	i, err := find(q, t, q.By)
	if err != nil {
		return nil, err
	}
	kind := t.Columns[i].Kind
	out.Columns = sums([]table.Column{t.Columns[i]}, column, counted)
	slices.SortStableFunc(t.Rows, func(a, b table.Row) int { return table.Compare(kind, a[i], b[i]) })
	for from := 0; from < len(t.Rows); {
		to := from
		for to < len(t.Rows) && table.Compare(kind, t.Rows[from][i], t.Rows[to][i]) == 0 {
			to++
		}
		out.Rows = append(out.Rows, summed(table.Row{t.Rows[from][i]}, t.Rows[from:to], sum, counted))
		from = to
	}
	return out, nil
}

func sums(by []table.Column, column table.Column, counted bool) []table.Column {
	if counted {
		by = append(by, table.Column{Name: "count", Kind: table.Number})
	}
	return append(by, column)
}

func summed(row table.Row, rows []table.Row, sum func([]table.Row) table.Cell, counted bool) table.Row {
	if counted {
		row = append(row, table.Num(len(rows)))
	}
	return append(row, sum(rows))
}
