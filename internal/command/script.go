package command

import (
	"strconv"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/check"
	"github.com/fireflypath/fireflypath/internal/syntax"
)

// Script is a sequence of commands that are executed together or not at all.
type Script struct {
	// Plan is true if the script only asks for a preview of its effect.
	Plan bool
	// Base is the configuration generation that the script was written against;
	// 0 means any.
	Base uint64
	// Order is set if the script is an order to a target. A script contains either
	// one order or any number of changes, because an order cannot be undone.
	Order *fireflypath.Order
	steps []step
}

// step applies one command to the configuration.
type step func(e *edit)

// Parse parses a script. Its error is a *syntax.Error.
func Parse(text string) (*Script, error) {
	parsed, err := language.Parse(text)
	if err != nil {
		return nil, err
	}
	c := &compiler{text: text, script: &Script{Plan: parsed.Plan}}
	if parsed.Base != nil {
		c.script.Base = c.parseUnsigned(*parsed.Base, "a generation number")
	}
	for _, cmd := range parsed.Commands {
		c.compileCommand(cmd)
	}
	c.checkScript(len(parsed.Commands))
	if c.err != nil {
		return nil, c.err
	}
	return c.script, nil
}

// Complete returns the keywords that may follow an incomplete text.
func Complete(text string) []string {
	return language.Complete(text)
}

// Apply returns the configuration that results from applying the script to old. It does
// not modify old and is deterministic. Its error is a check.Problems that lists
// everything that is wrong.
func (s *Script) Apply(old *fireflypath.Config, now time.Time) (*fireflypath.Config, error) {
	e := newEdit(old, now)
	for _, do := range s.steps {
		do(e)
	}
	next := e.config()
	if err := check.Config(old, next); err != nil {
		found, _ := check.AsProblems(err)
		e.problems = append(e.problems, found...)
	}
	if err := e.problems.Err(); err != nil {
		return nil, err
	}
	return next, nil
}

// compiler converts the parsed commands into steps and keeps the first error.
type compiler struct {
	text   string
	script *Script
	err    *syntax.Error
}

func (c *compiler) fail(w syntax.Word, detail string) {
	if c.err == nil {
		c.err = syntax.NewError(c.text, w.Pos, detail)
		c.err.Found = w.Text
	}
}

// checkScript checks the script as a whole, which consists of n commands.
func (c *compiler) checkScript(n int) {
	if c.err != nil {
		return
	}
	switch {
	case n == 0:
		c.err = &syntax.Error{Line: 1, Column: 1, Source: firstLine(c.text), Detail: "no command is given"}
	case c.script.Order != nil && n > 1:
		c.err = &syntax.Error{Line: 1, Column: 1, Source: firstLine(c.text), Detail: "an order to a target stands alone: it cannot be undone if another command is refused"}
	}
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line
}

func (c *compiler) addStep(s step) {
	c.script.steps = append(c.script.steps, s)
}

// single returns the value of a field that may be given at most once.
func (c *compiler) single(words []syntax.Word) (syntax.Word, bool) {
	if len(words) == 0 {
		return syntax.Word{}, false
	}
	if len(words) > 1 {
		c.fail(words[1], "this field is given twice")
	}
	return words[0], true
}

func (c *compiler) stringField(words []syntax.Word, set func(string)) {
	if w, ok := c.single(words); ok {
		set(w.Text)
	}
}

func (c *compiler) intField(words []syntax.Word, set func(int)) {
	w, ok := c.single(words)
	if !ok {
		return
	}
	n, err := strconv.Atoi(w.Text)
	if err != nil || n < 0 {
		c.fail(w, "expected a whole number")
	}
	set(n)
}

func (c *compiler) parseUnsigned(w syntax.Word, want string) uint64 {
	n, err := strconv.ParseUint(w.Text, 10, 64)
	if err != nil {
		c.fail(w, "expected "+want)
	}
	return n
}

func (c *compiler) durationField(words []syntax.Word, set func(time.Duration)) {
	w, ok := c.single(words)
	if !ok {
		return
	}
	d, err := time.ParseDuration(w.Text)
	if err != nil || d <= 0 {
		c.fail(w, "expected a duration such as 2s or 500ms")
	}
	set(d)
}

func (c *compiler) boolField(words []syntax.Word, set func(bool)) {
	w, ok := c.single(words)
	if !ok {
		return
	}
	if w.Text != "yes" && w.Text != "no" {
		c.fail(w, "expected yes or no")
	}
	set(w.Text == "yes")
}

// listField passes a list that may be given at most once to set. The single word "all"
// means an empty list.
func (c *compiler) listField(lists []list, set func([]string)) {
	if len(lists) == 0 {
		return
	}
	if len(lists) > 1 {
		c.fail(lists[1].Items[0], "this field is given twice")
	}
	var out []string
	for _, w := range lists[0].Items {
		out = append(out, w.Text)
	}
	if len(out) == 1 && out[0] == "all" {
		out = nil
	}
	set(out)
}
