package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/term"

	"github.com/fireflypath/fireflypath/internal/client"
	"github.com/fireflypath/fireflypath/internal/query/eval"
)

const (
	// refreshInterval is the time between two updates of the live view. Daemons exchange
	// their summaries at the same interval.
	refreshInterval = time.Second
	// clearScreen moves the cursor to the top left and clears the terminal.
	clearScreen = "\x1b[H\x1b[2J"
)

// newAskCommand returns the command that runs queries.
func newAskCommand() *cli.Command {
	return &cli.Command{
		Name: "ask", Usage: "query the configuration, the current state and the reasons for decisions",
		ArgsUsage: "'QUERY'",
		Flags: operatorFlags(
			fileFlag,
			&cli.BoolFlag{Name: "each", Usage: "query every live daemon and add up the counts"},
		),
		OnUsageError: usageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			text, err := inputText(cmd)
			if err != nil {
				return err
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			q := querier{client: c, json: cmd.String("output") == "json", allDaemons: cmd.Bool("each")}
			if q.isLiveView(text) {
				return q.watch(ctx, os.Stdout, text)
			}
			return q.run(cmd.Root().Writer, text)
		},
	}
}

// querier sends queries and prints the answers.
type querier struct {
	client     *client.Client
	json       bool
	allDaemons bool
}

func (q querier) run(w io.Writer, text string) error {
	ask := q.client.Query
	if q.allDaemons {
		ask = q.client.QueryAll
	}
	answer, err := ask(text)
	if err != nil {
		return inputError(err)
	}
	if q.json {
		return printJSON(w, answer)
	}
	return printAnswer(w, answer)
}

func printAnswer(w io.Writer, answer *eval.Result) error {
	var b strings.Builder
	for _, l := range answer.Lines {
		fmt.Fprintln(&b, l)
	}
	for _, s := range answer.Sections {
		if s.Title != "" {
			fmt.Fprintf(&b, "\n%s\n", s.Title)
		}
		if err := s.Table.Write(&b); err != nil {
			return err
		}
	}
	_, err := io.WriteString(w, b.String())
	return err
}

// isLiveView reports whether the answer is refreshed continuously: for "top" at a
// terminal. Elsewhere "top" is printed once.
func (q querier) isLiveView(text string) bool {
	return !q.json && strings.TrimSpace(text) == "top" && term.IsTerminal(int(os.Stdout.Fd()))
}

// watch prints the answer repeatedly until it is interrupted. If no daemon can be reached,
// it prints the error and tries again.
func (q querier) watch(ctx context.Context, w io.Writer, text string) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	tick := time.NewTicker(refreshInterval)
	defer tick.Stop()
	for {
		var b strings.Builder
		if err := q.run(&b, text); err != nil {
			fmt.Fprintln(&b, err)
		}
		if _, err := io.WriteString(w, clearScreen+b.String()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
