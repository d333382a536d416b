// Package syntax parses the operators' languages and explains what does not parse.
package syntax

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/cockroachdb/errors"
)

// MaxTextBytes bounds a command or query in bytes: the audit trail keeps the words
// as given and takes no longer line. About a hundred teams with their keys fit;
// more are split into several changes.
const MaxTextBytes = 16 << 10

// maxProbe bounds the text that is parsed again for each keyword to explain an
// error. Without it, 16 KiB of semicolons and one wrong word took 3 s of a core.
const maxProbe = 1 << 10

// separator is a token behind which every language here begins anew.
const separator = ";"

// probe stands for a word that is no keyword of any language here.
const probe = "0probe0"

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"[^"\n]*"`},
	{Name: "Word", Pattern: `[\pL\pN_./:@\[\]*%+-]+`},
	{Name: "Compare", Pattern: `<=|>=|!=|=|<|>|~`},
	{Name: "Mark", Pattern: `[;,]`},
})

var literal = regexp.MustCompile(`"([a-z0-9]+|[;,=!<>~]+)"`)

// Word is a name or value, with its place for errors.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// Language is a grammar with one token of lookahead, so that the place of an
// error is the first token that cannot stand where it does.
type Language[G any] struct {
	parser *participle.Parser[G]
	// literals are the grammar's keywords in its own order, then its marks.
	literals []string
	// values says what follows a keyword: "rank" is followed by "a whole number".
	values map[string]string
}

// New builds the language of the grammar G. It panics if G is no grammar.
func New[G any](values map[string]string) *Language[G] {
	l := &Language[G]{values: values}
	l.parser = participle.MustBuild[G](
		participle.Lexer(tokens),
		participle.Elide("Comment", "Space"),
		participle.Unquote("String"),
	)
	var marks []string
	for _, m := range literal.FindAllStringSubmatch(l.parser.String(), -1) {
		switch {
		case slices.Contains(l.literals, m[1]) || slices.Contains(marks, m[1]):
		case strings.ContainsAny(m[1], ";,=<>~"):
			marks = append(marks, m[1])
		default:
			l.literals = append(l.literals, m[1])
		}
	}
	l.literals = append(l.literals, marks...)
	return l
}

// Parse reads the whole text, or returns an *Error.
func (l *Language[G]) Parse(text string) (*G, error) {
	if len(text) > MaxTextBytes {
		return nil, &Error{Line: 1, Column: 1, Detail: tooLong(len(text))}
	}
	g, err := l.parser.ParseString("", text)
	if err == nil {
		return g, nil
	}
	return nil, l.explain(text, err)
}

func (l *Language[G]) explain(text string, err error) error {
	var perr participle.Error
	if !errors.As(err, &perr) {
		return &Error{Line: 1, Column: 1, Detail: err.Error()}
	}
	pos := perr.Position()
	e := NewError(text, pos, "")
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		e.Found = firstRune(text[min(pos.Offset, len(text)):])
		e.Detail = "this character has no meaning here"
		return e
	}
	e.Found = unexpected.Unexpected.Value
	prefix, ok := recent(text[:min(pos.Offset, len(text))])
	if !ok {
		e.Detail = fmt.Sprintf("%q cannot stand here", e.Found)
		return e
	}
	e.Expected = l.expected(prefix)
	return e
}

// recent is the end of the prefix that decides what may follow, and whether it
// is short enough to be tried.
func recent(prefix string) (string, bool) {
	if i := strings.LastIndex(prefix, separator); i >= 0 && !strings.ContainsAny(prefix[i:], "\"#") {
		prefix = prefix[i:]
	}
	return prefix, len(prefix) <= maxProbe
}

// expected tries every literal, and a plain word, behind the prefix: those that
// the parser gets past could have stood there.
func (l *Language[G]) expected(prefix string) []string {
	var out []string
	if l.accepts(prefix, probe) {
		return append(out, l.value(prefix))
	}
	for _, word := range l.literals {
		if l.accepts(prefix, word) {
			out = append(out, word)
		}
	}
	return out
}

func (l *Language[G]) accepts(prefix, word string) bool {
	at := len(prefix) + 1
	_, err := l.parser.ParseString("", prefix+" "+word)
	var perr participle.Error
	return err == nil || errors.As(err, &perr) && perr.Position().Offset > at
}

// value names the word that the last keyword of the prefix asks for.
func (l *Language[G]) value(prefix string) string {
	words := strings.FieldsFunc(prefix, func(r rune) bool { return r == ' ' || r == '\n' || r == '\t' })
	if len(words) > 0 {
		if v, ok := l.values[words[len(words)-1]]; ok {
			return v
		}
	}
	return "a name"
}

// Keywords are the grammar's keywords, for completion.
func (l *Language[G]) Keywords() []string {
	return l.literals
}

// Complete lists the keywords that may follow the text.
func (l *Language[G]) Complete(text string) []string {
	var out []string
	for _, word := range l.literals {
		if l.accepts(text, word) {
			out = append(out, word)
		}
	}
	return out
}

func tooLong(n int) string {
	return fmt.Sprintf("the text is %d bytes, above the limit of %d: split it into several", n, MaxTextBytes)
}

func firstRune(s string) string {
	for _, r := range s {
		return string(r)
	}
	return ""
}
