// Package query parses the operators' query language.
package query

import "github.com/fireflypath/fireflypath/internal/syntax"

// The grammar of queries. Commands have a separate grammar.
type (
	query struct {
		Why        *syntax.Word     `parser:"  'why' @@"`
		Settle     *syntax.Word     `parser:"| 'settle' @@"`
		Top        bool             `parser:"| @'top'"`
		Count      *countQuery      `parser:"| 'count' @@"`
		Percentile *percentileQuery `parser:"| @@"`
		List       *listQuery       `parser:"| @@"`
	}

	listQuery struct {
		Table string       `parser:"@( 'tiers' | 'teams' | 'pools' | 'targets' | 'rules' | 'operators' | 'keys' | 'daemons' | 'requests' | 'open' | 'changes' )"`
		Where *disjunction `parser:"( 'where' @@ )?"`
		Order *ordering    `parser:"( 'order' 'by' @@ )?"`
		Limit *syntax.Word `parser:"( 'limit' @@ )?"`
	}

	countQuery struct {
		Table string       `parser:"@( 'tiers' | 'teams' | 'pools' | 'targets' | 'rules' | 'operators' | 'keys' | 'daemons' | 'requests' | 'open' | 'changes' )"`
		Where *disjunction `parser:"( 'where' @@ )?"`
		By    *syntax.Word `parser:"( 'by' @@ )?"`
	}

	percentileQuery struct {
		Percentile string       `parser:"@( 'p50' | 'p90' | 'p95' | 'p99' )"`
		Column     string       `parser:"'requests' ( 'of' @( 'total' | 'wait' | 'first' | 'tokens' | 'prompt' ) )?"`
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

	ordering struct {
		Column     syntax.Word `parser:"@@"`
		Descending bool        `parser:"( 'asc' | @'desc' )?"`
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
