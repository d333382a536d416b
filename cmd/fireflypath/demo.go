package main

import (
	"context"
	"encoding/json"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/demo"
	"github.com/fireflypath/fireflypath/internal/mix"
)

func newDemoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run daemons, stand-ins and callers in one process, inject faults and check the outcome",
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "daemons", Value: 3, Usage: "number of daemons"},
			&cli.IntFlag{Name: "kill", Value: -1, Usage: "number of daemons to kill during the run (default: a quarter)"},
			&cli.StringFlag{Name: "mix", Value: "pozo", Usage: "pozo or meelwerk"},
			&cli.FloatFlag{Name: "rate", Value: 60, Usage: "requests per second before the burst"},
			&cli.DurationFlag{Name: "for", Value: 12 * time.Second, Usage: "how long to send requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the arrivals"},
			&cli.BoolFlag{Name: "quiet", Usage: "no faults and no burst"},
			&cli.BoolFlag{Name: "keep", Usage: "keep everything running until a signal and print example calls"},
			&cli.StringFlag{Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "table or json"},
		},
		Action: runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	o, err := demoOptions(c)
	if err != nil {
		return exitError{err, exitInput}
	}
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d := demo.New(o, clockwork.NewRealClock())
	r, err := d.Run(ctx)
	if err == nil {
		err = printDemo(c, r)
	}
	if err == nil && c.Bool("keep") {
		err = d.PrintCalls(c.Root().Writer)
		<-ctx.Done()
	}
	return errors.CombineErrors(err, d.Close())
}

func demoOptions(c *cli.Command) (demo.Options, error) {
	m, ok := mix.ByName(c.String("mix"))
	if !ok {
		return demo.Options{}, errors.Newf("no mix is named %q", c.String("mix"))
	}
	o := demo.Options{
		Mix:      m,
		Daemons:  c.Int("daemons"),
		Kill:     c.Int("kill"),
		Rate:     c.Float("rate"),
		Duration: c.Duration("for"),
		Seed:     c.Uint64("seed"),
		NoFaults: c.Bool("quiet"),
	}
	if o.Kill < 0 {
		o.Kill = o.Daemons / 4
	}
	if o.Daemons < 1 || o.Kill >= o.Daemons || o.Rate <= 0 || o.Duration <= 0 {
		return o, errors.New("need a daemon that is not killed, and rate and time above 0")
	}
	return o, nil
}

func printDemo(c *cli.Command, r demo.Report) error {
	var err error
	if c.String("output") == "json" {
		err = json.NewEncoder(c.Root().Writer).Encode(r)
	} else {
		err = r.Print(c.Root().Writer)
	}
	if err != nil {
		return err
	}
	if !r.Passed() {
		return errors.Newf("%d lost, %d twice, %d refused as not run although they ran", r.Lost, r.Duplicates, r.FalseRefusals)
	}
	return nil
}
