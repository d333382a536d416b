// Package syntax parses the operators' languages and explains syntax errors.
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

// MaxTextBytes is the maximum size of a command or query: the audit trail stores the text verbatim
// and accepts no longer line. About a hundred teams with their keys fit; more must be split into
// several changes.
const MaxTextBytes = 16 << 10

// maxExplainedBytes bounds the text that is parsed again for each keyword to explain an error.
// Without it, 16 KiB of semicolons and one wrong word took 3 s of CPU time.
const maxExplainedBytes = 1 << 10

// separator is the token after which every language starts over at its first rule.
const separator = ";"

// nonKeyword is a word that is not a keyword of any language. It is used to test whether any word
// is accepted.
const nonKeyword = "0probe0"

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `#[^\n]*`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"[^"\n]*"`},
	{Name: "Word", Pattern: `[\pL\pN_./:@\[\]*%+-]+`},
	{Name: "Compare", Pattern: `<=|>=|!=|=|<|>|~`},
	{Name: "Mark", Pattern: `[;,]`},
})

var literalPattern = regexp.MustCompile(`"([a-z0-9]+|[;,=!<>~]+)"`)

// Word is a name or value with its position, for errors.
type Word struct {
	Pos  lexer.Position
	Text string `parser:"@(Word | String)"`
}

// Language is a grammar with one token of lookahead, so that the position of an error is the first
// token that is not valid there.
type Language[G any] struct {
	parser *participle.Parser[G]
	// keywords are the grammar's keywords in order of appearance, then its punctuation.
	keywords []string
	// valueNames describes the value after a keyword: "rank" is followed by "a whole number".
	valueNames map[string]string
}

// New builds the language of the grammar G. It panics if G is not a valid grammar.
func New[G any](values map[string]string) *Language[G] {
	l := &Language[G]{valueNames: values}
	l.parser = participle.MustBuild[G](
		participle.Lexer(tokens),
		participle.Elide("Comment", "Space"),
		participle.Unquote("String"),
	)
	var punctuation []string
	for _, m := range literalPattern.FindAllStringSubmatch(l.parser.String(), -1) {
		switch {
		case slices.Contains(l.keywords, m[1]) || slices.Contains(punctuation, m[1]):
		case strings.ContainsAny(m[1], ";,=<>~"):
			punctuation = append(punctuation, m[1])
		default:
			l.keywords = append(l.keywords, m[1])
		}
	}
	l.keywords = append(l.keywords, punctuation...)
	return l
}

// Parse parses the whole text. Its error is an *Error.
func (l *Language[G]) Parse(text string) (*G, error) {
	if len(text) > MaxTextBytes {
		return nil, &Error{Line: 1, Column: 1, Detail: tooLongMessage(len(text))}
	}
	g, err := l.parser.ParseString("", text)
	if err == nil {
		return g, nil
	}
	return nil, l.explain(text, err)
}

func (l *Language[G]) explain(text string, err error) error {
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return &Error{Line: 1, Column: 1, Detail: err.Error()}
	}
	pos := parseErr.Position()
	e := NewError(text, pos, "")
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		e.Found = firstRune(text[min(pos.Offset, len(text)):])
		e.Detail = "this character has no meaning here"
		return e
	}
	e.Found = unexpected.Unexpected.Value
	prefix, ok := relevantPrefix(text[:min(pos.Offset, len(text))])
	if !ok {
		e.Detail = fmt.Sprintf("%q cannot stand here", e.Found)
		return e
	}
	e.Expected = l.expected(prefix)
	return e
}

// relevantPrefix returns the end of the prefix that determines which tokens may follow, and whether
// it is short enough to be parsed again.
func relevantPrefix(prefix string) (string, bool) {
	if i := strings.LastIndex(prefix, separator); i >= 0 && !strings.ContainsAny(prefix[i:], "\"#") {
		prefix = prefix[i:]
	}
	return prefix, len(prefix) <= maxExplainedBytes
}

// expected returns the tokens that are valid after the prefix. It parses the prefix followed by each
// keyword, and by an arbitrary word, and returns those that the parser gets past.
func (l *Language[G]) expected(prefix string) []string {
	var out []string
	if l.accepts(prefix, nonKeyword) {
		return append(out, l.valueName(prefix))
	}
	for _, word := range l.keywords {
		if l.accepts(prefix, word) {
			out = append(out, word)
		}
	}
	return out
}

// accepts reports whether the parser gets past a word that follows the prefix.
func (l *Language[G]) accepts(prefix, word string) bool {
	offset := len(prefix) + 1
	_, err := l.parser.ParseString("", prefix+" "+word)
	var parseErr participle.Error
	return err == nil || errors.As(err, &parseErr) && parseErr.Position().Offset > offset
}

// valueName describes the value that the last keyword of the prefix expects.
func (l *Language[G]) valueName(prefix string) string {
	words := strings.FieldsFunc(prefix, func(r rune) bool { return r == ' ' || r == '\n' || r == '\t' })
	if len(words) > 0 {
		if v, ok := l.valueNames[words[len(words)-1]]; ok {
			return v
		}
	}
	return "a name"
}

// Keywords returns the grammar's keywords and punctuation, for completion.
func (l *Language[G]) Keywords() []string {
	return l.keywords
}

// Complete returns the keywords that may follow the text.
func (l *Language[G]) Complete(text string) []string {
	var out []string
	for _, word := range l.keywords {
		if l.accepts(text, word) {
			out = append(out, word)
		}
	}
	return out
}

func tooLongMessage(n int) string {
	return fmt.Sprintf("the text is %d bytes, above the limit of %d: split it into several", n, MaxTextBytes)
}

func firstRune(s string) string {
	for _, r := range s {
		return string(r)
	}
	return ""
}
