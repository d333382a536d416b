package query

import (
	"strconv"

	"github.com/fireflypath/fireflypath/internal/syntax"
)

// Kind is what a query asks for.
type Kind int

// The kinds of queries.
const (
	// KindList lists rows.
	KindList Kind = iota
	// KindCount counts rows by a column.
	KindCount
	// KindPercentile gives a percentile by a column.
	KindPercentile
	// KindWhy explains one request.
	KindWhy
	// KindSettle tells the fate of a command.
	KindSettle
	// KindTop is the living view.
	KindTop
)

// Query is a parsed query. Fields not named by the kind's use are zero.
type Query struct {
	Kind Kind
	// Table is the list asked for.
	Table string
	// ID is the request or command, for KindWhy and KindSettle.
	ID string
	// Where is a disjunction of conjunctions; empty means all rows.
	Where [][]Condition
	// GroupBy is the column to group by, empty for one group.
	GroupBy Column
	// Measured is the column measured, and Percentile between 0 and 100.
	Measured   string
	Percentile int
	// OrderBy is the column to sort by, empty for the list's own order.
	OrderBy    Column
	Descending bool
	// Limit bounds the rows; 0 means no bound.
	Limit int
	text  string
}

// Column is a column's name with its place, for errors.
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

// Parse reads a query. Its error is a *syntax.Error.
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
		q.Kind, q.Table, q.GroupBy = KindCount, g.Count.Noun, column(g.Count.By)
		q.Where = where(g.Count.Where)
	case g.Measure != nil:
		q.measure(g.Measure)
	default:
		err = q.list(g.List)
	}
	if err != nil {
		return nil, err
	}
	return q, nil
}

// Complete lists the keywords that may follow an unfinished text.
func Complete(text string) []string {
	return language.Complete(text)
}

func (q *Query) measure(m *measure) {
	q.Kind, q.Table, q.GroupBy = KindPercentile, "requests", column(m.By)
	q.Where = where(m.Where)
	q.Measured = m.Of
	if q.Measured == "" {
		q.Measured = "total"
	}
	// The grammar takes p and two digits only.
	q.Percentile, _ = strconv.Atoi(m.Percentile[1:])
}

func (q *Query) list(l *list) error {
	q.Kind, q.Table = KindList, l.Noun
	q.Where = where(l.Where)
	if l.Order != nil {
		q.OrderBy, q.Descending = column(&l.Order.Column), l.Order.Down
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

// UnknownColumn is the error for a column that the list does not have.
func (q *Query) UnknownColumn(c Column, have []string) error {
	e := syntax.NewError(q.text, c.word.Pos, "")
	e.Found, e.Expected = c.Name, have
	return e
}

// TypeMismatch is the error for a value that the column cannot be compared with.
func (q *Query) TypeMismatch(c Condition, want string) error {
	return syntax.NewError(q.text, c.word.Pos, "expected "+want)
}

func column(w *syntax.Word) Column {
	if w == nil {
		return Column{}
	}
	return Column{Name: w.Text, word: *w}
}

func where(d *disjunction) [][]Condition {
	if d == nil {
		return nil
	}
	var out [][]Condition
	for _, and := range d.Or {
		var conditions []Condition
		for _, c := range and.And {
			conditions = append(conditions, Condition{Column: column(&c.Column), Op: c.Op, Value: c.Value.Text, word: c.Value})
		}
		out = append(out, conditions)
	}
	return out
}
