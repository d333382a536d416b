package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/fleet"
)

func newFleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: "measure what control costs a daemon in fleets of several sizes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "daemons", Value: "9,36", Usage: "sizes, separated by commas"},
			&cli.IntFlag{Name: "teams", Value: 50, Usage: "teams of the configuration"},
			&cli.IntFlag{Name: "pools", Value: 8, Usage: "pools of the configuration"},
			&cli.IntFlag{Name: "targets", Value: 0, Usage: "targets (default: 15 for 9 daemons, in proportion)"},
			&cli.BoolFlag{Name: "tls", Usage: "mutual TLS between the daemons"},
			&cli.DurationFlag{Name: "for", Value: 20 * time.Second, Usage: "how long the steady state is measured"},
			&cli.IntFlag{Name: "changes", Value: 5, Usage: "changes of the configuration that are timed"},
			&cli.IntFlag{Name: "deaths", Value: 3, Usage: "deaths that are timed"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the demands"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"},
		},
		Action: runFleet,
	}
}

func runFleet(ctx context.Context, c *cli.Command) error {
	w := c.Root().Writer
	if c.String("output") != "json" {
		if _, err := fmt.Fprintln(w, "per daemon; bytes and messages are those sent in a second"); err != nil {
			return err
		}
	}
	for _, text := range strings.Split(c.String("daemons"), ",") {
		n, err := strconv.Atoi(strings.TrimSpace(text))
		if err != nil || n < 1 {
			return coded{error: errors.Newf("daemons: %q is no size", text), code: exitInput}
		}
		o := fleet.Options{
			Daemons: n, Teams: c.Int("teams"), Pools: c.Int("pools"), Targets: c.Int("targets"), TLS: c.Bool("tls"),
			For: c.Duration("for"), Changes: c.Int("changes"), Deaths: c.Int("deaths"), Seed: c.Uint64("seed"),
		}
		if o.Targets == 0 {
			o.Targets = max(o.Pools, n*15/9)
		}
		row, err := fleet.Run(ctx, o, clockwork.NewRealClock())
		if err != nil {
			return errors.Wrapf(err, "fleet of %d", n)
		}
		if err := printFleet(w, row, c.String("output") == "json"); err != nil {
			return err
		}
	}
	return nil
}

func printFleet(w io.Writer, r fleet.Row, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(r)
	}
	const mib = 1 << 20
	tw := tabwriter.NewWriter(w, 12, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(tw, "daemons\tlinks\tsent B/s\treceived B/s\tmessages/s\tcpu %\theap MiB\tresident MiB\tcalls/s\tjoin\tchange\tdeath\t"); err != nil {
		return err
	}
	_, err := fmt.Fprintf(tw, "%d\t%.1f\t%.0f\t%.0f\t%.1f\t%.2f\t%.2f\t%.2f\t%.3f\t%v\t%v\t%v\t\n",
		r.Daemons, r.Links, r.Sent, r.Received, r.Messages, r.CPU, r.Heap/mib, r.Resident/mib, r.Calls,
		r.Join.Round(10*time.Millisecond), r.Change.Round(10*time.Millisecond), r.Death.Round(10*time.Millisecond))
	if err != nil {
		return err
	}
	return tw.Flush()
}
