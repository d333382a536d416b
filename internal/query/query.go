package query

import (
	"strconv"

	"github.com/fireflypath/fireflypath/internal/syntax"
)

// Kind is the kind of a query.
type Kind int

// The kinds of queries.
const (
	// KindList lists the rows of a table.
	KindList Kind = iota
	// KindCount counts rows, optionally grouped by a column.
	KindCount
	// KindPercentile computes a percentile, optionally grouped by a column.
	KindPercentile
	// KindWhy explains how one request was handled.
	KindWhy
	// KindSettle reports the outcome of a command.
	KindSettle
	// KindTop gives an overview of the current state.
	KindTop
)

// Query is a parsed query. Fields that its kind does not use are zero.
type Query struct {
	Kind Kind
	// Table is the name of the table that is read.
	Table string
	// ID is the id of the request for KindWhy, or of the command for KindSettle.
	ID string
	// Where is a disjunction of conjunctions; empty means all rows.
	Where [][]Condition
	// GroupBy is the column to group by. If it is empty, all rows are one group.
	GroupBy Column
	// Measured is the column whose percentile is computed, Percentile is between 0 and 100.
	Measured   string
	Percentile int
	// OrderBy is the column to sort by. If it is empty, the table's own order is kept.
	OrderBy    Column
	Descending bool
	// Limit is the maximum number of rows; 0 means that the query gives none.
	Limit int
	text  string
}

// Column is a column's name with its position, for errors.
type Column struct {
	Name string
	word syntax.Word
}

// Condition compares a column with a value.
type Condition struct {
	Column Column
	Op     string
	Value  string
	word   syntax.Word
}

// Parse parses a query. Its error is a *syntax.Error.
func Parse(text string) (*Query, error) {
	g, err := language.Parse(text)
	if err != nil {
		return nil, err
	}
	q := &Query{text: text}
	switch {
	case g.Why != nil:
		q.Kind, q.ID = KindWhy, g.Why.Text
	case g.Settle != nil:
		q.Kind, q.ID = KindSettle, g.Settle.Text
	case g.Top:
		q.Kind = KindTop
	case g.Count != nil:
		q.Kind, q.Table, q.GroupBy = KindCount, g.Count.Table, newColumn(g.Count.By)
		q.Where = conditions(g.Count.Where)
	case g.Percentile != nil:
		q.setPercentile(g.Percentile)
	default:
		err = q.setList(g.List)
	}
	if err != nil {
		return nil, err
	}
	return q, nil
}

// Complete returns the keywords that may follow an incomplete query.
func Complete(text string) []string {
	return language.Complete(text)
}

func (q *Query) setPercentile(m *percentileQuery) {
	q.Kind, q.Table, q.GroupBy = KindPercentile, "requests", newColumn(m.By)
	q.Where = conditions(m.Where)
	q.Measured = m.Column
	if q.Measured == "" {
		q.Measured = "total"
	}
	// The grammar only accepts p and two digits.
	q.Percentile, _ = strconv.Atoi(m.Percentile[1:])
}

func (q *Query) setList(l *listQuery) error {
	q.Kind, q.Table = KindList, l.Table
	q.Where = conditions(l.Where)
	if l.Order != nil {
		q.OrderBy, q.Descending = newColumn(&l.Order.Column), l.Order.Descending
	}
	if l.Limit == nil {
		return nil
	}
	n, err := strconv.Atoi(l.Limit.Text)
	if err != nil || n <= 0 {
		return syntax.NewError(q.text, l.Limit.Pos, "expected a whole number above 0")
	}
	q.Limit = n
	return nil
}

// UnknownColumn returns the error for a column that the table does not have.
func (q *Query) UnknownColumn(c Column, available []string) error {
	e := syntax.NewError(q.text, c.word.Pos, "")
	e.Found, e.Expected = c.Name, available
	return e
}

// TypeMismatch returns the error for a value that the column cannot be compared with.
func (q *Query) TypeMismatch(c Condition, expected string) error {
	return syntax.NewError(q.text, c.word.Pos, "expected "+expected)
}

func newColumn(w *syntax.Word) Column {
	if w == nil {
		return Column{}
	}
	return Column{Name: w.Text, word: *w}
}

func conditions(d *disjunction) [][]Condition {
	if d == nil {
		return nil
	}
	var out [][]Condition
	for _, group := range d.Or {
		var all []Condition
		for _, c := range group.And {
			all = append(all, Condition{Column: newColumn(&c.Column), Op: c.Op, Value: c.Value.Text, word: c.Value})
		}
		out = append(out, all)
	}
	return out
}
