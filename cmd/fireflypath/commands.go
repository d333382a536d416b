package main

import (
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// Exit codes on which scripts can rely.
const (
	exitRefused = 1
	exitInput   = 2
	exitUnknown = 3
)

// commands returns the subcommands in the order of the help text.
func commands() []*cli.Command {
	return []*cli.Command{
		newDemoCommand(),
		newStandCommand(),
		newLoadCommand(),
		newTrialCommand(),
		newSoakCommand(),
		newDoCommand(),
		newAskCommand(),
		newShellCommand(),
		newHeldCommand(),
		newReleaseCommand(),
	}
}

// exitError is an error with an exit code.
type exitError struct {
	error
	code int
}

// Unwrap returns the cause.
func (e exitError) Unwrap() error {
	return e.error
}

// exitCode returns the code of an exitError, or else exitRefused.
func exitCode(err error) int {
	var e exitError
	if errors.As(err, &e) {
		return e.code
	}
	return exitRefused
}
