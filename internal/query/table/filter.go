package table

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// EmptyText is the literal that stands for an empty cell.
const EmptyText = "-"

// ParseLiteral parses a value of the column's kind. A time may be given relative to now: "5m" means
// five minutes ago. It returns false if the text is not a valid value.
func ParseLiteral(k Kind, text string, now time.Time) (Cell, bool) {
	if text == EmptyText {
		return Cell{Empty: true}, true
	}
	switch k {
	case Number:
		n, err := strconv.ParseFloat(text, 64)
		return Cell{Number: n}, err == nil
	case Duration:
		d, err := time.ParseDuration(text)
		return Dur(d), err == nil
	case Time:
		return parseTime(text, now)
	case Bool:
		return Flag(text == "yes" || text == "true"), slices.Contains([]string{"yes", "no", "true", "false"}, text)
	default:
		return Cell{Text: text}, true
	}
}

func parseTime(text string, now time.Time) (Cell, bool) {
	if d, err := time.ParseDuration(text); err == nil {
		return Cell{Time: now.Add(-d)}, true
	}
	at, err := time.Parse(time.RFC3339, text)
	return Cell{Time: at}, err == nil
}

// LiteralExample describes the values that ParseLiteral accepts for a kind.
func LiteralExample(k Kind) string {
	switch k {
	case Number:
		return "a number"
	case Duration:
		return "a duration such as 2s or 500ms"
	case Time:
		return "a time such as 2026-12-02T20:00:00Z, or 5m for five minutes ago"
	case Bool:
		return "yes or no"
	default:
		return "a word"
	}
}

// Matches compares a cell with a literal by one of the operators = != < <= > >= ~. A list equals
// each of its elements. ~ matches if the cell's text contains the literal.
func Matches(k Kind, c Cell, op string, literal Cell) bool {
	switch op {
	case "=":
		return equal(k, c, literal)
	case "!=":
		return !equal(k, c, literal)
	case "~":
		return !c.Empty && strings.Contains(c.String(k), literal.String(k))
	}
	if c.Empty || literal.Empty {
		return false
	}
	n := Compare(k, c, literal)
	switch op {
	case "<":
		return n < 0
	case "<=":
		return n <= 0
	case ">":
		return n > 0
	default:
		return n >= 0
	}
}

func equal(k Kind, c, literal Cell) bool {
	if c.Empty || literal.Empty {
		return c.Empty == literal.Empty
	}
	if k == List {
		return slices.Contains(strings.Split(c.Text, ","), literal.Text)
	}
	return Compare(k, c, literal) == 0
}

// Compare compares two cells of the same kind. Empty cells come first.
func Compare(k Kind, a, b Cell) int {
	switch {
	case a.Empty && b.Empty:
		return 0
	case a.Empty:
		return -1
	case b.Empty:
		return 1
	}
	switch k {
	case Number, Duration, Bool:
		return cmp.Compare(a.Number, b.Number)
	case Time:
		return a.Time.Compare(b.Time)
	default:
		return cmp.Compare(a.Text, b.Text)
	}
}
