package syntax

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2/lexer"
)

// Error says where a text cannot be read and what could have stood there.
type Error struct {
	// Line and Column count from 1, Column in characters.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Source is the line itself.
	Source string `json:"source"`
	// Found is the token there, empty at the end of the text.
	Found string `json:"found"`
	// Expected lists what could have stood there.
	Expected []string `json:"expected,omitempty"`
	// Detail is a sentence in place of the list.
	Detail string `json:"detail,omitempty"`
}

// NewError makes an error with a sentence at a place of the text.
func NewError(text string, pos lexer.Position, detail string) *Error {
	e := &Error{Line: max(pos.Line, 1), Column: max(pos.Column, 1), Detail: detail}
	lines := strings.Split(text, "\n")
	if e.Line <= len(lines) {
		e.Source = strings.ReplaceAll(lines[e.Line-1], "\t", " ")
	}
	return e
}

// Error prints the sentence, the line and a caret below the place.
func (e *Error) Error() string {
	head := fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.sentence())
	if e.Source == "" {
		return head
	}
	return head + "\n  " + e.Source + "\n  " + strings.Repeat(" ", e.Column-1) + "^"
}

func (e *Error) sentence() string {
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
