package main

import (
	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// The exit codes that scripts can rely on.
const (
	exitRefused = 1
	exitInput   = 2
	exitUnknown = 3
)

// commands lists the tools in the order that help prints them.
func commands() []*cli.Command {
	return []*cli.Command{
		newTrialCommand(),
