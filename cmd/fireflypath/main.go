// Command fireflypath is the operators' client and the project's tools.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"
)

func main() {
	root := &cli.Command{
		Name:     "fireflypath",
		Usage:    "drive and try the fireflypath request scheduler",
		Commands: commands(),
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fireflypath:", err)
		os.Exit(exitCode(err))
	}
}
