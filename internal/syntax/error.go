package syntax

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// Error is a syntax error. It describes its position and the tokens that would have been valid.
type Error struct {
	// Line and Column start at 1. Column counts characters.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Source is the text of the line.
	Source string `json:"source"`
	// Found is the token at the position, empty at the end of the text.
	Found string `json:"found"`
	// Expected lists the tokens that would have been valid.
	Expected []string `json:"expected,omitempty"`
	// Detail is the error message if Expected is empty.
	Detail string `json:"detail,omitempty"`
}

// NewError returns an error at a position of the text.
func NewError(text string, pos lexer.Position, detail string) *Error {
	e := &Error{Line: max(pos.Line, 1), Column: max(pos.Column, 1), Detail: detail}
	lines := strings.Split(text, "\n")
	if e.Line <= len(lines) {
		e.Source = strings.ReplaceAll(lines[e.Line-1], "\t", " ")
	}
	return e
}

// Error returns the message, the line and a caret below the position.
func (e *Error) Error() string {
	message := fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.message())
	if e.Source == "" {
		return message
	}
	return message + "\n  " + e.Source + "\n  " + strings.Repeat(" ", e.Column-1) + "^"
}

func (e *Error) message() string {
	found := "end of the text"
	if e.Found != "" {
		found = fmt.Sprintf("%q", e.Found)
	}
	switch {
	case len(e.Expected) > 0:
		return "found " + found + ", expected " + alternatives(e.Expected)
	case e.Detail != "":
		return e.Detail
	default:
		return "found " + found + ", expected the end of the text"
	}
}

func alternatives(words []string) string {
	if len(words) == 1 {
		return words[0]
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}
