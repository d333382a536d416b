// Command fireflypath is the operators' client and a collection of test tools.
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
		Usage:    "operate and test the fireflypath request scheduler",
		Commands: commands(),
	}
	if err := root.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "fireflypath:", err)
		os.Exit(exitCode(err))
	}
}
