package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/pkg/settings"
)

// exitInput is the exit code for invalid settings.
const exitInput = 2

// inputError is an error in the user's input.
type inputError struct {
	error
}

// Unwrap returns the cause.
func (i inputError) Unwrap() error {
	return i.error
}

func exitCode(err error) int {
	var inputErr inputError
	if errors.As(err, &inputErr) {
		return exitInput
	}
	return 1
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:   "check",
		Usage:  "validate a settings file",
		Flags:  []cli.Flag{settingsFlag()},
		Action: checkSettings,
	}
}

func checkSettings(_ context.Context, c *cli.Command) error {
	path := c.String("settings")
	if _, err := settings.Load(path); err != nil {
		return inputError{err}
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%s: good\n", path)
	return err
}
