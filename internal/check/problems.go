// Package check finds everything that is wrong with a configuration before it is put in force.
package check

import (
	"errors"
	"fmt"
	"strings"
)

// Problem is one thing that is wrong.
type Problem struct {
	// Subject is what it is wrong with, like "team traders".
	Subject string `json:"subject"`
	// Detail is the rest of the sentence.
	Detail string `json:"detail"`
}

// Problems is an error that holds all that is wrong, in the configuration's order.
type Problems []Problem

// Error prints one problem a line.
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

// Err is nil if there are no problems.
func (p Problems) Err() error {
	if len(p) == 0 {
		return nil
	}
	return p
}

// AsProblems finds the problems in an error's chain.
func AsProblems(err error) (Problems, bool) {
	var p Problems
	ok := errors.As(err, &p)
	return p, ok
}
