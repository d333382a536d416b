// Package table holds the rows that answer a query.
package table

import (
	"encoding/json"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// Kind is the type of a column.
type Kind string

// The kinds of columns.
const (
	Text     Kind = "text"
	List     Kind = "list"
	Number   Kind = "number"
	Duration Kind = "duration"
	Time     Kind = "time"
	Bool     Kind = "bool"
)

// Column is a named column.
type Column struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
}

// Cell is a value; which field counts follows from the column's kind.
type Cell struct {
	// Text is for text, and for lists with commas between.
	Text string
	// Number is for numbers, durations in seconds, and bools (0 or 1).
	Number float64
	// Time is for times.
	Time time.Time
	// Empty is true if there is no value; it is below every value and equal to none.
	Empty bool
}

// Row holds a cell for each column.
type Row []Cell

// Table is an answer.
type Table struct {
	Columns []Column
	Rows    []Row
	// Notes tell what the rows do not hold.
	Notes []string
}

// Str makes a text, empty if s is.
func Str(s string) Cell {
	return Cell{Text: s, Empty: s == ""}
}

// Num makes a number.
func Num[N int | int64 | uint64 | float64](n N) Cell {
	return Cell{Number: float64(n)}
}

// Dur makes a duration.
func Dur(d time.Duration) Cell {
	return Cell{Number: d.Seconds()}
}

// never is above the age of any report: a daemon that has none measures its age
// from the zero time.
const never = 365 * 24 * time.Hour

// Age makes the age of a report, empty if none ever came.
func Age(d time.Duration) Cell {
	if d < 0 || d > never {
		return Cell{Empty: true}
	}
	return Dur(d)
}

// Between makes the duration between two times, empty if one is missing.
func Between(from, to time.Time) Cell {
	if from.IsZero() || to.IsZero() {
		return Cell{Empty: true}
	}
	return Dur(to.Sub(from))
}

// At makes a time, empty if t is zero.
func At(t time.Time) Cell {
	return Cell{Time: t, Empty: t.IsZero()}
}

// Flag makes a bool.
func Flag(b bool) Cell {
	if b {
		return Cell{Number: 1}
	}
	return Cell{}
}

// Names makes a list.
func Names(names []string) Cell {
	return Str(strings.Join(names, ","))
}

// Index finds a column by name, or -1.
func (t *Table) Index(name string) int {
	for i, c := range t.Columns {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// String prints a cell as people read it.
func (c Cell) String(k Kind) string {
	if c.Empty {
		return "-"
	}
	switch k {
	case Number:
		return number(c.Number)
	case Duration:
		return seconds(c.Number).String()
	case Time:
		return c.Time.UTC().Format("2006-01-02T15:04:05.000Z")
	case Bool:
		return strconv.FormatBool(c.Number != 0)
	default:
		return c.Text
	}
}

// number prints whole numbers whole, and others with two decimals.
func number(n float64) string {
	if n == math.Trunc(n) {
		return strconv.FormatFloat(n, 'f', 0, 64)
	}
	return strconv.FormatFloat(n, 'f', 2, 64)
}

// seconds rounds to what people read: three digits or so.
func seconds(s float64) time.Duration {
	d := time.Duration(s * float64(time.Second))
	switch {
	case d >= time.Minute:
		return d.Round(time.Second)
	case d >= time.Second:
		return d.Round(10 * time.Millisecond)
	case d >= time.Millisecond:
		return d.Round(10 * time.Microsecond)
	default:
		return d.Round(10 * time.Nanosecond)
	}
}

// Write prints the table with aligned columns and the notes below it.
func (t *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{t.head()}
	for _, row := range t.Rows {
		lines = append(lines, t.line(row))
	}
	if _, err := io.WriteString(tw, strings.Join(lines, "")); err != nil {
		return err
	}
	if err := tw.Flush(); err != nil {
		return err
	}
	for _, n := range t.Notes {
		if _, err := fmt.Fprintln(w, "#", n); err != nil {
			return err
		}
	}
	return nil
}

func (t *Table) head() string {
	var names []string
	for _, c := range t.Columns {
		names = append(names, strings.ToUpper(c.Name))
	}
	return strings.Join(names, "\t") + "\n"
}

func (t *Table) line(row Row) string {
	var cells []string
	for i, c := range row {
		cells = append(cells, c.String(t.Columns[i].Kind))
	}
	return strings.Join(cells, "\t") + "\n"
}

// wire is the form of a table between daemon and client.
type wire struct {
	Columns []Column `json:"columns"`
	Rows    [][]any  `json:"rows"`
	Notes   []string `json:"notes,omitempty"`
}

// MarshalJSON writes numbers as numbers, durations in seconds, times as RFC
// 3339 and missing values as null.
func (t *Table) MarshalJSON() ([]byte, error) {
	out := wire{Columns: t.Columns, Rows: make([][]any, len(t.Rows)), Notes: t.Notes}
	for i, row := range t.Rows {
		for j, c := range row {
			out.Rows[i] = append(out.Rows[i], c.value(t.Columns[j].Kind))
		}
	}
	return json.Marshal(out)
}

func (c Cell) value(k Kind) any {
	if c.Empty {
		return nil
	}
	switch k {
	case Number, Duration:
		return c.Number
	case Time:
		return c.Time
	case Bool:
		return c.Number != 0
	default:
		return c.Text
	}
}

// UnmarshalJSON reads what MarshalJSON writes.
func (t *Table) UnmarshalJSON(data []byte) error {
	var in wire
	if err := json.Unmarshal(data, &in); err != nil {
		return err
	}
	t.Columns, t.Notes = in.Columns, in.Notes
	t.Rows = make([]Row, 0, len(in.Rows))
	for _, values := range in.Rows {
		if len(values) != len(in.Columns) {
			return fmt.Errorf("row has %d cells for %d columns", len(values), len(in.Columns))
		}
		row := make(Row, len(values))
		for j, v := range values {
			row[j] = cell(v, in.Columns[j].Kind)
		}
		t.Rows = append(t.Rows, row)
	}
	return nil
}

func cell(v any, k Kind) Cell {
	switch x := v.(type) {
	case float64:
		return Cell{Number: x}
	case bool:
		return Flag(x)
	case string:
		if k != Time {
			return Cell{Text: x}
		}
		at, err := time.Parse(time.RFC3339Nano, x)
		return Cell{Time: at, Empty: err != nil}
	default:
		return Cell{Empty: true}
	}
}
