package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"github.com/sourcegraph/conc/iter"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/trial"
	"github.com/fireflypath/fireflypath/internal/trial/chart"
)

// maxConcurrentRuns is limited so that a trial leaves the machine usable.
const maxConcurrentRuns = 4

// defaultPolicies returns the policies to try if none is given.
func defaultPolicies() []string {
	return []string{"shipped", "rr", "least", "bound"}
}

func newTrialCommand() *cli.Command {
	return &cli.Command{
		Name:  "trial",
		Usage: "measure scheduling decisions under load in virtual time",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "load", Usage: "loads to try (default: all)"},
			&cli.StringSliceFlag{Name: "mix", Usage: "mixes (default: pozo, meelwerk), or fleets with a gate: norte, austral, gent, their -grown ones, drawn"},
			&cli.StringSliceFlag{Name: "policy", Usage: "policies to try (default: shipped, rr, least, bound; of fleets: slots)"},
			&cli.StringSliceFlag{Name: "set", Usage: "tuning `NAME=VALUE`, for fleets"},
			&cli.StringSliceFlag{Name: "compare", Usage: "two variants `A,B`, each NAME=VALUE+... or shipped, to compare over the same seeds, for fleets"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of arrivals and decisions"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds to try, starting with seed"},
			&cli.DurationFlag{Name: "span", Value: trial.Span, Usage: "how long requests are sent"},
			&cli.StringFlag{Name: "plot", Usage: "directory to write PNG charts to"},
			&cli.StringFlag{Name: "o", Usage: "json for one object per line"},
		},
		Action: runTrial,
	}
}

func runTrial(_ context.Context, c *cli.Command) error {
	if containsFleet(c.StringSlice("mix")) {
		return runSimulations(c.Root().Writer, c)
	}
	results, err := iter.Mapper[trial.Options, []trial.Row]{MaxGoroutines: maxConcurrentRuns}.
		MapErr(trialOptions(c), func(o *trial.Options) ([]trial.Row, error) { return trial.Run(*o) })
	if err != nil {
		return exitError{error: err, code: exitInput}
	}
	var rows []trial.Row
	for _, r := range results {
		rows = append(rows, r...)
	}
	if dir := c.String("plot"); dir != "" {
		if err := chart.Write(dir, rows); err != nil {
			return errors.Wrapf(err, "write charts to %s", dir)
		}
	}
	if c.String("o") == "json" {
		return printRows(c.Root().Writer, rows)
	}
	return printTrials(c.Root().Writer, rows)
}

// trialOptions returns the runs in the order of the output.
func trialOptions(c *cli.Command) []trial.Options {
	var out []trial.Options
	for _, l := range valuesOr(c.StringSlice("load"), trial.Loads()) {
		for _, m := range valuesOr(c.StringSlice("mix"), trial.Mixes()) {
			for _, p := range valuesOr(c.StringSlice("policy"), defaultPolicies()) {
				for i := range c.Int("seeds") {
					out = append(out, trial.Options{
						Load: l, Mix: m, Policy: p, Seed: c.Uint64("seed") + uint64(i), Span: c.Duration("span"),
					})
				}
			}
		}
	}
	return out
}

func valuesOr(named, all []string) []string {
	if len(named) > 0 {
		return named
	}
	return all
}

func printRows(w io.Writer, rows []trial.Row) error {
	enc := json.NewEncoder(w)
	for _, r := range rows {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}

func printTrials(w io.Writer, rows []trial.Row) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	if _, err := fmt.Fprintln(tw, "load\tmix\tpolicy\tseed\ttier\tsent\tgoodput\trefused\texpired\tp50 ms\tp99 ms\tfirst p99\twasted\thit\tinversions\t"); err != nil {
		return err
	}
	for _, r := range rows {
		_, err := fmt.Fprintf(tw, "%s\t%s\t%s\t%d\t%s\t%d\t%.4f\t%d\t%d\t%.0f\t%.0f\t%.0f\t%.4f\t%.3f\t%d\t\n",
			r.Load, r.Mix, r.Policy, r.Seed, r.Tier, r.Sent, r.Goodput, r.Refused, r.Expired,
			r.P50, r.P99, r.FirstTokenP99, r.Wasted, r.PrefixHit, r.Inversions)
		if err != nil {
			return err
		}
	}
	return tw.Flush()
}
