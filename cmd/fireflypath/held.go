package main

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
)

// newHeldCommand returns the command that lists the requests held in quarantine.
func newHeldCommand() *cli.Command {
	return &cli.Command{
		Name: "held", Usage: "list the requests, and the parts of prompts, that are held because they crash targets",
		Flags: operatorFlags(), OnUsageError: usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			rows, err := c.HeldRequests()
			if err != nil {
				return err
			}
			if cmd.String("output") == "json" {
				return printJSON(cmd.Root().Writer, rows)
			}
			var b strings.Builder
			b.WriteString("DIGEST\tKIND\tPOOL\tSTATE\tTARGETS\tTIMES\tUNTIL\tMEMBERS\n")
			for _, r := range rows {
				fmt.Fprintf(&b, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%s\n", r.Digest, r.Kind, r.Pool, r.State, r.Targets, r.Times, r.Until.UTC().Format(time.RFC3339), strings.Join(r.Members, " "))
			}
			w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
			if _, err := io.WriteString(w, b.String()); err != nil {
				return err
			}
			return w.Flush()
		},
	}
}

// newReleaseCommand returns the command that releases a held request.
func newReleaseCommand() *cli.Command {
	return &cli.Command{
		Name: "release", Usage: "allow a held request to run again, on all daemons", ArgsUsage: "DIGEST",
		Flags: operatorFlags(), OnUsageError: usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.Args().Len() != 1 {
				return exitError{errors.New("release needs one digest"), exitInput}
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			digest := cmd.Args().First()
			if err := c.Release(digest); err != nil {
				return err
			}
			_, err = fmt.Fprintf(cmd.Root().Writer, "released %s\n", digest)
			return err
		},
	}
}
