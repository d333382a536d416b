package settings

import (
	"bytes"
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// Problem is one invalid setting.
type Problem struct {
	File   string
	Line   int
	Column int
	// Setting is the path of the setting, such as listen.callers.
	Setting string
	Reason  string
}

// Error formats the problem so that editors can jump to its position.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Setting, p.Reason)
}

// Problems are all invalid settings of a file, ordered by position.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// position returns the line and column of an offset, both counted from 1. Columns count
// bytes.
func position(text []byte, offset int) (line, column int) {
	preceding := text[:min(offset, len(text))]
	line = 1 + bytes.Count(preceding, []byte("\n"))
	column = len(preceding) - bytes.LastIndexByte(preceding, '\n')
	return line, column
}

// parserPosition matches the position in an error message of the parser.
var parserPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxProblems(path string, err error) Problems {
	p := Problem{File: path, Line: 1, Column: 1, Setting: "syntax", Reason: err.Error()}
	if m := parserPosition.FindStringSubmatch(err.Error()); m != nil {
		// The pattern matches only digits, so that Atoi can fail only for huge numbers.
		p.Line, _ = strconv.Atoi(m[1])
		p.Column, _ = strconv.Atoi(m[2])
		p.Reason = m[3]
	}
	return Problems{p}
}

func (d *decoder) addProblem(offset int, setting, format string, args ...any) {
	line, column := position(d.text, offset)
	d.problems = append(d.problems, Problem{
		File: d.path, Line: line, Column: column, Setting: setting, Reason: fmt.Sprintf(format, args...),
	})
}

func (d *decoder) sortedProblems() Problems {
	slices.SortStableFunc(d.problems, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return d.problems
}
