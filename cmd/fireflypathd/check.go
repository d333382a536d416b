package main

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/pkg/settings"
)

// exitInput is the code for settings that cannot be used.
const exitInput = 2

// input is an error of what the user wrote.
type input struct {
	error
}

// Unwrap gives the cause.
func (i input) Unwrap() error {
	return i.error
}

func exitCode(err error) int {
	var i input
	if errors.As(err, &i) {
		return exitInput
	}
	return 1
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:   "check",
		Usage:  "read a settings file and say what is wrong with it",
		Flags:  []cli.Flag{settingsFlag()},
		Action: check,
	}
}

func check(_ context.Context, c *cli.Command) error {
	path := c.String("settings")
	if _, err := settings.Load(path); err != nil {
		return input{err}
	}
	_, err := fmt.Fprintf(c.Root().Writer, "%s: good\n", path)
	return err
}
