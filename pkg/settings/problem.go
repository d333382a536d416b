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

// Problem is one bad setting.
type Problem struct {
	File   string
	Line   int
	Column int
	// Setting is the path of names to it, like listen.callers.
	Setting string
	Reason  string
}

// Error has the form that editors jump to.
func (p Problem) Error() string {
	return fmt.Sprintf("%s:%d:%d: %s: %s", p.File, p.Line, p.Column, p.Setting, p.Reason)
}

// Problems are all bad settings of a file, in the order of the file.
type Problems []Problem

// Error has a line for each.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Error()
	}
	return strings.Join(lines, "\n")
}

// position counts lines and columns from 1; columns are bytes.
func position(text []byte, offset int) (line, column int) {
	preceding := text[:min(offset, len(text))]
	line = 1 + bytes.Count(preceding, []byte("\n"))
	column = len(preceding) - bytes.LastIndexByte(preceding, '\n')
	return line, column
}

// parserPosition finds the position in a message of the parser.
var parserPosition = regexp.MustCompile(`^hujson: line (\d+), column (\d+): (.*)$`)

func syntaxProblems(path string, err error) Problems {
	p := Problem{File: path, Line: 1, Column: 1, Setting: "syntax", Reason: err.Error()}
	if m := parserPosition.FindStringSubmatch(err.Error()); m != nil {
		// Both numbers were matched as digits.
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
