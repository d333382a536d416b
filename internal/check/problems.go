// Package check validates a configuration before it is put in force.
package check

import (
	"errors"
	"fmt"
	"strings"
)

// Problem is one error in a configuration.
type Problem struct {
	// Subject names the invalid element, such as "team traders".
	Subject string `json:"subject"`
	// Detail describes the error and completes a sentence that starts with Subject.
	Detail string `json:"detail"`
}

// Problems is an error that lists all problems of a configuration, in the order in which
// they were found.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.Subject + " " + problem.Detail
	}
	return strings.Join(lines, "\n")
}

// Add appends a problem.
func (p *Problems) Add(subject, format string, args ...any) {
	*p = append(*p, Problem{Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

// Err returns p as an error, or nil if there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// AsProblems returns the Problems in the error chain of err.
func AsProblems(err error) (Problems, bool) {
	var p Problems
	ok := errors.As(err, &p)
	return p, ok
}
