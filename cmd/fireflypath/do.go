package main

import (
	"context"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/urfave/cli/v3"

	"github.com/fireflypath/fireflypath/internal/client"
	"github.com/fireflypath/fireflypath/internal/command"
	"github.com/fireflypath/fireflypath/internal/keys"
	"github.com/fireflypath/fireflypath/internal/operator/wire"
	"github.com/fireflypath/fireflypath/internal/plan"
)

// doCommand changes the configuration or orders a target.
func doCommand() *cli.Command {
	return &cli.Command{
		Name: "do", Usage: "change the configuration, or order a target",
		ArgsUsage: "'COMMAND; COMMAND'",
		Flags: operatorFlags(
			fileFlag,
			&cli.BoolFlag{Name: "plan", Usage: "print what it would change and break, and do nothing"},
			&cli.Uint64Flag{Name: "base", Usage: "refuse it unless generation `N` is in force"},
			&cli.StringFlag{Name: "id", Usage: "repeat the command with this `ID`; a repetition does nothing twice"},
		),
		OnUsageError: usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			text, err := words(cmd)
			if err != nil {
				return err
			}
			if cmd.Bool("plan") {
				text = "plan " + text
			}
			c, err := newClient(cmd)
			if err != nil {
				return err
			}
			d := doer{client: c, json: cmd.String("output") == "json"}
			return d.run(cmd.Root().Writer, wire.CommandRequest{ID: cmd.String("id"), Text: text, Base: cmd.Uint64("base")})
		},
	}
}

// doer sends commands and prints their outcomes.
type doer struct {
	client *client.Client
	json   bool
}

// issued is a key made for an owner; it is shown once.
type issued struct {
	Owner string `json:"owner"`
	Key   string `json:"key"`
}

// outcome is what -o json prints.
type outcome struct {
	wire.CommandResult
	Keys []issued `json:"keys,omitempty"`
}

func (d doer) run(w io.Writer, req wire.CommandRequest) error {
	repeat := req.ID != ""
	if !repeat {
		req.ID = ulid.Make().String()
	}
	var made []issued
	text, err := command.AddKeyHashes(req.Text, func(owner string) string {
		key, hash := keys.Generate()
		made = append([]issued{{owner, key}}, made...)
		return hash
	})
	if err != nil {
		return inputError(err)
	}
	if repeat && len(made) > 0 {
		return coded{errors.New("a repeated key command must name the hash: a new key would not be the one that the id created"), exitInput}
	}
	req.Text = text
	done := d.client.Execute(req)
	if done.Outcome != wire.OutcomeDone && done.Outcome != wire.OutcomeUnknown {
		made = nil
	}
	if err := d.print(w, outcome{done, made}); err != nil {
		return err
	}
	return verdict(done)
}

func (d doer) print(w io.Writer, o outcome) error {
	if d.json {
		return printJSON(w, o)
	}
	var b strings.Builder
	if o.Plan != nil {
		writePlan(&b, o.Plan)
	}
	if o.Outcome == wire.OutcomeDone {
		fmt.Fprintln(&b, summary(o.CommandResult))
	}
	for _, k := range o.Keys {
		fmt.Fprintf(&b, "key of %s, shown only now: %s\n", k.Owner, k.Key)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func writePlan(b *strings.Builder, p *plan.Plan) {
	for _, l := range p.Lines {
		fmt.Fprintln(b, l)
	}
	for _, l := range p.BreakingChanges {
		fmt.Fprintln(b, "! "+l)
	}
	if len(p.Lines) == 0 {
		fmt.Fprintln(b, "nothing would change")
	}
}

func summary(done wire.CommandResult) string {
	s := "done " + done.ID
	if done.Generation > 0 {
		s += fmt.Sprintf(", generation %d", done.Generation)
	}
	if done.Repeated {
		s += ", had been done before"
	}
	return s
}

// verdict turns an outcome into the exit code.
func verdict(done wire.CommandResult) error {
	switch done.Outcome {
	case wire.OutcomeDone, wire.OutcomePlanned:
		return nil
	case wire.OutcomeInvalid:
		return coded{errors.New(done.Detail), exitInput}
	case wire.OutcomeUnknown:
		return coded{errors.Newf("unknown: %s\nask 'settle %s' later, or repeat it with --id %s", done.Detail, done.ID, done.ID), exitUnknown}
	default:
		return coded{errors.Newf("not done, %s: %s", done.Outcome, done.Detail), exitRefused}
	}
}
