package main

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/load"
	"github.com/fireflypath/fireflypath/internal/mix"
)

func newLoadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests of a mix at a given rate and print what callers received",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "url", Required: true, Usage: "a daemon's address for callers; several are taken by turns"},
			&cli.StringFlag{Name: "mix", Value: "pozo", Usage: "pozo or meelwerk"},
			&cli.FloatFlag{Name: "rate", Value: 10, Usage: "requests per second, summed over all daemons"},
			&cli.DurationFlag{Name: "for", Value: 10 * time.Second, Usage: "how long to send requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.StringFlag{Name: "model", Value: mix.Model, Usage: "model to request"},
			&cli.StringSliceFlag{Name: "key", Usage: "TEAM=TOKEN; the token of other teams is demo-TEAM"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"},
		},
		Action: runLoad,
	}
}

func runLoad(ctx context.Context, c *cli.Command) error {
	m, ok := mix.ByName(c.String("mix"))
	if !ok {
		return exitError{errors.Newf("no mix is named %q", c.String("mix")), exitInput}
	}
	if c.Float("rate") <= 0 || c.Duration("for") <= 0 {
		return exitError{errors.New("rate and time must be above 0"), exitInput}
	}
	f := load.Format{RunID: ulid.Make().String(), Model: c.String("model"), Tokens: make(map[string]string)}
	for _, k := range c.StringSlice("key") {
		team, token, ok := strings.Cut(k, "=")
		if !ok {
			return exitError{errors.Newf("key %q is not TEAM=TOKEN", k), exitInput}
		}
		f.Tokens[team] = token
	}
	arrivals := m.Arrivals(mix.Options{Seed: c.Uint64("seed"), Rate: c.Float("rate"), Duration: c.Duration("for")})
	tally := load.NewTally(m)
	load.Run(ctx, clockwork.NewRealClock(), arrivals, load.NewClients(c.StringSlice("url"), f), tally)
	return printLoad(c, tally.Report(c.Duration("for")))
}

func printLoad(c *cli.Command, r load.Report) error {
	var err error
	if c.String("output") == "json" {
		err = json.NewEncoder(c.Root().Writer).Encode(r)
	} else {
		err = r.Print(c.Root().Writer)
	}
	if err != nil {
		return err
	}
	if r.Failed > 0 {
		return errors.Newf("%d requests got neither an answer nor a refusal", r.Failed)
	}
	return nil
}
