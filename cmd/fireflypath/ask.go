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
	// refresh is the time between two pictures of the living view: as often as
	// daemons exchange their summaries.
	refresh = time.Second
	// clear empties the terminal and goes to its first line.
	clear = "\x1b[H\x1b[2J"
)

// askCommand answers questions.
func askCommand() *cli.Command {
	return &cli.Command{
		Name: "ask", Usage: "ask what is configured, what happens, and why",
		ArgsUsage: "'QUERY'",
		Flags: operatorFlags(
			fileFlag,
			&cli.BoolFlag{Name: "each", Usage: "ask every live daemon; counts are added up"},
		),
		OnUsageError: usageError,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			text, err := words(cmd)
			if err != nil {
				return err
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			a := asker{client: c, json: cmd.String("output") == "json", each: cmd.Bool("each")}
			if a.living(text) {
				return a.watch(ctx, os.Stdout, text)
			}
			return a.run(cmd.Root().Writer, text)
		},
	}
}

// asker sends queries and prints the answers.
type asker struct {
	client *client.Client
	json   bool
	each   bool
}

func (a asker) run(w io.Writer, text string) error {
	ask := a.client.Query
	if a.each {
		ask = a.client.QueryAll
	}
	answer, err := ask(text)
	if err != nil {
		return inputError(err)
	}
	if a.json {
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

// living is true for "top" at a terminal; elsewhere it is printed once.
func (a asker) living(text string) bool {
	return !a.json && strings.TrimSpace(text) == "top" && term.IsTerminal(int(os.Stdout.Fd()))
}

// watch prints the answer again and again until it is interrupted. A daemon
// that cannot be reached for a moment is shown as such and asked again.
func (a asker) watch(ctx context.Context, w io.Writer, text string) error {
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt)
	defer stop()
	tick := time.NewTicker(refresh)
	defer tick.Stop()
	for {
		var b strings.Builder
		if err := a.run(&b, text); err != nil {
			fmt.Fprintln(&b, err)
		}
		if _, err := io.WriteString(w, clear+b.String()); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}
