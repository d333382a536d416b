package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/soak"
)

func newSoakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemon processes under random faults and check the invariants",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Usage: "`FILE` of the daemon's executable", Value: "target/fireflypathd"},
			&cli.IntFlag{Name: "seeds", Usage: "number of runs", Value: 1},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.DurationFlag{Name: "for", Usage: "how long faults are injected in a run", Value: 15 * time.Second},
			&cli.IntFlag{Name: "daemons", Value: 3},
			&cli.IntFlag{Name: "targets", Value: 5},
			&cli.IntFlag{Name: "callers", Value: 24},
			&cli.StringFlag{Name: "dir", Usage: "`DIR` for settings and logs; those of failed runs are kept", Value: "target/soak"},
			&cli.BoolFlag{Name: "mute", Usage: "no faults"},
			&cli.BoolFlag{Name: "deadly", Usage: "include a request that crashes targets", Value: true},
			&cli.BoolFlag{Name: "parts", Usage: "include requests that differ and share parts that crash targets", Value: true},
			&cli.BoolFlag{Name: "crowd", Usage: "have nearly all callers come to one daemon before the faults"},
			&cli.IntFlag{Name: "slow", Usage: "number of additional callers with bodies of the largest size that read slowly"},
			&cli.BoolFlag{Name: "moves", Usage: "move routes to a second pool and back, and kill daemons in the middle of answers", Value: true},
			&cli.BoolFlag{Name: "starved", Usage: "give daemons little processor time", Value: true},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	w := c.Root().Writer
	faults, checked, requests, failedSeeds := map[string]int{}, map[string]int{}, 0, 0
	for i := range c.Int("seeds") {
		seed := c.Uint64("seed") + uint64(i)
		dir := filepath.Join(c.String("dir"), strconv.FormatUint(seed, 10))
		if err := os.MkdirAll(dir, 0o750); err != nil {
			return errors.Wrap(err, "create the directory for logs")
		}
		res, err := soak.Run(ctx, soak.Options{
			Program: c.String("program"), Seed: seed, Duration: c.Duration("for"), Dir: dir, NoFaults: c.Bool("mute"), PoisonRequest: c.Bool("deadly"),
			CrashingParts: c.Bool("parts"), CrowdCallers: c.Bool("crowd"), SlowReaders: c.Int("slow"), StarveDaemons: c.Bool("starved"), MoveRoutes: c.Bool("moves"),
			Daemons: c.Int("daemons"), Targets: c.Int("targets"), Callers: c.Int("callers"),
		})
		if err != nil {
			return errors.Wrapf(err, "seed %d", seed)
		}
		requests += res.Requests
		addCounts(faults, res.Faults)
		addCounts(checked, res.Checked)
		if len(res.Violations) == 0 {
			if err := os.RemoveAll(dir); err != nil {
				return errors.Wrap(err, "remove the logs of a successful run")
			}
			continue
		}
		failedSeeds++
		if err := os.WriteFile(filepath.Join(dir, "violations.txt"), []byte(strings.Join(res.Violations, "\n")+"\n"), 0o600); err != nil {
			return errors.Wrap(err, "write the violations")
		}
		if err := printViolations(w, seed, dir, res.Violations); err != nil {
			return err
		}
	}
	if err := printSoak(w, faults, checked); err != nil {
		return err
	}
	if _, err := fmt.Fprintf(w, "soak: seeds=%d requests=%d broken=%d\n", c.Int("seeds"), requests, failedSeeds); err != nil {
		return err
	}
	if failedSeeds > 0 {
		return exitError{error: errors.Newf("%d seeds violated an invariant", failedSeeds), code: exitRefused}
	}
	return nil
}

func addCounts(sum, counts map[string]int) {
	for k, n := range counts {
		sum[k] += n
	}
}

// maxPrintedViolations limits the output per seed. The first violations indicate the
// cause.
const maxPrintedViolations = 5

func printViolations(w io.Writer, seed uint64, dir string, violations []string) error {
	if _, err := fmt.Fprintf(w, "seed %d violated %d checks, logs in %s\n", seed, len(violations), dir); err != nil {
		return err
	}
	for _, v := range violations[:min(len(violations), maxPrintedViolations)] {
		if _, err := fmt.Fprintf(w, "  %s\n", v); err != nil {
			return err
		}
	}
	return nil
}

func printSoak(w io.Writer, faults, checked map[string]int) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, f := range soak.Faults() {
		if _, err := fmt.Fprintf(tw, "%s\t%d\n", f, faults[f]); err != nil {
			return err
		}
	}
	for _, name := range soak.Invariants() {
		if _, err := fmt.Fprintf(tw, "%s\t%d checks\n", name, checked[name]); err != nil {
			return err
		}
	}
	return tw.Flush()
}
