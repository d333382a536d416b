// Package query is the language in which operators ask.
package query

import "github.com/fireflypath/fireflypath/internal/syntax"

// Grammar. Every query is one of these; commands have a grammar of their own.
type (
	query struct {
		Why     *syntax.Word `parser:"  'why' @@"`
		Settle  *syntax.Word `parser:"| 'settle' @@"`
		Top     bool         `parser:"| @'top'"`
		Count   *count       `parser:"| 'count' @@"`
		Measure *measure     `parser:"| @@"`
		List    *list        `parser:"| @@"`
	}

	list struct {
		Noun  string       `parser:"@( 'tiers' | 'teams' | 'pools' | 'targets' | 'rules' | 'operators' | 'keys' | 'daemons' | 'requests' | 'open' | 'changes' )"`
		Where *disjunction `parser:"( 'where' @@ )?"`
		Order *order       `parser:"( 'order' 'by' @@ )?"`
		Limit *syntax.Word `parser:"( 'limit' @@ )?"`
	}

	count struct {
		Noun  string       `parser:"@( 'tiers' | 'teams' | 'pools' | 'targets' | 'rules' | 'operators' | 'keys' | 'daemons' | 'requests' | 'open' | 'changes' )"`
		Where *disjunction `parser:"( 'where' @@ )?"`
		By    *syntax.Word `parser:"( 'by' @@ )?"`
	}

	measure struct {
		Percentile string       `parser:"@( 'p50' | 'p90' | 'p95' | 'p99' )"`
		Of         string       `parser:"'requests' ( 'of' @( 'total' | 'wait' | 'first' | 'tokens' | 'prompt' ) )?"`
		Where      *disjunction `parser:"( 'where' @@ )?"`
		By         *syntax.Word `parser:"( 'by' @@ )?"`
	}

	disjunction struct {
		Or []*conjunction `parser:"@@ ( 'or' @@ )*"`
	}

	conjunction struct {
		And []*condition `parser:"@@ ( 'and' @@ )*"`
	}

	condition struct {
		Column syntax.Word `parser:"@@"`
		Op     string      `parser:"@( '=' | '!=' | '<' | '<=' | '>' | '>=' | '~' )"`
		Value  syntax.Word `parser:"@@"`
	}

	order struct {
		Column syntax.Word `parser:"@@"`
		Down   bool        `parser:"( 'asc' | @'desc' )?"`
	}
)

var language = syntax.New[query](map[string]string{
	"why":    "a request's id",
	"settle": "a command's id",
	"where":  "a column",
	"and":    "a column",
	"or":     "a column",
	"by":     "a column",
	"limit":  "a whole number",
	"=":      "a value",
	"!=":     "a value",
	"<":      "a value",
	"<=":     "a value",
	">":      "a value",
	">=":     "a value",
	"~":      "a part of the text",
})
