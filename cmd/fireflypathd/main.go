// Command fireflypathd is the daemon.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	root := &cli.Command{
		Name:     "fireflypathd",
		Usage:    "schedule requests for model engines and services",
		Commands: []*cli.Command{runCommand(), checkCommand()},
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitCode(err))
	}
}
