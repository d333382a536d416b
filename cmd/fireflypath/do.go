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

// newDoCommand returns the command that changes the configuration or sends an order to a
// target.
func newDoCommand() *cli.Command {
	return &cli.Command{
		Name: "do", Usage: "change the configuration, or send an order to a target",
		ArgsUsage: "'COMMAND; COMMAND'",
		Flags: operatorFlags(
			fileFlag,
			&cli.BoolFlag{Name: "plan", Usage: "print what the command would change and break, without executing it"},
			&cli.Uint64Flag{Name: "base", Usage: "refuse the command unless generation `N` is in force"},
			&cli.StringFlag{Name: "id", Usage: "repeat the command with this `ID`; it is executed at most once"},
		),
		OnUsageError: usageError,
		Action: func(_ context.Context, cmd *cli.Command) error {
			text, err := inputText(cmd)
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
			d := commander{client: c, json: cmd.String("output") == "json"}
			return d.run(cmd.Root().Writer, wire.CommandRequest{ID: cmd.String("id"), Text: text, Base: cmd.Uint64("base")})
		},
	}
}

// commander sends commands and prints their outcomes.
type commander struct {
	client *client.Client
	json   bool
}

// issuedKey is a key generated for an owner. It is printed only once.
type issuedKey struct {
	Owner string `json:"owner"`
	Key   string `json:"key"`
}

// outcome is the output of -o json.
type outcome struct {
	wire.CommandResult
	Keys []issuedKey `json:"keys,omitempty"`
}

func (c commander) run(w io.Writer, req wire.CommandRequest) error {
	repeated := req.ID != ""
	if !repeated {
		req.ID = ulid.Make().String()
	}
	var created []issuedKey
	text, err := command.AddKeyHashes(req.Text, func(owner string) string {
		key, hash := keys.Generate()
		created = append([]issuedKey{{owner, key}}, created...)
		return hash
	})
	if err != nil {
		return inputError(err)
	}
	if repeated && len(created) > 0 {
		return exitError{errors.New("a repeated key command must name the hash: a new key would not be the one that the id created"), exitInput}
	}
	req.Text = text
	done := c.client.Execute(req)
	if done.Outcome != wire.OutcomeDone && done.Outcome != wire.OutcomeUnknown {
		created = nil
	}
	if err := c.print(w, outcome{done, created}); err != nil {
		return err
	}
	return outcomeError(done)
}

func (c commander) print(w io.Writer, o outcome) error {
	if c.json {
		return printJSON(w, o)
	}
	var b strings.Builder
	if o.Plan != nil {
		writePlan(&b, o.Plan)
	}
	if o.Outcome == wire.OutcomeDone {
		fmt.Fprintln(&b, doneSummary(o.CommandResult))
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

func doneSummary(done wire.CommandResult) string {
	s := "done " + done.ID
	if done.Generation > 0 {
		s += fmt.Sprintf(", generation %d", done.Generation)
	}
	if done.Repeated {
		s += ", had been done before"
	}
	return s
}

// outcomeError returns an error with the exit code for an outcome, or nil for success.
func outcomeError(done wire.CommandResult) error {
	switch done.Outcome {
	case wire.OutcomeDone, wire.OutcomePlanned:
		return nil
	case wire.OutcomeInvalid:
		return exitError{errors.New(done.Detail), exitInput}
	case wire.OutcomeUnknown:
		return exitError{errors.Newf("unknown: %s\nask 'settle %s' later, or repeat it with --id %s", done.Detail, done.ID, done.ID), exitUnknown}
	default:
		return exitError{errors.Newf("not done, %s: %s", done.Outcome, done.Detail), exitRefused}
	}
}
