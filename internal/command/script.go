package command

import (
	"strconv"
	"strings"
	"time"

	"github.com/fireflypath/fireflypath"
	"github.com/fireflypath/fireflypath/internal/check"
	"github.com/fireflypath/fireflypath/internal/syntax"
)

// Script is one or several commands that are done together or not at all.
type Script struct {
	// Plan is true if the script asks what it would do.
	Plan bool
	// Base is the generation it was written against; 0 means any.
	Base uint64
	// Order is set for an order to a target; a script holds either one order or
	// any number of changes, because an order cannot be taken back.
	Order *fireflypath.Order
	steps []step
}

// step changes one thing of the configuration under edit.
type step func(e *edit)

// Parse reads a script. Its error is a *syntax.Error.
func Parse(text string) (*Script, error) {
	parsed, err := language.Parse(text)
	if err != nil {
		return nil, err
	}
	c := &compiler{text: text, script: &Script{Plan: parsed.Plan}}
	if parsed.Base != nil {
		c.script.Base = c.unsigned(*parsed.Base, "a generation number")
	}
	for _, cmd := range parsed.Commands {
		c.command(cmd)
	}
	c.whole(len(parsed.Commands))
	if c.err != nil {
		return nil, c.err
	}
	return c.script, nil
}

// Complete lists the keywords that may follow an unfinished text.
func Complete(text string) []string {
	return language.Complete(text)
}

// Apply returns the next configuration; it does not change old and gives the
// same result each time it is called with the same old. Its error is
// check.Problems with all that is wrong.
func (s *Script) Apply(old *fireflypath.Config, now time.Time) (*fireflypath.Config, error) {
	e := newEdit(old, now)
	for _, do := range s.steps {
		do(e)
	}
	next := e.config()
	if err := check.Config(old, next); err != nil {
		found, _ := check.From(err)
		e.problems = append(e.problems, found...)
	}
	if err := e.problems.Err(); err != nil {
		return nil, err
	}
	return next, nil
}

// compiler turns the parsed commands into steps and keeps the first error.
type compiler struct {
	text   string
	script *Script
	err    *syntax.Error
}

func (c *compiler) fail(w syntax.Word, detail string) {
	if c.err == nil {
		c.err = syntax.At(c.text, w.Pos, detail)
		c.err.Found = w.Text
	}
}

// whole checks what concerns the script and not one command.
func (c *compiler) whole(n int) {
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

func (c *compiler) add(s step) {
	c.script.steps = append(c.script.steps, s)
}

// one is the value of a field that may be given once.
func (c *compiler) one(words []syntax.Word) (syntax.Word, bool) {
	if len(words) == 0 {
		return syntax.Word{}, false
	}
	if len(words) > 1 {
		c.fail(words[1], "this field is given twice")
	}
	return words[0], true
}

func (c *compiler) string(words []syntax.Word, set func(string)) {
	if w, ok := c.one(words); ok {
		set(w.Text)
	}
}

func (c *compiler) int(words []syntax.Word, set func(int)) {
	w, ok := c.one(words)
	if !ok {
		return
	}
	n, err := strconv.Atoi(w.Text)
	if err != nil || n < 0 {
		c.fail(w, "expected a whole number")
	}
	set(n)
}

func (c *compiler) unsigned(w syntax.Word, want string) uint64 {
	n, err := strconv.ParseUint(w.Text, 10, 64)
	if err != nil {
		c.fail(w, "expected "+want)
	}
	return n
}

func (c *compiler) duration(words []syntax.Word, set func(time.Duration)) {
	w, ok := c.one(words)
	if !ok {
		return
	}
	d, err := time.ParseDuration(w.Text)
	if err != nil || d <= 0 {
		c.fail(w, "expected a duration such as 2s or 500ms")
	}
	set(d)
}

func (c *compiler) bool(words []syntax.Word, set func(bool)) {
	w, ok := c.one(words)
	if !ok {
		return
	}
	if w.Text != "yes" && w.Text != "no" {
		c.fail(w, "expected yes or no")
	}
	set(w.Text == "yes")
}

// list is a list given once; the word "all" alone means the empty list.
func (c *compiler) list(lists []list, set func([]string)) {
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
