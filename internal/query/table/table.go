// Package table implements the tables that queries return.
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

// Column is the name and the kind of a column.
type Column struct {
	Name string `json:"name"`
	Kind Kind   `json:"kind"`
}

// Cell is a value. The column's kind determines which field contains it.
type Cell struct {
	// Text contains a text, or the elements of a list, separated by commas.
	Text string
	// Number contains a number, a duration in seconds, or a bool as 0 or 1.
	Number float64
	// Time contains a time.
	Time time.Time
	// Empty is true if there is no value. An empty cell sorts before all values and equals none of
	// them.
	Empty bool
}

// Row contains one cell per column.
type Row []Cell

// Table is the result of a query.
type Table struct {
	Columns []Column
	Rows    []Row
	// Notes are remarks on the rows, for example that there are more.
	Notes []string
}

// Str returns a text cell, which is empty if s is.
func Str(s string) Cell {
	return Cell{Text: s, Empty: s == ""}
}

// Num returns a number cell.
func Num[N int | int64 | uint64 | float64](n N) Cell {
	return Cell{Number: float64(n)}
}

// Dur returns a duration cell.
func Dur(d time.Duration) Cell {
	return Cell{Number: d.Seconds()}
}

// maxAge is larger than the age of any report. For a target that never reported, the age is
// counted from the zero time.
const maxAge = 365 * 24 * time.Hour

// Age returns the age of a report as a duration cell, which is empty if there never was a report.
func Age(d time.Duration) Cell {
	if d < 0 || d > maxAge {
		return Cell{Empty: true}
	}
	return Dur(d)
}

// Between returns a duration cell for the time between two times, empty if one of them is zero.
func Between(from, to time.Time) Cell {
	if from.IsZero() || to.IsZero() {
		return Cell{Empty: true}
	}
	return Dur(to.Sub(from))
}

// At returns a time cell, which is empty if t is zero.
func At(t time.Time) Cell {
	return Cell{Time: t, Empty: t.IsZero()}
}

// Flag returns a bool cell.
func Flag(b bool) Cell {
	if b {
		return Cell{Number: 1}
	}
	return Cell{}
}

// Names returns a list cell.
func Names(names []string) Cell {
	return Str(strings.Join(names, ","))
}

// Index returns the index of the column with the name, or -1.
func (t *Table) Index(name string) int {
	for i, c := range t.Columns {
		if c.Name == name {
			return i
		}
	}
	return -1
}

// String formats a cell of the kind for display.
func (c Cell) String(k Kind) string {
	if c.Empty {
		return "-"
	}
	switch k {
	case Number:
		return formatNumber(c.Number)
	case Duration:
		return roundedDuration(c.Number).String()
	case Time:
		return c.Time.UTC().Format("2006-01-02T15:04:05.000Z")
	case Bool:
		return strconv.FormatBool(c.Number != 0)
	default:
		return c.Text
	}
}

// formatNumber formats whole numbers without decimals and other numbers with two.
func formatNumber(n float64) string {
	if n == math.Trunc(n) {
		return strconv.FormatFloat(n, 'f', 0, 64)
	}
	return strconv.FormatFloat(n, 'f', 2, 64)
}

// roundedDuration rounds to about three significant digits, for readability.
func roundedDuration(s float64) time.Duration {
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

// Write writes the table with aligned columns, followed by the notes.
func (t *Table) Write(w io.Writer) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := []string{t.header()}
	for _, row := range t.Rows {
		lines = append(lines, t.formatRow(row))
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

func (t *Table) header() string {
	var names []string
	for _, c := range t.Columns {
		names = append(names, strings.ToUpper(c.Name))
	}
	return strings.Join(names, "\t") + "\n"
}

func (t *Table) formatRow(row Row) string {
	var cells []string
	for i, c := range row {
		cells = append(cells, c.String(t.Columns[i].Kind))
	}
	return strings.Join(cells, "\t") + "\n"
}

// jsonTable is the JSON encoding of a table between daemon and client.
type jsonTable struct {
	Columns []Column `json:"columns"`
	Rows    [][]any  `json:"rows"`
	Notes   []string `json:"notes,omitempty"`
}

// MarshalJSON encodes durations as seconds, times as RFC 3339 and empty cells as null.
func (t *Table) MarshalJSON() ([]byte, error) {
	out := jsonTable{Columns: t.Columns, Rows: make([][]any, len(t.Rows)), Notes: t.Notes}
	for i, row := range t.Rows {
		for j, c := range row {
			out.Rows[i] = append(out.Rows[i], c.jsonValue(t.Columns[j].Kind))
		}
	}
	return json.Marshal(out)
}

func (c Cell) jsonValue(k Kind) any {
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

// UnmarshalJSON decodes the encoding of MarshalJSON.
func (t *Table) UnmarshalJSON(data []byte) error {
	var in jsonTable
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
			row[j] = cellFromJSON(v, in.Columns[j].Kind)
		}
		t.Rows = append(t.Rows, row)
	}
	return nil
}

func cellFromJSON(v any, k Kind) Cell {
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
